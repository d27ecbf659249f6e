package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// request passes a request to the handler of s directly, so that it can run in
// virtual time. It returns nil if the handler aborted the connection.
func request(ctx context.Context, s *Server, method, path, body string, header ...string) (rec *httptest.ResponseRecorder) {
	defer func() {
		if recover() != nil {
			rec = nil
		}
	}()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	rec = httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, r)
	return rec
}

// Guards against a stand-in that runs more requests than it has slots, or sheds
// a request without the header that makes a resend safe.
func TestSlotsQueueAndShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{Slots: 2, Queue: 1, ServiceTime: time.Second})
		begin := time.Now()
		ends := make(chan time.Duration, 3)
		for range 3 {
			go func() {
				if rec := request(ctx, s, "GET", "/a", ""); rec.Code == http.StatusOK {
					ends <- time.Since(begin)
				}
			}()
		}
		synctest.Wait()
		assert.Equal(t, s.Load(), Load{InFlight: 2, Slots: 2, Queue: 1})
		rec := request(ctx, s, "GET", "/a", "")
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, rec.Header().Get(protocol.HeaderNotRun), "true")
		assert.Equal(t, <-ends, time.Second)
		assert.Equal(t, <-ends, time.Second)
		assert.Equal(t, <-ends, 2*time.Second)
		synctest.Wait()
		assert.Equal(t, s.Load(), Load{Slots: 2})
	})
}

// Guards against counting a run that did not happen, and against missing one
// that did.
func TestRunsAreCountedByTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{Slots: 1, Queue: 1, ServiceTime: time.Second})
		first, cancelFirst := context.WithCancel(ctx)
		go request(first, s, "POST", "/a", "", protocol.HeaderTicket, "running")
		synctest.Wait()
		second, cancelSecond := context.WithCancel(ctx)
		go request(second, s, "POST", "/a", "", protocol.HeaderTicket, "waiting")
		synctest.Wait()
		cancelSecond()
		synctest.Wait()
		cancelFirst()
		synctest.Wait()
		assert.DeepEqual(t, s.Runs(), map[string]int{"running": 1})
		assert.Equal(t, s.Load(), Load{Slots: 1})

		rec := request(ctx, s, "POST", "/a", "", protocol.HeaderDeadlineMs, "100", protocol.HeaderTicket, "late")
		assert.Equal(t, rec.Code, http.StatusGatewayTimeout)
		assert.Equal(t, rec.Header().Get(protocol.HeaderNotRun), "")
		assert.Equal(t, s.Runs()["late"], 1)
	})
}

// Guards against a crash that leaves other requests running or slots in use.
func TestCrashBreaksAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{Slots: 2, ServiceTime: time.Second, CrashMarker: "crash-me", RestartTime: 3 * time.Second, StartTime: time.Second})
		aborted := make(chan bool, 1)
		go func() { aborted <- request(ctx, s, "GET", "/a", "") == nil }()
		synctest.Wait()
		assert.Assert(t, request(ctx, s, "POST", "/a", "some crash-me") == nil)
		assert.Assert(t, <-aborted)
		synctest.Wait()
		assert.Equal(t, s.Load().InFlight, 0)
		assert.Assert(t, request(ctx, s, "GET", "/a", "") == nil)
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.State(), StateStarting)
		time.Sleep(time.Second)
		assert.Equal(t, s.State(), StateReady)
		assert.Equal(t, request(ctx, s, "GET", "/a", "").Code, http.StatusOK)
	})
}

// Guards against a load report without delay, and against a cold start or a
// slowdown without effect.
func TestLoadLagsAndColdStartIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{ServiceTime: time.Second, LoadLag: 2 * time.Second, ColdTime: 10 * time.Second, ColdFactor: 5})
		begin := time.Now()
		done := make(chan struct{})
		go func() { request(ctx, s, "GET", "/a", ""); close(done) }()
		time.Sleep(2*time.Second - 1)
		assert.Equal(t, s.reportedLoad().InFlight, 0)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, s.reportedLoad().InFlight, 1)
		<-done
		assert.Equal(t, time.Since(begin), 5*time.Second)
		time.Sleep(10 * time.Second)
		s.UpdateFaults(func(f *Faults) { f.Slowdown = 3 })
		begin = time.Now()
		request(ctx, s, "GET", "/a", "")
		assert.Equal(t, time.Since(begin), 3*time.Second)
	})
}

// Guards against the faults Truncate and SendPrevious having no effect on the
// response.
func TestBrokenResponses(t *testing.T) {
	s := New(Config{ServiceTime: time.Millisecond})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	get := func(id string) (ResponseDocument, string, error) {
		r, err := http.NewRequest("GET", server.URL+"/a?bytes=1000", nil)
		assert.NilError(t, err)
		r.Header.Set(protocol.HeaderRequestID, id)
		resp, err := server.Client().Do(r)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		var d ResponseDocument
		_ = json.Unmarshal(data, &d)
		return d, resp.Header.Get(protocol.HeaderRequestID), err
	}
	d, id, err := get("1")
	assert.NilError(t, err)
	assert.Equal(t, d.RequestID, "1")
	assert.Equal(t, id, "1")
	s.UpdateFaults(func(f *Faults) { f.SendPrevious = true })
	d, id, err = get("2")
	assert.NilError(t, err)
	assert.Equal(t, d.RequestID, "1")
	assert.Equal(t, id, "1")
	s.UpdateFaults(func(f *Faults) { *f = Faults{Truncate: true} })
	_, _, err = get("3")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
