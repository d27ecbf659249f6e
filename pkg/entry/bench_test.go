package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/callerhttp"
)

// benchClient sends the same request repeatedly on one persistent connection.
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

// cpuTime returns the CPU time of this process. Unlike elapsed time, it excludes
// waits for cores that other processes use.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest reports the time and allocations of one request, in a closed
// loop on one connection, with the client, the target and the entry VM in one
// process. The direct case measures the client and the target alone.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, fleetConfig{vms: 1, targets: 1, slots: 64, serviceTime: time.Nanosecond})
	f.waitUntilServing(b)
	for _, c := range []struct{ name, address, path string }{
		{"direct", f.servers[0].Listener.Addr().String(), "/clue"},
		{"proxied", f.vms[0].CallerAddress(), "/v1/services/cluebook/clue"},
		{"lookup", f.vms[0].CallerAddress(), "/v1/lookup?service=cluebook&client=10.1.2.3"},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := newBenchClient(b, c.address, c.path)
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				client.do(b)
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkLookup reports the time of a lookup without HTTP by the number of
// members, for extrapolation to other sizes.
func BenchmarkLookup(b *testing.B) {
	f := newFleet(b, fleetConfig{vms: 1, targets: 1})
	f.waitUntilServing(b)
	v := f.vms[0]
	request := callerhttp.LookupRequest{Service: "cluebook", Client: netip.MustParseAddr("10.1.2.3"), Zone: "sask-a"}
	for _, n := range []int{12, 50, 100, 200, 400, 700} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			addMembers(b, v, "r0", n)
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				_, problem := v.Lookup(b.Context(), request)
				if problem != nil {
					b.Fatal(problem)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// addMembers adds members that do not exist to the member list, a fifth of them
// in the given region. They count as alive until probes of them have failed for
// several seconds.
func addMembers(b testing.TB, v *VM, region string, n int) {
	var list []protocol.Member
	regions := []string{region, "r1", "r2", "r3", "r4"}
	for i := range n {
		address := fmt.Sprintf("127.1.%d.%d:9", i/250, i%250+1)
		list = append(list, protocol.Member{
			PeerAddress: address, CallerAddress: address, OperatorAddress: address,
			Region: regions[i%5], Zone: fmt.Sprint("z", i%18), Ready: true,
			Incarnation: uint64(time.Now().UnixNano()), FreeSlots: map[string]int{"cluebook": 3},
		})
	}
	err := v.members.HandleExchange(context.Background(), &protocol.ExchangeRequest{From: list[0], Members: list}, &protocol.ExchangeReply{})
	assert.NilError(b, err)
}
