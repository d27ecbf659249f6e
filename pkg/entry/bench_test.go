package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchClient sends the same request again on one kept connection.
type benchClient struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func newBenchClient(b *testing.B, address, path string) *benchClient {
	conn, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address)
	return &benchClient{conn: conn, reader: bufio.NewReader(conn), request: []byte(request)}
}

func (c *benchClient) do(b *testing.B) {
	_, err := c.conn.Write(c.request)
	assert.NilError(b, err)
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %s", resp.Status)
	}
}

// BenchmarkRequest reports time and allocations of one request, closed loop on
// one connection, with the client, the target and the entry VM in one process.
// The direct case is the share of the client and the target.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, fleetConfig{vms: 1, targets: 1, slots: 64, serviceTime: time.Nanosecond})
	f.waitServing(b)
	for _, c := range []struct{ name, address, path string }{
		{"direct", f.servers[0].Listener.Addr().String(), "/clue"},
		{"proxied", f.vms[0].CallerAddress(), "/v1/services/cluebook/clue"},
		{"lookup", f.vms[0].CallerAddress(), "/v1/lookup?service=cluebook&client=10.1.2.3"},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := newBenchClient(b, c.address, c.path)
			b.ReportAllocs()
			for b.Loop() {
				client.do(b)
			}
		})
	}
}
