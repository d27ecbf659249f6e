package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against a client that cannot talk to a standard HTTP server.
func TestDoWithStandardServer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
		_, _ = io.Copy(w, r.Body)
	}))
	defer srv.Close()
	c := New(Config{})
	defer c.Close()
	ref := protocol.TargetRef{Address: srv.Listener.Addr().String()}
	for _, body := range []string{"", "answer", strings.Repeat("x", 300_000)} {
		resp, err := c.Do(context.Background(), &Request{
			Target: ref, Method: "POST", Path: "/a%2Fb?x=1", RequestID: "id",
			Body: strings.NewReader(body), ContentLength: int64(len(body)),
		})
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
		assert.NilError(t, resp.Body.Close())
	}
}
