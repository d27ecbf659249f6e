package target

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// sendingField is the field that carries the name of a sending to the target.
	sendingField = "Sending"
	// maxLateCopyMicroseconds bounds the pause between a response and further
	// copies, in which the connection may carry the next request.
	maxLateCopyMicroseconds = 1500
)

// copyTarget runs or refuses requests at random, and sends copies of its refusals
// at random moments and in random forms.
type copyTarget struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int // by name of the sending
}

func newCopyTarget(seed uint64) *copyTarget {
	return &copyTarget{random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
}

func (t *copyTarget) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// happens is true once in n draws on average.
func (t *copyTarget) happens(n int) bool { return t.intN(n) == 0 }

func (t *copyTarget) run(sending string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[sending]++
}

func (t *copyTarget) runsOf(sending string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[sending]
}

// ranTwice returns the names of the sendings that ran more than once.
func (t *copyTarget) ranTwice() (sendings []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for sending, n := range t.runs {
		if n > 1 {
			sendings = append(sendings, sending)
		}
	}
	return sendings
}

// serve is a connHandler.
func (t *copyTarget) serve(_ int, raw net.Conn) {
	conn := &copyConn{Conn: raw, copyTarget: t}
	for reader := bufio.NewReader(raw); ; {
		r, err := http.ReadRequest(reader)
		if err != nil || !conn.handle(r) {
			return
		}
	}
}

// copyConn is one connection to a copyTarget.
type copyConn struct {
	net.Conn
	*copyTarget
	refusals []string // that the connection has carried
}

// handle serves one request and reports whether the connection may carry another
// one.
func (c *copyConn) handle(r *http.Request) bool {
	refused, early, ran := c.happens(2), c.happens(3), false
	sending := r.Header.Get(sendingField)
	if !early {
		if c.happens(4) && !refused { // runs in the middle of the upload
			c.run(sending)
			ran = true
			if !c.write(c.someCopies()) {
				return false
			}
		}
		if !readAll(r.Body) {
			return false
		}
	}
	if !refused && !ran {
		c.run(sending)
	}
	if !c.answer(r, refused) {
		return false
	}
	if c.happens(4) { // while the connection is idle, or just as it is taken
		time.Sleep(time.Duration(c.intN(maxLateCopyMicroseconds)) * time.Microsecond)
		if !c.write(c.someCopies()) {
			return false
		}
	}
	return !early || readAll(r.Body)
}

// answer refuses a request, or responds to one that has run.
func (c *copyConn) answer(r *http.Request, refused bool) bool {
	if refused {
		text := c.refusal(r.Header.Get(protocol.HeaderRequestID))
		c.refusals = append(c.refusals, text)
		return c.write(text)
	}
	return c.write(c.someCopies() + echoResponse(r, r.Header.Get(sendingField)))
}

// someCopies returns copies of refusals that the connection has carried, or "".
func (c *copyConn) someCopies() (text string) {
	if len(c.refusals) == 0 || !c.happens(2) {
		return ""
	}
	for range 1 + c.intN(4) {
		text += c.refusals[c.intN(len(c.refusals))]
	}
	return text
}

// refusalForm is how a refusal is delimited. All numbers without a name below
// refusalForms stand for a refusal without a body.
type refusalForm int

const (
	refusalWithBody refusalForm = iota
	refusalInChunks
	refusalAfterInterim // an interim response comes before it
	refusalForms        = 6
)

// refusal returns a refusal in a random form.
func (c *copyConn) refusal(id string) string {
	status := []string{"503 Busy", "429 Slow", "400 Bad", "408 Late"}[c.intN(4)]
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: true\r\n%s: %s\r\n", status, protocol.HeaderNotRun, protocol.HeaderRequestID, id)
	switch refusalForm(c.intN(refusalForms)) {
	case refusalWithBody:
		return head + "Content-Length: 5\r\n\r\nbusy\n"
	case refusalInChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
	case refusalAfterInterim:
		return "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	return head + "Content-Length: 0\r\n\r\n"
}

// write writes a text, sometimes in two parts, and reports whether it was written.
func (c *copyConn) write(text string) bool {
	if c.happens(3) && len(text) > 1 {
		at := 1 + c.intN(len(text)-1)
		if _, err := io.WriteString(c.Conn, text[:at]); err != nil {
			return false
		}
		time.Sleep(time.Duration(c.intN(3)) * time.Millisecond)
		text = text[at:]
	}
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

func readAll(body io.Reader) bool {
	_, err := io.Copy(io.Discard, body)
	return err == nil
}
