package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that the network holds up and delivers after it has ended
// (review/9), and against one that is taken back although its target has it. Loopback
// acknowledges everything, so the answer of the system is set.
func TestUndeliveredRequestIsTakenBack(t *testing.T) {
	const work = deliveryTimeout + 300*time.Millisecond
	for name, test := range map[string]struct {
		bodyBytes           int
		undelivered, begins bool // begins: the target sends a part of its response at once
		want                bool
	}{
		"held up":                     {bodyBytes: 100, undelivered: true, want: true},
		"delivered":                   {bodyBytes: 100},
		"long, may wait for a read":   {bodyBytes: maxCheckedBytes + 1, undelivered: true},
		"the response has begun":      {bodyBytes: 100, undelivered: true, begins: true},
		"half of the length, held up": {bodyBytes: maxCheckedBytes / 2, undelivered: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan error, 1)
			address := listen(t, func(_ int, c net.Conn) {
				reader := bufio.NewReader(c)
				req, err := http.ReadRequest(reader)
				assert.Check(t, err)
				_, err = io.Copy(io.Discard, req.Body)
				assert.Check(t, err)
				response := echoResponse(req, "done")
				if test.begins {
					_, _ = io.WriteString(c, response[:9])
					response = response[9:]
				}
				assert.Check(t, c.SetReadDeadline(time.Now().Add(work)))
				_, err = reader.ReadByte()
				ended <- err
				_, _ = io.WriteString(c, response)
			})
			var asked atomic.Int32
			client := New(Config{})
			client.undelivered = func(net.Conn, time.Duration) bool {
				asked.Add(1)
				return test.undelivered
			}
			r := newPost(address, "a", strings.Repeat("x", test.bodyBytes))
			r.Deadline = time.Now().Add(time.Minute)
			began := time.Now()
			body, f := fetch(t.Context(), client, r)
			if !test.want {
				assert.Assert(t, f == nil, "%v", f)
				assert.Equal(t, body, "done")
				client.Close()
				return
			}
			assert.Assert(t, f != nil && errors.Is(f, errUndelivered), "%v", f)
			assert.Assert(t, !f.NotRun, "it may have been delivered")
			assert.Assert(t, time.Since(began) < work, "it was taken back after %s", time.Since(began))
			assert.Equal(t, asked.Load(), int32(1))
			assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET), "the network delivers the request later")
		})
	}
}
