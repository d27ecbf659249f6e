package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newClient(t *testing.T, url string) *HTTPClient {
	t.Helper()
	h, err := NewHTTPClient(HTTPClientConfig{BaseURL: url})
	assert.NilError(t, err)
	return h
}

// Guards against ErrReplyLost for a write that was certainly not executed. The
// caller would read the key back, or give up a seat.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient(t, "http://"+address).CompareAndSwap(context.Background(), "k", nil, 0, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against reporting a write as not executed, or sending it twice, when
// its connection closes without a reply. The second write reuses a connection,
// on which http.Transport resends requests that it treats as replayable.
func TestLostReplyIsNotResent(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"revision":1}`))
	}))
	defer server.Close()
	h := newClient(t, server.URL)
	_, err := h.CompareAndSwap(context.Background(), "k", []byte("v"), 0, 0)
	assert.NilError(t, err)
	_, err = h.CompareAndSwap(context.Background(), "k", []byte("v"), 1, 0)
	assert.ErrorIs(t, err, ErrReplyLost)
	assert.Equal(t, calls.Load(), int32(2))
}

// Guards against a wrong error, for each kind of reply, about whether a write
// took effect.
func TestWriteErrorByReply(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"outage", 503, "", ErrUnavailable},
		{"rate limit", 429, "", ErrRateLimited},
		{"gateway error", 502, "", ErrReplyLost},
		{"internal error", 500, "", ErrReplyLost},
		{"lease expired", 410, "", ErrLeaseExpired},
		{"broken body", 200, "{", ErrReplyLost},
		{"no revision", 200, "{}", ErrReplyLost},
		{"broken conflict", 409, "{", ErrReplyLost},
		{"redirect", 307, "", ErrReplyLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := newClient(t, server.URL).CompareAndSwap(context.Background(), "k", nil, 0, 0)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against a call that exceeds its timeout when the store is slow, and
// against reporting the slow write as not executed.
func TestSlowWriteIsReplyLost(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	h, err := NewHTTPClient(HTTPClientConfig{BaseURL: server.URL, CallTimeout: 20 * time.Millisecond})
	assert.NilError(t, err)
	_, err = h.CompareAndSwap(context.Background(), "k", nil, 0, 0)
	assert.ErrorIs(t, err, ErrReplyLost)
	_, err = h.Get(context.Background(), "k")
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against accepting invalid replies, such as an entry with another key or
// with a revision that would disable compare-and-swap.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"key":"k","value":"dg==","revision":3,"lease":1}`))
	f.Add([]byte(`{"entries":[{"key":"k","value":"dg==","revision":3}]}`))
	f.Add([]byte(`{"revision":3}`))
	f.Add([]byte(`{"id":3,"ttl_ms":10}`))
	f.Add([]byte(`{"vms":[{"address":"a","zone":"z","state":"live"}]}`))
	f.Add([]byte(`{"error":"x","current":{"key":"k","revision":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if e, err := decodeEntry(data, "k"); err == nil && (e.Key != "k" || e.Revision <= 0) {
			t.Fatalf("accepted entry %+v", e)
		}
		entries, err := decodeEntries(data)
		for _, e := range entries {
			if err == nil && (e.Key == "" || e.Revision <= 0 || len(e.Value) > MaxValueBytes) {
				t.Fatalf("accepted entry %+v", e)
			}
		}
		if revision, err := decodeRevision(data); err == nil && revision <= 0 {
			t.Fatalf("accepted revision %d", revision)
		}
		if id, err := decodeLease(data); err == nil && id <= 0 {
			t.Fatalf("accepted lease %d", id)
		}
		if vms, err := decodeVMs(data); err == nil && vms == nil {
			t.Fatal("accepted a reply without a VM list")
		}
		if conflict, err := decodeConflict(data, "k"); err == nil && conflict.Current.Key != "k" {
			t.Fatalf("accepted conflict %+v", conflict)
		}
	})
}
