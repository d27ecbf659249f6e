package netconn

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitUntilHeld waits until a connection holds a number of bytes.
func waitUntilHeld(t *testing.T, conn *callerConn, size int) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		held := len(conn.held)
		conn.mu.Unlock()
		if held == size {
			return
		}
	}
	t.Fatalf("the connection does not hold %d bytes", size)
}

// Guards against requests that wait behind others and count as just sent: they are
// held past the time for which their callers wait, and targets are told too much of
// it. The watch for the caller's departure begins before the handler asks.
func TestWaitingRequestsKeepTheTimeOfTheirArrival(t *testing.T) {
	const untilWatch = 5 * time.Millisecond
	type served struct{ arrived, began time.Time }
	requests := make(chan served, 4)
	running := make(chan *callerConn, 1)
	release := make(chan struct{})
	_, dial := serveCallers(t, false, func(_ http.ResponseWriter, r *http.Request) {
		began := time.Now()
		time.Sleep(untilWatch)
		requests <- served{ArrivedAt(r.Context(), began), began}
		if r.URL.Path == "/first" {
			running <- r.Context().Value(callerConnKey{}).(*callerConn)
			<-release
		}
	})
	caller := dial()
	sent := []time.Time{time.Now()}
	send(t, caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+shortRequest)
	first, conn := <-requests, <-running
	for n := 1; n <= 2; n++ {
		sent = append(sent, time.Now())
		send(t, caller, shortRequest)
		waitUntilHeld(t, conn, n*len(shortRequest))
		time.Sleep(2 * minArrivalGap)
	}
	released := time.Now()
	close(release)

	together, behind, last := <-requests, <-requests, <-requests
	between := func(r served, from, to time.Time) {
		t.Helper()
		assert.Assert(t, r.arrived.After(from) && r.arrived.Before(to), "%s, wanted from %s to %s", r.arrived, from, to)
	}
	between(first, sent[0], first.began)
	between(together, sent[0], first.began)
	between(behind, sent[1], sent[2])
	between(last, sent[2], released)
	assert.Assert(t, together.began.After(released), "the requests have waited")
}

func TestArrivalsAreBoundedAndNeverTooEarly(t *testing.T) {
	var a arrivals
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a.add(3, begin)
	a.add(4, begin.Add(minArrivalGap/2))
	bytes, at := a.first()
	assert.Equal(t, bytes, 7)
	assert.Equal(t, at, begin.Add(minArrivalGap/2), "the later bytes count")
	for i := range 2 * maxArrivals {
		a.add(1, begin.Add(time.Duration(i+2)*minArrivalGap))
	}
	assert.Equal(t, len(a), maxArrivals)
	a.take(7)
	bytes, _ = a.first()
	assert.Equal(t, bytes, 1)
}
