package outcomes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
)

// serveResends returns a connection handler of a target that refuses requests and
// sends the copies of its refusals while the requests are under way again.
func serveResends(l *resendLedger) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		c := &resendConn{Conn: conn, ledger: l, refused: map[*resentRequest]string{}}
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil || !c.handle(r) {
				return
			}
		}
	}
}

// resendConn is one connection of such a target.
type resendConn struct {
	net.Conn
	ledger  *resendLedger
	refused map[*resentRequest]string // id of the refused attempt
}

// handle serves one request and reports whether the connection may carry another
// one.
func (c *resendConn) handle(r *http.Request) bool {
	id := r.Header.Get(protocol.HeaderRequestID)
	if r.Method == http.MethodGet { // health and load
		return write(c, http.StatusOK, id, "", `{"state":"ready","in_flight":0,"slots":20,"queue":0}`)
	}
	ticket := r.Header.Get(protocol.HeaderTicket)
	request := c.ledger.find(ticket)
	if request == nil {
		c.ledger.report("a target got a request with the ticket %q, which no caller sent", ticket)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if request.receive() {
		c.refused[request] = id
		return refuse(c, id)
	}
	return c.run(request, ticket, id)
}

// run runs a request and sends the copies of its refusal on this connection.
func (c *resendConn) run(request *resentRequest, ticket, id string) bool {
	plan := request.plan
	copies := c.copiesOfRefusal(request)
	if plan.Copy == copyBeforeRun && !c.write(copies) {
		return false
	}
	request.run(ticket)
	if plan.Copy == copyAfterRun && !c.write(copies) {
		return false
	}
	time.Sleep(plan.Work)
	var response strings.Builder
	if plan.Copy == copyWithTheNext {
		response.WriteString(copies)
	}
	write(&response, http.StatusOK, id, "", request.body())
	return c.write(response.String())
}

// copiesOfRefusal returns what the target sends again, which is nothing if it has
// not refused the request on this connection.
func (c *resendConn) copiesOfRefusal(request *resentRequest) string {
	id, refused := c.refused[request]
	if !refused || request.plan.Copy == copyNever {
		return ""
	}
	var text strings.Builder
	for range request.plan.Copies {
		refuse(&text, id)
	}
	c.ledger.countCopies(request.plan.Copies)
	return text.String()
}

func (c *resendConn) write(text string) bool {
	if text == "" {
		return true
	}
	_, err := io.WriteString(c, text)
	return err == nil
}
