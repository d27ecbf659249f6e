package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPageTree writes a tree with the names that the pages use.
func cmdPageTree(ts *testscript.TestScript, _ bool, args []string) {
	text := tree([]string{"sask", "manitoba"}, systemOf(ts).targets, 4)
	text = strings.NewReplacer("desk:", "cluebook:", "desk-", "cb-0").Replace(text)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// pageRevision is the revision that the pages name.
var pageRevision = regexp.MustCompile(`\b17\b`)

// cmdPage runs the commands of a page in their order, as they are written but
// for addresses, the revision and the name of the source directory:
//
//	page FILE OLD=NEW...
func cmdPage(ts *testscript.TestScript, _ bool, args []string) {
	commands := pageCommands(ts, args[0])
	if len(commands) == 0 {
		ts.Fatalf("%s holds no commands", args[0])
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
			// In the foreground the signal goes to the program alone. Otherwise it is
			// sent to the program and to its group, and the second one, if it comes
			// late, ends the planned stop at once.
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
	joined := strings.ReplaceAll(string(text), "\\\n", " ")
	for _, line := range strings.Split(joined, "\n") {
		command, indented := strings.CutPrefix(line, "    ")
		command = strings.Replace(strings.TrimSpace(command), "go run ./cmd/", "", 1)
		if indented && !strings.HasPrefix(command, "go test") {
			commands = append(commands, command)
		}
	}
	return commands
}
