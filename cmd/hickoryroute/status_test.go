package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a column of free slots that shows a Go map in Go syntax.
func TestFreeSlotsText(t *testing.T) {
	assert.Equal(t, freeSlotsText(nil), "none")
	assert.Equal(t, freeSlotsText(map[string]int{"desk": 3, "cluebook": 12}), "cluebook 12, desk 3")
}
