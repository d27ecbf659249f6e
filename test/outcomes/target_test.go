package outcomes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// lateRunDelay is when a target runs a request of targetRunsLate.
const lateRunDelay = 4 * time.Second

// startTarget accepts the connections of a target and returns its address.
func startTarget(t *testing.T, serve func(net.Conn)) net.Addr {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr()
}

// testTarget is a target that writes its responses byte by byte.
type testTarget struct {
	ledger *ledger
}

func (t *testTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for previous := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil || !t.handle(conn, r, previous) {
			return
		}
		previous = r.Header.Get(protocol.HeaderRequestID)
	}
}

// handle serves one request and reports whether the connection may carry another
// one. previous is the id of the request before it on the connection.
func (t *testTarget) handle(conn net.Conn, r *http.Request, previous string) bool {
	id := r.Header.Get(protocol.HeaderRequestID)
	if r.Method == http.MethodGet { // health and load
		return write(conn, http.StatusOK, id, "", `{"state":"ready","in_flight":0,"slots":20,"queue":0}`)
	}
	e := t.ledger.find(r.Header.Get(protocol.HeaderTicket))
	if e == nil {
		t.ledger.report("a target got a request with the ticket %q, which no caller sent", r.Header.Get(protocol.HeaderTicket))
		return false
	}
	kind := e.plan.Target
	if e.receive() > 1 {
		kind = targetServes
	}
	if kind == targetResetsUnread {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	switch kind {
	case targetRefuses:
		return refuse(conn, id)
	case targetRefusesWithoutID:
		return refuse(conn, "")
	case targetRunsLate:
		time.AfterFunc(lateRunDelay, e.run)
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
		return false
	}
	e.run()
	return respond(conn, e, kind, id, previous)
}

// respond responds to a request that has run.
func respond(conn net.Conn, e *entry, kind targetKind, id, previous string) bool {
	switch {
	case kind == targetCopyWithoutID && previous != "":
		_ = refuse(conn, "")
	case kind == targetCopyOfOther && previous != "":
		_ = refuse(conn, previous)
	}
	time.Sleep(e.plan.Work)
	switch kind {
	case targetRunsAndResets:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case targetRunsAndHalfCloses:
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
		return false
	case targetRunsWithStatus:
		return write(conn, http.StatusServiceUnavailable, id, "", e.body())
	}
	return write(conn, http.StatusOK, id, "", e.body())
}

func refuse(conn io.Writer, id string) bool {
	return write(conn, http.StatusServiceUnavailable, id, protocol.HeaderNotRun+": true\r\n", "")
}

// write writes a response and reports whether it was written. An empty id is left
// out.
func write(conn io.Writer, status int, id, fields, body string) bool {
	if id != "" {
		fields += protocol.HeaderRequestID + ": " + id + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
	return err == nil
}
