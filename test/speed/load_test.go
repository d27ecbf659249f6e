package speed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

const (
	// maxLatency is the longest latency that the histograms record.
	maxLatency = 10 * time.Second
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Nanoseconds(), latencyDigits)
}

// client sends the same request repeatedly on one connection.
type client struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func newClient(t *testing.T, address, path string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nHickory-Request-Id: speed-1\r\n\r\n", path, address)
	return &client{conn: conn, reader: bufio.NewReader(conn), request: []byte(request)}
}

// send sends one request and reads the whole response.
func (c *client) send() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// sendTimed sends one request and records its latency.
func (c *client) sendTimed(t *testing.T, h *hdrhistogram.Histogram) {
	t.Helper()
	began := time.Now()
	assert.NilError(t, c.send())
	assert.NilError(t, h.RecordValue(time.Since(began).Nanoseconds()))
}

// runClosedLoop keeps one request in flight on each of the connections. It
// returns the number of requests and the time taken.
func runClosedLoop(t *testing.T, address, path string, connections int, duration time.Duration) (int, time.Duration) {
	t.Helper()
	var mu sync.Mutex
	total := 0
	var failure error
	var workers sync.WaitGroup
	began := time.Now()
	for range connections {
		c := newClient(t, address, path)
		workers.Go(func() {
			n := 0
			var err error
			for err == nil && time.Since(began) < duration {
				err = c.send()
				n++
			}
			mu.Lock()
			defer mu.Unlock()
			total += n
			if err != nil {
				failure = err
			}
		})
	}
	workers.Wait()
	assert.NilError(t, failure)
	return total, time.Since(began)
}
