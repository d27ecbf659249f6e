package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/platform"
)

// Guards against concurrent edits that are both accepted, and against a conflict
// error that does not contain the author, reason and path of the accepted edit.
func TestConcurrentEditsAcceptOnlyOne(t *testing.T) {
	names := []string{"alice", "bob"}
	f := newFleet(t, fleetConfig{vms: 2, targets: 1, adjustConfig: func(c *Config) {
		c.OperatorTokens = operatorhttp.Tokens{"alice": "token-of-alice", "bob": "token-of-bob"}
	}})
	f.waitUntilServing(t)
	const rounds = 5
	for round := range rounds {
		base := max(f.vms[0].config.Current().Revision, f.vms[1].config.Current().Revision)
		results := make([]error, len(names))
		done := make(chan int)
		for i, name := range names {
			go func() {
				client := operatorhttp.NewClient(f.vms[i].OperatorAddress(), "token-of-"+name, http.DefaultClient)
				_, results[i] = client.Edit(t.Context(), operatorhttp.EditRequest{
					RequestID: fmt.Sprintf("%s-%d", name, round), Op: operatorhttp.OpSet, BaseRevision: base,
					Path: "sask/cluebook", Rules: fmt.Sprintf("queue_limit: %d", 10*round+i+3), Reason: "reason of " + name,
				})
				done <- i
			}()
		}
		<-done
		<-done
		loser := slices.IndexFunc(results, func(err error) bool { return err != nil })
		assert.Assert(t, loser >= 0, "both edits were accepted")
		winner := 1 - loser
		assert.NilError(t, results[winner])
		var problem *protocol.Problem
		assert.Assert(t, errors.As(results[loser], &problem))
		assert.Equal(t, problem.Code, protocol.CodeConflict)
		for _, part := range []string{names[winner], "reason of " + names[winner], "sask/cluebook"} {
			assert.Assert(t, strings.Contains(problem.Detail, part), problem.Detail)
		}
		// A later edit on the same base revision is also rejected.
		client := operatorhttp.NewClient(f.vms[winner].OperatorAddress(), "token-of-alice", http.DefaultClient)
		_, err := client.Edit(t.Context(), operatorhttp.EditRequest{
			RequestID: fmt.Sprintf("late-%d", round), Op: operatorhttp.OpRemove, BaseRevision: base, Path: "sask/cluebook", Reason: "late",
		})
		assert.Assert(t, errors.As(err, &problem), "accepted on an old base: %v", err)
		assert.Equal(t, problem.Code, protocol.CodeConflict)
	}
}

var metricName = regexp.MustCompile("hickory_[a-z_]+")

// usePlatformOverHTTP returns a function that connects a VM to the stand-in of
// the platform through the HTTP client.
func usePlatformOverHTTP(t *testing.T) func(*Config) {
	return func(c *Config) {
		server := httptest.NewServer(c.Store.(*standinplatform.Server).Handler())
		t.Cleanup(server.Close)
		client, err := platform.NewHTTPClient(platform.HTTPClientConfig{BaseURL: server.URL})
		assert.NilError(t, err)
		c.Store, c.VMList = client, client
	}
}

// Guards against metrics that the page does not document, and against documented
// metrics that no VM exports.
func TestMetricsPageMatchesTheCode(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, targets: 1, adjustConfig: usePlatformOverHTTP(t)})
	f.waitUntilServing(t)
	var out bytes.Buffer
	operatorBackend{f.vms[0]}.WriteMetrics(&out)
	exported := map[string]bool{}
	for _, line := range strings.Split(out.String(), "\n") {
		name := metricName.FindString(line)
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		if name != "" {
			exported[name] = true
		}
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	// The second section is checked by the test of the same name in pkg/gateway.
	section, _, found := strings.Cut(string(page), "\n## hickoryfront\n")
	assert.Assert(t, found)
	documented := map[string]bool{}
	for _, name := range metricName.FindAllString(section, -1) {
		documented[name] = true
	}
	assert.DeepEqual(t, sortedNames(exported), sortedNames(documented))
}

// Guards against a settings age that differs on VMs that do not watch the
// settings, and against one that stays low during an outage of the platform.
func TestSettingsAgeAgreesOnAllVMs(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, targets: 1}) // two of the three watch the settings
	f.waitUntilServing(t)
	age := func(v *VM) time.Duration {
		resp, err := http.Get("http://" + v.OperatorAddress() + "/readyz")
		assert.NilError(t, err)
		defer resp.Body.Close()
		var report struct {
			Seconds float64 `json:"settings_age_seconds"`
		}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&report))
		return time.Duration(report.Seconds * float64(time.Second))
	}
	reply, err := operatorBackend{f.vms[0]}.Edit(t.Context(), "ann", operatorhttp.EditRequest{
		RequestID: "one", Op: operatorhttp.OpSet, Path: "sask", Rules: "queue_limit: 3", Reason: "test",
	})
	assert.NilError(t, err)
	for _, v := range f.vms { // the edit also ends watches started before the members knew each other
		waitFor(t, func() error {
			if got := v.config.Current().Revision; got < reply.Revision {
				return fmt.Errorf("%s is at revision %d", v.PeerAddress(), got)
			}
			return nil
		})
	}
	time.Sleep(settingsCompareInterval)
	start := time.Now()
	_, err = operatorBackend{f.vms[0]}.History(t.Context()) // reads the head of the settings
	assert.NilError(t, err)
	for _, v := range f.vms {
		waitFor(t, func() error {
			if old := age(v); old > time.Since(start)+settingsCompareInterval/2 { // each hop rounds up
				return fmt.Errorf("%s: the settings are %s old, the read %s", v.PeerAddress(), old, time.Since(start))
			}
			return nil
		})
	}
	f.store.SetFaults(standinplatform.Faults{Outage: true})
	outageStart := time.Now()
	time.Sleep(2 * settingsCompareInterval)
	for _, v := range f.vms {
		assert.Assert(t, age(v) >= time.Since(outageStart)-settingsCompareInterval, "%s reports confirmed settings during an outage", v.PeerAddress())
	}
}

// settingsCompareInterval is the time within which each VM compares its settings
// with a peer.
const settingsCompareInterval = time.Second
