package scenario

import (
	"io/fs"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// trackSources looks at all sources of the programs under test. They are built
// by a process of their own, so that go test would otherwise not know that a
// cached verdict is out of date when they change.
func trackSources(t *testing.T) {
	t.Helper()
	for _, dir := range []string{"cmd", "pkg", "internal"} {
		err := filepath.WalkDir(filepath.Join("..", "..", dir), func(_ string, _ fs.DirEntry, err error) error {
			return err
		})
		assert.NilError(t, err)
	}
}
