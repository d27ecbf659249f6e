package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against a status of hickoryfront that doesn't show the configuration
// in force: its version, the time since its confirmation and the VMs that serve.
func TestFrontShowsTheConfigurationInForce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, "/status")
		_ = json.NewEncoder(w).Encode(protocol.FrontStatus{
			VM: "vm-1", Zone: "z", Ready: true, Version: 12, Revision: 40, Evacuated: []string{"za"}, RoutesAgeSeconds: 1.5,
			Routes:   []protocol.FrontRoute{{Name: "clues", Host: "h.example", Prefix: "/c/", Idempotent: true, TimeoutMs: 3000, Services: []string{"cluebook 90%", "other 10%"}}},
			Services: []protocol.FrontService{{Name: "cluebook", Listed: 20, Usable: 18, Use: 0.7, Spill: 0.3}},
			VMs:      []protocol.FrontVM{{Address: "10.0.0.1:80", Zone: "z", Region: "r", Named: true}},
		})
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	code := run([]string{"front", "--address", strings.TrimPrefix(server.URL, "http://")}, &out, &errOut)
	assert.Equal(t, code, exitOK, errOut.String())
	for _, want := range []string{"version 12 of revision 40", "1.5 s ago", "evacuated: za", "cluebook 90%, other 10%", "30%", "10.0.0.1:80"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in\n%s", want, out.String())
	}
}
