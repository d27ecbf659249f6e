package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sample = `
rules:
  deadline: 8s
services:
  cluebook:
    rules: {weight: 50}
links:
  - {from: sask, to: manitoba, capacity: 4Gbit/s, cap: 400Mbit/s}
client_blocks:
  - {prefix: 10.0.0.0/8, regions: [manitoba, sask]}
regions:
  sask:
    zones: [sask-a, sask-b]
    rules: {weight: 60}
    services:
      cluebook:
        rules: {weight: 0, drain: true}
        targets:
          c1: {address: 127.0.0.1:9001, zone: sask-a, slots: 3}
  manitoba:
    zones: [manitoba-a]
    services:
      cluebook:
        targets:
          c2: {address: 127.0.0.1:9002, zone: manitoba-a, slots: 4, rules: {hedge_percent: 0}}
overrides:
  - path: sask
    rules: {max_in_flight: 20, drain: false}
    author: an
    reason: test
    set_at: 2026-01-02T03:04:05Z
    expires: 2026-01-03T03:04:05Z
`

// Guards against settings that do not survive a round trip through the text,
// such as zeros that are dropped.
func TestMarshalKeepsAllSettings(t *testing.T) {
	first, err := Parse([]byte(sample))
	assert.NilError(t, err)
	text, err := Marshal(first)
	assert.NilError(t, err)
	second, err := Parse(text)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(first, second)), 0)
	again, err := Marshal(second)
	assert.NilError(t, err)
	assert.Equal(t, string(text), string(again))
	e, err := second.Effective(Path{"manitoba", "cluebook", "c2"}, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, e.HedgePercent, 0)
	assert.Equal(t, e.Deadline, 8*time.Second)
	t.Log(string(text))
}
