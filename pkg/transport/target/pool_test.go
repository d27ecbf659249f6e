package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// closeCountingConn calls closed in each Close.
type closeCountingConn struct {
	net.Conn
	closed func()
}

func (c *closeCountingConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Guards against more connections than the limit, requests that wait beyond
// their deadline, and idle connections that stay open. Connections are counted
// at the client, because a target detects their end later.
func TestConnectionLimitAndIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		open, maxOpen := 0, 0
		counter := &countingTarget{}
		client := pipeClient(Config{MaxConnsPerTarget: 2, MaxIdlePerTarget: 1, IdleTimeout: 10 * time.Second}, func(_ int, c net.Conn) {
			time.Sleep(time.Second)
			counter.serve(c)
		})
		dial := client.cfg.Dial
		add := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			open += n
			maxOpen = max(maxOpen, open)
		}
		client.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			add(1)
			return &closeCountingConn{Conn: c, closed: sync.OnceFunc(func() { add(-1) })}, err
		}
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return open
		}
		var done sync.WaitGroup
		for range 6 {
			done.Go(func() {
				_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
				assert.Check(t, f == nil)
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, f := fetch(ctx, client, newPost("target", "b", "body"))
		assert.Equal(t, f.Kind, KindTimeout)
		assert.Assert(t, f.NotRun)
		done.Wait()
		mu.Lock()
		assert.Equal(t, maxOpen, 2)
		mu.Unlock()
		assert.Equal(t, counter.runs.Load(), int64(6))
		time.Sleep(5 * time.Second)
		assert.Equal(t, count(), 1)
		time.Sleep(6 * time.Second)
		assert.Equal(t, count(), 0)
		for i := range client.pool.shards {
			s := &client.pool.shards[i]
			s.mu.Lock()
			assert.Equal(t, len(s.targets), 0)
			s.mu.Unlock()
		}
	})
}

// fakeLink records the acquired bytes and refuses more than its capacity.
type fakeLink struct {
	mu       sync.Mutex
	out, in  int64
	capacity int64
}

func (l *fakeLink) TryAcquire(from, to string, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out+l.in+n > l.capacity {
		return false
	}
	if from == "local" {
		l.out += n
	} else {
		l.in += n
	}
	return true
}

func (l *fakeLink) Acquire(context.Context, string, string, int64) error {
	return errors.New("link is full")
}

// Guards against bytes between regions that are sent or read before they are
// acquired from the limiter, and against use of the limiter within a region.
func TestLinkBytesAreChargedBeforeTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, region := range []string{"sask", "local"} {
			l := &fakeLink{capacity: 1 << 30}
			var sent, received int64
			counter := &countingTarget{}
			client := pipeClient(Config{Limiter: l}, func(_ int, c net.Conn) {
				counter.serve(&meteredConn{Conn: c, onRead: func(n int) {
					l.mu.Lock()
					defer l.mu.Unlock()
					received += int64(n)
					assert.Check(t, region == "sask" || received <= l.out)
				}, onWrite: func(n int) { sent += int64(n) }})
			})
			r := newPost("target", "a", strings.Repeat("b", 100_000))
			r.LocalRegion = region
			_, f := fetch(context.Background(), client, r)
			assert.Assert(t, f == nil)
			client.Close()
			synctest.Wait()
			if region == "sask" { // the region of the target
				assert.Equal(t, l.out+l.in, int64(0))
				continue
			}
			assert.Equal(t, l.out, received)
			assert.Equal(t, l.in, int64(linkWindowBytes+readBufferBytes))
			assert.Assert(t, sent < readBufferBytes)
		}
	})
}

type meteredConn struct {
	net.Conn
	onRead, onWrite func(n int)
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.onRead(n)
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	m.onWrite(len(p))
	return m.Conn.Write(p)
}

// Guards against requests on a full link that are reported as possibly run
// although nothing was sent, or as not run although a part was sent.
func TestFullLink(t *testing.T) {
	for _, c := range []struct {
		capacity int64
		notRun   bool
	}{{0, true}, {linkWindowBytes + 10, true}, {linkWindowBytes + 30_000, false}} {
		counter := &countingTarget{}
		client := pipeClient(Config{Limiter: &fakeLink{capacity: c.capacity}}, func(_ int, conn net.Conn) { counter.serve(conn) })
		r := newPost("target", "a", strings.Repeat("b", 100_000))
		r.LocalRegion = "local"
		_, f := fetch(context.Background(), client, r)
		assert.Equal(t, f.Kind, KindLinkFull, "%v", f)
		assert.Equal(t, f.NotRun, c.notRun)
		assert.Equal(t, counter.runs.Load(), int64(0))
	}
}

