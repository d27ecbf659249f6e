// Package testproc builds programs of this repository that tests run as separate
// processes, and collects their output.
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

// Output is an io.Writer that collects the output of a process. The zero value
// is ready to use. Output is safe for concurrent use.
type Output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// String returns the output so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}
