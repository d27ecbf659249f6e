package testproc

import (
	"io/fs"
	"path/filepath"
	"testing"
)

// TrackSources looks at all sources of the programs under test; root is the
// path of the repository from the test. They are built by a process of their
// own, so that go test would otherwise not know that a cached verdict is out of
// date when they change.
func TrackSources(t *testing.T, root string) {
	t.Helper()
	for _, dir := range []string{"cmd", "pkg", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(_ string, _ fs.DirEntry, err error) error {
			return err
		})
		if err != nil {
			t.Fatalf("look at the sources: %v", err)
		}
	}
}
