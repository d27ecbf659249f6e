package scenario

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// refusedPause keeps a worker whose requests are refused from using a whole core.
const refusedPause = 2 * time.Millisecond

// backgroundLoad is load that runs while a script continues.
type backgroundLoad struct {
	stop     chan struct{}
	workers  sync.WaitGroup
	answered atomic.Int64 // complete responses to the request that was sent
	refused  atomic.Int64 // outcome not_run
	other    atomic.Int64 // outcome unknown, or no complete response
	wrong    atomic.Int64 // outcome answered, with the body of another request

	mu        sync.Mutex
	lastWrong string
}

// loadClient keeps its connections open: a new one for each request would exhaust
// the local ports.
var loadClient = &http.Client{
	Timeout:   15 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

// cmdStorm starts a background load. Each worker sends one request after another
// to one entry VM: storm NAME WORKERS CALLER...
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	l := &backgroundLoad{stop: make(chan struct{})}
	systemOf(ts).loads[args[0]] = l
	callers := args[2:]
	for i := range parseInt(ts, args[1]) {
		l.workers.Go(func() { l.runWorker(callers[i%len(callers)], i) })
	}
}

func (l *backgroundLoad) runWorker(caller string, worker int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if !l.sendOne(caller, fmt.Sprintf("/clue?n=%d-%d", worker, n)) {
			time.Sleep(refusedPause)
		}
	}
}

// sendOne sends one request, counts its outcome and reports whether it was
// answered.
func (l *backgroundLoad) sendOne(caller, path string) bool {
	resp, err := loadClient.Get("http://" + caller + "/v1/services/desk" + path)
	if err != nil {
		l.other.Add(1)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch outcome := resp.Header.Get("Hickory-Outcome"); {
	case err != nil:
		l.other.Add(1)
	case outcome == "not_run":
		l.refused.Add(1)
	case outcome != "answered":
		l.other.Add(1)
	case resp.StatusCode == http.StatusOK && !strings.Contains(string(body), fmt.Sprintf("%q:%q", "path", path)):
		l.recordWrong(path, string(body))
	default:
		l.answered.Add(1)
		return true
	}
	return false
}

func (l *backgroundLoad) recordWrong(path, body string) {
	l.wrong.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWrong = path + " got " + body
}

// cmdProgress waits until a background load got more responses: progress NAME
// MORE DURATION.
func cmdProgress(ts *testscript.TestScript, _ bool, args []string) {
	l := systemOf(ts).loads[args[0]]
	want := l.answered.Load() + int64(parseInt(ts, args[1]))
	waitUntil(ts, args[2], func() (bool, string) {
		return l.answered.Load() >= want, fmt.Sprintf("%d responses, want %d", l.answered.Load(), want)
	})
}

// cmdCalm ends a background load and prints the counts of its outcomes: calm
// NAME.
func cmdCalm(ts *testscript.TestScript, _ bool, args []string) {
	l := systemOf(ts).loads[args[0]]
	close(l.stop)
	l.workers.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "answered: %d\nrefused: %d\nother: %d\nwrong: %d\n%s\n",
		l.answered.Load(), l.refused.Load(), l.other.Load(), l.wrong.Load(), l.lastWrong)
}

// cmdAnswered sends requests with tickets one after another and checks that each
// one is answered: answered N CALLER.
func cmdAnswered(ts *testscript.TestScript, _ bool, args []string) {
	for i := range parseInt(ts, args[0]) {
		cmdTicket(ts, false, []string{"ANSWERED", args[1]})
		got := sendRequest("POST", "http://"+args[1]+"/v1/services/desk/answers", ts.Getenv("ANSWERED"), "hello", "2000")
		if !strings.Contains(got, "outcome: answered") {
			ts.Fatalf("request %d: %s", i, got)
		}
	}
}

// waitUntil polls until check succeeds.
func waitUntil(ts *testscript.TestScript, timeout string, check func() (bool, string)) {
	d, err := time.ParseDuration(timeout)
	ts.Check(err)
	deadline := time.Now().Add(d)
	for {
		succeeded, text := check()
		if succeeded {
			return
		}
		if time.Now().After(deadline) {
			dumpLogs(ts)
			ts.Fatalf("after %s: %s", timeout, text)
		}
		time.Sleep(pollInterval)
	}
}

// cmdGets waits until a target has run more requests: gets N MORE DURATION.
func cmdGets(ts *testscript.TestScript, _ bool, args []string) {
	address := systemOf(ts).targets[parseInt(ts, args[0])-1]
	before, more := fetchCounts(ts, address).Runs, parseInt(ts, args[1])
	waitUntil(ts, args[2], func() (bool, string) {
		runs := fetchCounts(ts, address).Runs
		return runs >= before+more, fmt.Sprintf("target %s ran %d more requests, want %d", args[0], runs-before, more)
	})
}

// cmdQuiet checks that a target runs no new request for some time: quiet N
// DURATION.
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	address := systemOf(ts).targets[parseInt(ts, args[0])-1]
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	before := fetchCounts(ts, address).Runs
	time.Sleep(d)
	if after := fetchCounts(ts, address).Runs; after != before {
		ts.Fatalf("target %s ran %d new requests in %s, want none", args[0], after-before, d)
	}
}

// cmdSheds checks that the targets shed at most MAX requests: sheds MAX. A target
// without a queue sheds each request that exceeds its slots.
func cmdSheds(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, address := range systemOf(ts).targets {
		total += fetchCounts(ts, address).Shed
	}
	if total > parseInt(ts, args[0]) {
		ts.Fatalf("the targets shed %d requests, want at most %s", total, args[0])
	}
}
