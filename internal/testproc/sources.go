package testproc

import (
	"io/fs"
	"path/filepath"
	"testing"
)

// TrackSources walks the source directories of the programs under test, so that
// go test discards a cached result when a source changes. It cannot do so by
// itself, because a separate process builds the programs. root is the path of
// the repository from the test.
func TrackSources(t *testing.T, root string) {
	t.Helper()
	for _, dir := range []string{"cmd", "pkg", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(_ string, _ fs.DirEntry, err error) error {
			return err
		})
		if err != nil {
			t.Fatalf("walk the sources: %v", err)
		}
	}
}
