package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPageTree writes a tree with the names in the documentation pages to a file:
// pagetree FILE.
func cmdPageTree(ts *testscript.TestScript, _ bool, args []string) {
	text := settingsTree([]string{"sask", "manitoba"}, systemOf(ts).targets, 4)
	text = strings.NewReplacer("desk:", "cluebook:", "desk-", "cb-0").Replace(text)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// pageRevision matches the revision in the commands of the pages.
var pageRevision = regexp.MustCompile(`\b17\b`)

// cmdPage runs the commands of a page in their order. It replaces only addresses,
// the revision and "go run ./cmd/":
//
//	page FILE OLD=NEW...
func cmdPage(ts *testscript.TestScript, _ bool, args []string) {
	commands := pageCommands(ts, args[0])
	if len(commands) == 0 {
		ts.Fatalf("%s contains no commands", args[0])
	}
	for _, command := range commands {
		for _, pair := range args[1:] {
			old, replacement, _ := strings.Cut(pair, "=")
			command = strings.ReplaceAll(command, old, replacement)
		}
		if pageRevision.MatchString(command) {
			ts.Check(ts.Exec("sh", "-c", "hickoryroute show | sed -n 's/^# revision \\([0-9]*\\) .*/\\1/p' > revision"))
			command = pageRevision.ReplaceAllString(command, strings.TrimSpace(ts.ReadFile("revision")))
		}
		if strings.HasPrefix(command, "hickoryd ") {
			// With --foreground, only the program gets the signal. Otherwise its
			// process group gets it as well, and a second signal that comes late ends
			// the planned stop at once.
			command = "timeout --foreground --preserve-status -s TERM 2 " + command
		}
		if err := ts.Exec("sh", "-c", command); err != nil {
			ts.Fatalf("%s: %s: %v", args[0], command, err)
		}
	}
}

// pageCommands returns the indented lines of a page that start a program of
// this repository or prepare its input.
func pageCommands(ts *testscript.TestScript, page string) []string {
	text, err := os.ReadFile(filepath.Join("..", "..", page))
	ts.Check(err)
	var commands []string
	unwrapped := strings.ReplaceAll(string(text), "\\\n", " ")
	for _, line := range strings.Split(unwrapped, "\n") {
		command, indented := strings.CutPrefix(line, "    ")
		command = strings.Replace(strings.TrimSpace(command), "go run ./cmd/", "", 1)
		if indented && !strings.HasPrefix(command, "go test") {
			commands = append(commands, command)
		}
	}
	return commands
}
