package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// targetCounts are the request counters of a target.
type targetCounts struct{ Runs, Shed, Crashes int }

// fetchCounts returns the request counters of a target.
func fetchCounts(ts *testscript.TestScript, address string) targetCounts {
	resp, err := httpClient.Get("http://" + address + "/control/runs")
	ts.Check(err)
	defer resp.Body.Close()
	var reply struct {
		Counts targetCounts
	}
	ts.Check(json.NewDecoder(resp.Body).Decode(&reply))
	return reply.Counts
}

// cmdCountRuns stores the number of requests that a target ran in a variable:
// countruns VARIABLE N.
func cmdCountRuns(ts *testscript.TestScript, _ bool, args []string) {
	counts := fetchCounts(ts, systemOf(ts).targets[parseInt(ts, args[1])-1])
	ts.Setenv(args[0], strconv.Itoa(counts.Runs))
}

// cmdSame checks that two variables are equal: same A B.
func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	if a, b := ts.Getenv(args[0]), ts.Getenv(args[1]); a != b {
		ts.Fatalf("%s is %s but %s is %s", args[0], a, args[1], b)
	}
}

// cmdLoad sends requests to entry VMs in turn: load N CALLER... The path must not
// be /load, because targets do not count its requests as runs.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	for i := range parseInt(ts, args[0]) {
		address := args[1+i%(len(args)-1)]
		got := sendRequest("GET", "http://"+address+"/v1/services/desk/clue", "", "", "")
		if !strings.Contains(got, "outcome: answered") {
			ts.Fatalf("request %d: %s", i, got)
		}
	}
}

// cmdCrashes checks that the targets crashed at least once and at most MAX times:
// crashes MAX.
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, address := range systemOf(ts).targets {
		total += fetchCounts(ts, address).Crashes
	}
	if total < 1 || total > parseInt(ts, args[0]) {
		ts.Fatalf("the targets crashed %d times, want 1 to %s", total, args[0])
	}
}

// cmdRevision stores the revision from the JSON on standard output in a variable:
// revision VARIABLE.
func cmdRevision(ts *testscript.TestScript, _ bool, args []string) {
	var document struct{ Revision int64 }
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &document))
	ts.Setenv(args[0], strconv.FormatInt(document.Revision, 10))
}

// cmdWriteTree writes a tree with rules for sask/desk to a file: writetree FILE
// RULES.
func cmdWriteTree(ts *testscript.TestScript, _ bool, args []string) {
	text := settingsTree([]string{"sask"}, systemOf(ts).targets, 4)
	rules := fmt.Sprintf("      desk:\n        rules: {%s}\n", args[1])
	text = strings.Replace(text, "      desk:\n", rules, 1)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// cmdLeaveVM marks the VM of a target as leaving in the VM list: leavevm N.
func cmdLeaveVM(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	address := s.targets[parseInt(ts, args[0])-1]
	body := fmt.Sprintf(`{"address":%q,"zone":"sask-a","state":"leaving"}`, address)
	postControl(ts, s.platform, "/control/vms", body)
}
