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

// stormPause keeps a refused worker from using a whole core.
const stormPause = 2 * time.Millisecond

// storm is load that runs while a script goes on.
type storm struct {
	stop     chan struct{}
	work     sync.WaitGroup
	answered atomic.Int64 // whole answers to the request that was sent
	refused  atomic.Int64 // outcome not_run
	other    atomic.Int64 // unknown, or the entry VM did not answer
	wrong    atomic.Int64 // "answered" with another body than its own

	mu        sync.Mutex
	wrongText string
}

// stormClient keeps its connections: a new one for each request would use up
// the local ports.
var stormClient = &http.Client{
	Timeout:   15 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

// cmdStorm starts workers that send one request after another, each to its own
// entry VM: storm NAME WORKERS CALLER...
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	s := &storm{stop: make(chan struct{})}
	systemOf(ts).storms[args[0]] = s
	callers := args[2:]
	for i := range number(ts, args[1]) {
		s.work.Go(func() { s.run(callers[i%len(callers)], i) })
	}
}

func (s *storm) run(caller string, worker int) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		if !s.one(caller, fmt.Sprintf("/clue?n=%d-%d", worker, n)) {
			time.Sleep(stormPause)
		}
	}
}

// one sends one request and reports whether it was answered.
func (s *storm) one(caller, path string) bool {
	resp, err := stormClient.Get("http://" + caller + "/v1/services/desk" + path)
	if err != nil {
		s.other.Add(1)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch outcome := resp.Header.Get("Hickory-Outcome"); {
	case err != nil:
		s.other.Add(1)
	case outcome == "not_run":
		s.refused.Add(1)
	case outcome != "answered":
		s.other.Add(1)
	case resp.StatusCode == http.StatusOK && !strings.Contains(string(body), fmt.Sprintf("%q:%q", "path", path)):
		s.noteWrong(path, string(body))
	default:
		s.answered.Add(1)
		return true
	}
	return false
}

func (s *storm) noteWrong(path, body string) {
	s.wrong.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongText = path + " got " + body
}

// cmdProgress waits until a storm got more answers: progress NAME MORE DURATION.
func cmdProgress(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts).storms[args[0]]
	want := s.answered.Load() + int64(number(ts, args[1]))
	waitUntil(ts, args[2], func() (bool, string) {
		return s.answered.Load() >= want, fmt.Sprintf("%d answers, want %d", s.answered.Load(), want)
	})
}

// cmdCalm ends a storm and prints what its requests got: calm NAME.
func cmdCalm(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts).storms[args[0]]
	close(s.stop)
	s.work.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "answered: %d\nrefused: %d\nother: %d\nwrong: %d\n%s\n",
		s.answered.Load(), s.refused.Load(), s.other.Load(), s.wrong.Load(), s.wrongText)
}

// cmdAnswered sends ticketed requests one after another, each of which must be
// answered: answered N CALLER.
func cmdAnswered(ts *testscript.TestScript, _ bool, args []string) {
	for i := range number(ts, args[0]) {
		cmdTicket(ts, false, []string{"ANSWERED", args[1]})
		got := send("POST", "http://"+args[1]+"/v1/services/desk/answers", ts.Getenv("ANSWERED"), "hello", "2000")
		if !strings.Contains(got, "outcome: answered") {
			ts.Fatalf("request %d: %s", i, got)
		}
	}
}

// waitUntil polls until check succeeds.
func waitUntil(ts *testscript.TestScript, limit string, check func() (bool, string)) {
	d, err := time.ParseDuration(limit)
	ts.Check(err)
	deadline := time.Now().Add(d)
	for {
		ok, text := check()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			dumpLogs(ts)
			ts.Fatalf("after %s: %s", limit, text)
		}
		time.Sleep(pollInterval)
	}
}

// cmdGets waits until a target has run more requests: gets N MORE DURATION.
func cmdGets(ts *testscript.TestScript, _ bool, args []string) {
	address := systemOf(ts).targets[number(ts, args[0])-1]
	before, more := readCounts(ts, address).Runs, number(ts, args[1])
	waitUntil(ts, args[2], func() (bool, string) {
		runs := readCounts(ts, address).Runs
		return runs >= before+more, fmt.Sprintf("target %s ran %d more requests, want %d", args[0], runs-before, more)
	})
}

// cmdQuiet checks that a target starts no request in a time: quiet N DURATION.
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	address := systemOf(ts).targets[number(ts, args[0])-1]
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	before := readCounts(ts, address).Runs
	time.Sleep(d)
	if after := readCounts(ts, address).Runs; after != before {
		ts.Fatalf("target %s started %d requests in %s", args[0], after-before, d)
	}
}

// cmdSheds checks how many requests the targets shed: sheds MAX. A target
// without a queue sheds whatever exceeds its slots.
func cmdSheds(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, address := range systemOf(ts).targets {
		total += readCounts(ts, address).Shed
	}
	if total > number(ts, args[0]) {
		ts.Fatalf("the targets shed %d requests, want at most %s", total, args[0])
	}
}
