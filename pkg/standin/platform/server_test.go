package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// testBothInterfaces runs the test against the stand-in in-process and over HTTP,
// to check that both behave the same.
func testBothInterfaces(t *testing.T, test func(t *testing.T, s *Server, store platform.Store)) {
	t.Run("in process", func(t *testing.T) {
		s := New(Config{})
		test(t, s, s)
	})
	t.Run("over HTTP", func(t *testing.T) {
		s := New(Config{})
		server := httptest.NewServer(s.Handler())
		defer server.Close()
		adapter, err := platform.NewHTTPClient(platform.HTTPClientConfig{BaseURL: server.URL, WatchWait: 50 * time.Millisecond})
		assert.NilError(t, err)
		test(t, s, adapter)
	})
}

// Guards against two operators overwriting each other's revision.
func TestCompareAndSwapReportsConflict(t *testing.T) {
	testBothInterfaces(t, func(t *testing.T, _ *Server, store platform.Store) {
		ctx := context.Background()
		const key = "members/127.0.0.1:7101 a/../b?c"
		first, err := store.CompareAndSwap(ctx, key, []byte("one"), 0, 0)
		assert.NilError(t, err)
		_, err = store.CompareAndSwap(ctx, key, []byte("two"), 0, 0)
		var conflict *platform.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "got %v", err)
		assert.Equal(t, conflict.Current.Revision, first)
		assert.Equal(t, string(conflict.Current.Value), "one")
		assert.Assert(t, errors.As(store.Delete(ctx, key, first+1), &conflict))
		assert.NilError(t, store.Delete(ctx, key, first))
		assert.ErrorIs(t, store.Delete(ctx, key, first), platform.ErrNotFound)
		_, err = store.Get(ctx, key)
		assert.ErrorIs(t, err, platform.ErrNotFound)
	})
}

// Guards against a write that has no effect when its reply is lost.
func TestLostReplyTakesEffect(t *testing.T) {
	testBothInterfaces(t, func(t *testing.T, s *Server, store platform.Store) {
		ctx := context.Background()
		s.SetFaults(Faults{LoseReplies: true})
		_, err := store.CompareAndSwap(ctx, "k", []byte("v"), 0, 0)
		assert.ErrorIs(t, err, platform.ErrReplyLost)
		s.SetFaults(Faults{})
		entry, err := store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(entry.Value), "v")
	})
}

// Guards against writes that take effect during an outage, and against current
// reads while stale reads are set.
func TestOutageAndStaleReads(t *testing.T) {
	testBothInterfaces(t, func(t *testing.T, s *Server, store platform.Store) {
		ctx := context.Background()
		revision, err := store.CompareAndSwap(ctx, "k", []byte("old"), 0, 0)
		assert.NilError(t, err)
		s.SetFaults(Faults{Outage: true})
		_, err = store.CompareAndSwap(ctx, "k", []byte("lost"), revision, 0)
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		s.SetFaults(Faults{StaleReads: true})
		_, err = store.CompareAndSwap(ctx, "k", []byte("new"), revision, 0)
		assert.NilError(t, err)
		entry, err := store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(entry.Value), "old")
		s.SetFaults(Faults{})
		entries, err := store.List(ctx, "")
		assert.NilError(t, err)
		assert.Equal(t, string(entries[0].Value), "new")
	})
}

// Guards against a watch that misses a write or never ends.
func TestWatchSeesWriteAndEnds(t *testing.T) {
	testBothInterfaces(t, func(t *testing.T, s *Server, store platform.Store) {
		ctx := context.Background()
		go s.PutVM(platform.VM{Address: "a", State: platform.VMLive})
		revision, err := s.CompareAndSwap(ctx, "settings/head", []byte("v"), 0, 0)
		assert.NilError(t, err)
		entries, err := store.Watch(ctx, "settings/", revision-1)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1)
		if _, ok := store.(*platform.HTTPClient); ok {
			entries, err = store.Watch(ctx, "settings/", revision)
			assert.NilError(t, err)
			assert.Equal(t, len(entries), 0)
		}
	})
}

// Guards against a lease that outlives its lifetime or expires while it is
// renewed, and against a waiting watch that misses a later write.
func TestLeaseAndWatchInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{})
		id, err := s.Grant(ctx, 10*time.Second)
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "members/a", nil, 0, id)
		assert.NilError(t, err)
		time.Sleep(9 * time.Second)
		assert.NilError(t, s.KeepAlive(ctx, id))
		time.Sleep(9 * time.Second)
		_, err = s.Get(ctx, "members/a")
		assert.NilError(t, err)
		go func() {
			time.Sleep(5 * time.Second)
			_, _ = s.CompareAndSwap(ctx, "members/b", nil, 0, 0)
		}()
		begin := time.Now()
		found, err := s.Watch(ctx, "members/b", 0)
		assert.NilError(t, err)
		assert.Equal(t, len(found), 1)
		assert.Equal(t, time.Since(begin), 5*time.Second)
		_, err = s.Get(ctx, "members/a")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		assert.ErrorIs(t, s.KeepAlive(ctx, id), platform.ErrLeaseExpired)
	})
}

// Guards against a stand-in that admits more calls than its rate limit, or shows
// changes of the VM list before the configured lag has passed.
func TestRateLimitAndVMListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(Config{ReadsPerSecond: 10, WritesPerSecond: 1, VMListLag: 5 * time.Second})
		s.SetVMs([]platform.VM{{Address: "a", State: platform.VMLive}})
		time.Sleep(time.Second)
		s.PutVM(platform.VM{Address: "a", State: platform.VMLeaving})
		time.Sleep(5*time.Second - 1)
		vms, err := s.VMs(ctx)
		assert.NilError(t, err)
		assert.Equal(t, vms[0].State, platform.VMLive)
		time.Sleep(time.Nanosecond)
		vms, err = s.VMs(ctx)
		assert.NilError(t, err)
		assert.Equal(t, vms[0].State, platform.VMLeaving)

		admitted := 0
		for range 2000 {
			if _, err := s.List(ctx, ""); err == nil {
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, admitted <= 30, "admitted %d reads in 2 s at 10/s with a burst of 10", admitted)
		assert.Assert(t, admitted >= 19, "admitted %d reads in 2 s at 10/s", admitted)
	})
}

// Guards against control endpoints that ignore a fault or a VM list change.
func TestControlEndpoints(t *testing.T) {
	s := New(Config{})
	send := func(method, path, body string, want int) {
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
		assert.Equal(t, rec.Code, want, rec.Body.String())
	}
	send("POST", "/control/faults", `{"outage":true,"slow_ms":3}`, http.StatusOK)
	send("POST", "/control/faults", `{"outage":false,"lose_replies":true}`, http.StatusOK)
	assert.Equal(t, s.Faults(), Faults{Delay: 3 * time.Millisecond, LoseReplies: true})
	send("POST", "/control/faults", `{"outtage":true}`, http.StatusBadRequest)
	send("PUT", "/control/vms", `{"vms":[{"address":"a","zone":"z","state":"live"}]}`, http.StatusOK)
	send("POST", "/control/vms", `{"address":"b","zone":"z","state":"leaving"}`, http.StatusOK)
	send("DELETE", "/control/vms?address=a", ``, http.StatusOK)
	assert.DeepEqual(t, s.CurrentVMs(), []platform.VM{{Address: "b", Zone: "z", State: platform.VMLeaving}})
}
