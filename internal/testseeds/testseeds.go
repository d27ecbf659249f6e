// Package testseeds reads the seeds that randomized tests keep.
package testseeds

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Read returns the seeds of a file in testdata, one a line before the reason for
// it. Lines that begin with "#" are left out.
func Read(t *testing.T, file string) (seeds []int) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		number, _, _ := strings.Cut(line, " ")
		seed, err := strconv.Atoi(number)
		assert.NilError(t, err)
		seeds = append(seeds, seed)
	}
	return seeds
}
