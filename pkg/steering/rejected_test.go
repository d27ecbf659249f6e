package steering

import (
	"errors"
	"io"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// Guards against a response that is cut or not valid and leaves no trace in the log,
// or is taken for a promise.
func TestRejectedResponseIsLogged(t *testing.T) {
	logger, hook := test.NewNullLogger()
	log := func(c *Config) { c.Logger = eventlog.New(logger, nil) }
	events := func() (count int) {
		for _, entry := range hook.AllEntries() {
			if entry.Data["event"] == eventResponseRejected.Number {
				count++
			}
		}
		return count
	}
	bad := sendStep{failure: &SendError{Kind: FailBadResponse, Written: true, Responded: true, Err: errors.New("evidence")}}
	_, p := serveOnce(newTestRouter(newFakeReserver(), &fakeSender{steps: []sendStep{bad}}, log), false)
	assert.Equal(t, p.Outcome, protocol.OutcomeUnknown)
	assert.Equal(t, events(), 1)
	reserver := newFakeReserver()
	response, _ := serveOnce(newTestRouter(reserver, &fakeSender{steps: []sendStep{{truncated: true}}}, log), false)
	for range 2 {
		_, err := io.ReadAll(response.Body)
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, events(), 2)
	assert.DeepEqual(t, reserver.results, []protocol.ReleaseResult{protocol.ReleaseFailed})
}
