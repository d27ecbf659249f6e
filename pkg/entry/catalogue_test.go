package entry

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"hickoryroute/pkg/eventlog"
	_ "hickoryroute/pkg/gateway" // defines the events of hickoryfront
)

// Guards against a page of log events that differs from the code. Run the test
// with -update to write the page.
func TestEventCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Every log line carries the field `event` with one of these numbers. The same events are kept in the time line (`hickoryroute timeline`) of `hickoryd`; numbers from 2000 on are events of `hickoryfront`. ")
	b.WriteString("The page is written by `go test ./pkg/entry -run TestEventCatalogue -update`.\n\n")
	b.WriteString("| number | level | event | meaning and remedy |\n|---|---|---|---|\n")
	for _, e := range eventlog.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Help)
	}
	golden.Assert(t, b.String(), "../../../docs/EVENTS.md")
}
