package target

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	standin "hickoryroute/pkg/standin/target"
)

// Guards against a prober and targets that use different JSON fields, so that
// draining is detected only by the response header and not by the body of the
// health response.
func TestProberReadsStandInReports(t *testing.T) {
	s := standin.New(standin.Config{Name: "t", Slots: 3})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Handler().ServeHTTP(headerFilter{w}, r)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	p := &Prober{Client: New(Config{})}
	ref := protocol.TargetRef{Address: server.Listener.Addr().String()}
	h, err := p.Health(t.Context(), ref)
	assert.NilError(t, err)
	assert.Assert(t, h.Healthy && !h.Draining)
	s.UpdateFaults(func(w *standin.Faults) { w.Draining = true })
	h, err = p.Health(t.Context(), ref)
	assert.NilError(t, err)
	assert.Assert(t, h.Draining)
	load, err := p.Load(t.Context(), ref)
	assert.NilError(t, err)
	assert.Equal(t, load.Slots, 3)
}

// headerFilter removes the draining header, so that only the body announces
// draining.
type headerFilter struct{ http.ResponseWriter }

func (f headerFilter) WriteHeader(status int) {
	f.Header().Del(protocol.HeaderDraining)
	f.ResponseWriter.WriteHeader(status)
}

func (f headerFilter) Write(p []byte) (int, error) {
	f.Header().Del(protocol.HeaderDraining)
	return f.ResponseWriter.Write(p)
}
