// Package testproc builds and observes programs of this repository that tests
// run as separate processes.
package testproc

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
)

// Build builds the programs of a package pattern such as "hickoryroute/cmd/..."
// into a directory, each under the name of its own directory.
func Build(dir, pattern string) error {
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), pattern).CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "build %s: %s", pattern, out)
	}
	return nil
}

// Output collects what a process writes. The zero value is empty. It is safe
// for concurrent use.
type Output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns what has been written.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}
