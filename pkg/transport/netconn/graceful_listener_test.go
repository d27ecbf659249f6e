package netconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that interrupts requests whose handler has
// started, because the server closes their connections as idle while it reads
// them. lantern-hunt counted such requests as LOST. Every request whose handler
// ran must get its response.
func TestCloseIdleInterruptsNoHandledRequest(t *testing.T) {
	for round := range 30 {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		g := NewGracefulListener(raw)
		var mu sync.Mutex
		handled := map[string]bool{}
		server := &http.Server{ConnState: g.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			mu.Unlock()
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})}
		go func() { _ = server.Serve(g) }()

		var clients sync.WaitGroup
		answered := map[string]bool{}
		for n := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				conn, err := net.Dial("tcp", raw.Addr().String())
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				reader := bufio.NewReader(conn)
				for i := range 200 {
					path := fmt.Sprintf("/%d/%d/%d", round, n, i)
					if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
						return
					}
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					mu.Lock()
					answered[path] = true
					mu.Unlock()
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
		_ = raw.Close()
		done := make(chan struct{})
		go func() {
			clients.Wait()
			close(done)
		}()
		for closing := true; closing; {
			g.CloseIdle()
			select {
			case <-done:
				closing = false
			case <-time.After(200 * time.Microsecond):
			}
		}
		_ = server.Close()
		for path := range handled {
			assert.Assert(t, answered[path], "%s was handled but got no response", path)
		}
	}
}
