package netconn

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait behind others and count as just sent: they are
// held past the time for which their callers wait, and targets are told too much of it.
func TestWaitingRequestsKeepTheTimeOfTheirArrival(t *testing.T) {
	const first = 300 * time.Millisecond
	ages := make(chan time.Duration, 3)
	_, dial := serveCallers(t, false, func(_ http.ResponseWriter, r *http.Request) {
		now := time.Now()
		ages <- now.Sub(ArrivedAt(r.Context(), now))
		if r.URL.Path == "/first" {
			time.Sleep(first)
		}
	})
	conn := dial()
	send(t, conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(first / 3)
	send(t, conn, shortRequest)
	time.Sleep(first / 3)
	send(t, conn, shortRequest)
	assert.Equal(t, <-ages, time.Duration(0))
	behind, last := <-ages, <-ages
	assert.Assert(t, behind >= first/2 && behind < 2*first, "%s", behind)
	assert.Assert(t, last >= first/6 && last < behind, "%s", last)
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
