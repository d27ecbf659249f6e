package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// serveBadReplies starts an entry VM that answers lookups and requests for tickets
// with a whole document, unless their path begins with badPath, and all other requests
// with head and a body.
func serveBadReplies(t *testing.T, head, badPath string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address = listener.Addr().String()
	documents := map[string]string{
		"/v1/lookup":  fmt.Sprintf(`{"ttl_ms":1000,"entries":[{"address":%q}]}`, address),
		"/v1/tickets": `{"tickets":["ticket"],"expires_in_ms":60000}`,
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := protocol.HeaderRequestID + ": " + r.Header.Get(protocol.HeaderRequestID) + "\r\n"
		document, known := documents[r.URL.Path]
		if known && !strings.HasPrefix(r.URL.Path, badPath) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", id, len(document), document)
			return
		}
		_, _ = io.WriteString(conn, strings.Replace(head, "\r\n", "\r\n"+id, 1)+document)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return address
}

// badReplies are heads of answers and refusals that are malformed or promise more body
// than follows.
var badReplies = []string{
	"HTTP/1.1 503 No\r\n" + protocol.HeaderOutcome + ": not_run\r\nContent-Length: 900\r\n\r\n",
	"HTTP/1.1 503 No\r\n" + protocol.HeaderOutcome + ": not_run\r\n\r\n",
	"HTTP/1.1 503 No\r\n" + protocol.HeaderOutcome + ": not_run\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 000 No\r\n" + protocol.HeaderOutcome + ": answered\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + protocol.HeaderOutcome + ": answered\r\nContent-Length: 900\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + protocol.HeaderOutcome + ": answered\r\nX-Bad : 1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a cut or malformed reply of an entry VM that is taken for an answer,
// for a promise that the request has not run, for a lookup or for tickets.
func TestBadReplyOfAnEntryVMHasAnUnknownOutcome(t *testing.T) {
	for _, head := range badReplies {
		c, err := New(Config{Entries: []string{serveBadReplies(t, head, "/none")}, MaxAttempts: 1, Timeout: 5 * time.Second})
		assert.NilError(t, err)
		_, err = c.Do(context.Background(), "hold-svc", http.MethodPost, "/holds", []byte("b"))
		var failed *Error
		assert.Assert(t, errors.As(err, &failed), "%q: %v", head, err)
		assert.Equal(t, failed.Outcome, protocol.OutcomeUnknown, "%q: %v", head, err)
		assert.Equal(t, failed.Ticket, "ticket", "%q", head)
		c.Close()

		c, err = New(Config{Entries: []string{serveBadReplies(t, head, "/v1/")}, MaxAttempts: 1, Timeout: 5 * time.Second})
		assert.NilError(t, err)
		_, err = c.lookups.query(context.Background(), c.cfg.Entries[0], "hold-svc")
		assert.Assert(t, err != nil, "%q", head)
		ticket, err := c.tickets.take(context.Background(), "hold-svc")
		assert.Assert(t, err != nil && ticket.text == "", "%q: %+v", head, ticket)
		c.Close()
	}
}
