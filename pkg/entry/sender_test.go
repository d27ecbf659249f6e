package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/transport/target"
)

// serveRepeating serves one connection of a target that runs requests. Before the
// response to a further request or probe it sends surplus, in which %s stands for
// the id of the request before.
func serveRepeating(conn net.Conn, surplus string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for previous := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if previous != "" {
			_, _ = fmt.Fprintf(conn, surplus, previous)
		}
		previous = r.Header.Get(protocol.HeaderRequestID)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHickory-Request-Id: %s\r\nContent-Length: 17\r\n\r\n{\"state\":\"ready\"}", previous)
	}
}

// startRepeatingTarget starts a target whose connections are served by
// serveRepeating.
func startRepeatingTarget(t *testing.T, surplus string) protocol.TargetRef {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn, surplus)
		}
	}()
	return protocol.TargetRef{Name: "desk-0", Region: "sask", Address: listener.Addr().String()}
}

// send sends a request with the id "a" and reads its response.
func send(s *sender, ref protocol.TargetRef) error {
	resp, err := s.Send(context.Background(), &steering.SendRequest{
		Target: ref, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("body"),
		RequestID: "a", Ticket: "ticket", Deadline: time.Now().Add(time.Second),
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

const (
	copyOfRefusal  = "HTTP/1.1 503 Busy\r\nHickory-Request-Id: %s\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	copyOfResponse = "HTTP/1.1 200 OK\r\nHickory-Request-Id: %s\r\nContent-Length: 20\r\n\r\n{\"state\":\"draining\"}"
)

// Guards against the copy of a response to an earlier attempt that is taken for
// the response to a later attempt at a request with the same id.
func TestCopyOfEarlierAttemptIsNotAccepted(t *testing.T) {
	for _, surplus := range []string{copyOfRefusal, copyOfResponse} {
		ref := startRepeatingTarget(t, surplus)
		client := target.New(target.Config{})
		defer client.Close()
		s := &sender{client: client, region: "sask"}
		assert.NilError(t, send(s, ref))
		err := send(s, ref)
		f := steeringError(t, err)
		assert.Assert(t, f.Written && !f.NotRun, "%q: %v", surplus, err)
	}
}

func steeringError(t *testing.T, err error) *steering.SendError {
	t.Helper()
	f, ok := err.(*steering.SendError)
	assert.Assert(t, ok, "%v", err)
	return f
}

// Guards against the copy of a response to a request that is taken for the health
// of the target by a probe on the same connection: the target would get no
// requests, although it is ready, or would count as leaving.
func TestProbeDoesNotAcceptResponseToRequest(t *testing.T) {
	for _, surplus := range []string{copyOfRefusal, copyOfResponse} {
		ref := startRepeatingTarget(t, surplus)
		client := target.New(target.Config{})
		defer client.Close()
		assert.NilError(t, send(&sender{client: client, region: "sask"}, ref))
		prober := &target.Prober{Client: client, LocalRegion: "sask"}
		health, err := prober.Health(context.Background(), ref)
		assert.Assert(t, err != nil, "the probe took %q for %+v", surplus, health)
	}
}