// Guards against probes that report an unhealthy target as healthy or miss that
// a target drains.
func TestProber(t *testing.T) {
	for _, c := range []struct {
		response          string
		healthy, draining bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, false},
		{"HTTP/1.1 200 OK\r\nHickory-Draining: true\r\nContent-Length: 0\r\n\r\n", true, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"state\":\"starting\"}", false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"state\":\"draining\"}", true, true},
		{"HTTP/1.1 503 X\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n", false, false},
		{"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", false, false},
	} {
		p := &Prober{Client: pipeClient(Config{}, respondWith(c.response))}
		h, err := p.Health(context.Background(), protocol.TargetRef{Address: "target"})
		assert.NilError(t, err)
		assert.Equal(t, h.Healthy, c.healthy, c.response)
		assert.Equal(t, h.Draining, c.draining, c.response)
	}
	p := &Prober{Client: pipeClient(Config{}, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"in_flight\":2,\"slots\":3,\"x\""))}
	_, err := p.Load(context.Background(), protocol.TargetRef{Address: "target"})
	assert.ErrorIs(t, err, ErrLoadReport)
	report, err := ParseLoadReport([]byte(`{"in_flight":2,"slots":3,"queue":1,"draining":true,"more":[]}`))
	assert.NilError(t, err)
	assert.Equal(t, report, LoadReport{InFlight: 2, Slots: 3, QueueLength: 1, Draining: true})
}

// FuzzLoadReport guards against reports that crash the parser or pass with
// counts out of range.
func FuzzLoadReport(f *testing.F) {
	f.Add([]byte(`{"in_flight":2,"slots":3,"queue":1}`))
	f.Add([]byte(`{"in_flight":-2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseLoadReport(body)
		if err == nil && (min(r.InFlight, r.Slots, r.QueueLength) < 0 || max(r.InFlight, r.Slots, r.QueueLength) > maxReportedCount) {
			t.Fatalf("report %+v", r)
		}
	})
}

// FuzzResponse guards against responses that crash the client or make it report
// NotRun although the target did not state it.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 503 OK\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		client := pipeClient(Config{}, respondWith(text))
		defer client.Close()
		_, failure := fetch(context.Background(), client, newPost("target", "a", "body"))
		if failure != nil && failure.NotRun && failure.Kind != KindRefused {
			t.Fatalf("%v", failure)
		}
	})
}

// Guards against requests that cross the end of an idle connection, and against new
// connections in place of those that the target keeps: with a timeout of 10 s, a
// third of the time was given away.
func TestIdleConnectionsEndBeforeTheTargetsTimeout(t *testing.T) {
	p := newPool(Config{IdleTimeout: 5 * time.Second})
	for _, test := range []struct{ announced, want time.Duration }{
		{0, 5 * time.Second}, {time.Second, 666_666_667 * time.Nanosecond}, {3 * time.Second, 2 * time.Second},
		{6 * time.Second, 4 * time.Second}, {10 * time.Second, 8 * time.Second}, {60 * time.Second, 58 * time.Second},
	} {
		assert.Equal(t, p.idleTimeout(&conn{idleLimit: test.announced}), test.want, "%s", test.announced)
	}
}

// Guards against idle connections to many targets that use up the file descriptors
// of a VM, and against a limit that still counts connections that have ended or are
// in use again.
func TestIdleConnectionsOfAllTargetsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5
		counter := &countingTarget{}
		client := pipeClient(Config{MaxIdlePerTarget: 2, MaxIdle: limit, IdleTimeout: time.Second}, func(_ int, c net.Conn) { counter.serve(c) })
		request := func(target int) {
			_, f := fetch(context.Background(), client, newPost(fmt.Sprintf("target-%d", target), "a", "body"))
			assert.Check(t, f == nil)
		}
		for round := range 3 {
			for i := range 4 * limit {
				request(i)
				synctest.Wait()
				assert.Assert(t, client.Usage().Idle <= limit, "%d idle connections", client.Usage().Idle)
			}
			assert.Equal(t, client.Usage().Idle, limit, "round %d", round)
			assert.Equal(t, client.pool.idleCount.Load(), int64(limit))
			time.Sleep(2 * time.Second) // all end
			synctest.Wait()
			assert.Equal(t, client.pool.idleCount.Load(), int64(0))
		}
	})
}

// Guards against a new connection for each request to a target in use while the limit
// for all targets is taken up by connections to targets that are not used any more.
func TestIdleConnectionTakesThePlaceOfAnOlderOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		counter := &countingTarget{}
		client := pipeClient(Config{MaxIdlePerTarget: 2, MaxIdle: 200, IdleTimeout: 8 * time.Second}, func(_ int, c net.Conn) {
			dials++
			counter.serve(c)
		})
		requests := 0
		request := func(target string) {
			requests++
			_, f := fetch(context.Background(), client, newPost(target, fmt.Sprint(requests), "body"))
			assert.Check(t, f == nil)
			synctest.Wait()
		}
		for i := range 200 {
			request(fmt.Sprintf("unused-%d", i))
		}
		before := dials
		for range 20 {
			request("used")
			time.Sleep(100 * time.Millisecond)
		}
		assert.Check(t, dials-before == 1, "%d connections", dials-before)
		assert.Check(t, client.pool.idleCount.Load() == 200, "%d idle", client.pool.idleCount.Load())
		client.Close()
		assert.Equal(t, client.pool.idleCount.Load(), int64(0))
	})
}
