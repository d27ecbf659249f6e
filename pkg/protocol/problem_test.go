package protocol

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against responses that lack the outcome or the remedy of a problem.
func TestProblemWriteKeepsOutcomeAndRemedy(t *testing.T) {
	rec := httptest.NewRecorder()
	NewProblem(503, CodeNoRoom, OutcomeNotRun, "all slots are taken", "retry after the given time").Write(rec)
	var got Problem
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &got))
	assert.Equal(t, rec.Code, 503)
	assert.Equal(t, rec.Header().Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, got.Code, CodeNoRoom)
	assert.Equal(t, got.Remedy, "retry after the given time")
}
