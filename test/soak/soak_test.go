// Package soak injects random faults into hickoryfront processes from outside
// and checks the promises to callers, operators and targets while they happen.
// A seed gives a plan of faults; the same seed gives the same plan.
package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testproc"
	"hickoryroute/platform/standin"
)

var (
	seedList = flag.String("soak.seeds", "", "seeds to play, such as 1-50 or 3,7; empty: those of testdata/seeds.txt")
	vmCount  = flag.Int("soak.vms", 4, "number of VMs; above 16 some of them read the store for the others")
	length   = flag.Duration("soak.length", 8*time.Second, "time for which faults begin")
)

// Guards the promises against faults in series and overlapping. The seeds in
// testdata/seeds.txt are those of CI and each one that ever failed.
func TestSoak(t *testing.T) {
	testproc.TrackSources(t, filepath.Join("..", ".."))
	binary, err := standin.BuildFront(t.TempDir())
	assert.NilError(t, err)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

// seeds returns the seeds of the flag or, without it, those of the file.
func seeds(t *testing.T) []uint64 {
	text := *seedList
	if text == "" {
		file, err := os.ReadFile("testdata/seeds.txt")
		assert.NilError(t, err)
		var fields []string
		for line := range strings.SplitSeq(string(file), "\n") {
			if seed, _, _ := strings.Cut(line, " "); seed != "" && seed != "#" {
				fields = append(fields, seed)
			}
		}
		text = strings.Join(fields, ",")
	}
	var list []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		low, err := strconv.ParseUint(first, 10, 64)
		assert.NilError(t, err)
		high := low
		if isRange {
			high, err = strconv.ParseUint(last, 10, 64)
			assert.NilError(t, err)
		}
		for n := low; n <= high; n++ {
			list = append(list, n)
		}
	}
	return list
}

const (
	// checkGap is the time between two checks of what has run.
	checkGap = 500 * time.Millisecond
	// recoveryTime is the time after the last fault within which all is well.
	recoveryTime = 15 * time.Second
	// calmRequests must be served in a row at the end.
	calmRequests = 50
)

// play runs the plan of one seed.
func play(t *testing.T, binary string, seed uint64) {
	w := newWorld(t, binary)
	faults := plan(seed, *length)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range workers {
		load.Go(func() { w.worker(n, seed, stop) })
	}
	load.Go(func() { w.prober(seed, stop) })
	load.Go(func() { w.watchStalls(stop) })
	load.Go(func() { w.checkOften(stop) })
	w.run(faults)
	w.recover()
	close(stop)
	load.Wait()
	w.rules.final()
	w.report(seed, faults)
}

// run applies the faults at their times and waits until all are over.
func (w *world) run(faults []fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.at - time.Since(began))
		wg.Go(func() { w.apply(f) })
	}
	wg.Wait()
}

func (w *world) checkOften(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(checkGap):
			w.rules.refusals()
		}
	}
}

// recover checks that the system is well again after the last fault.
func (w *world) recover() {
	w.await("all VMs are ready after the last fault", recoveryTime, w.allReady)
	w.await("all VMs are named after the last fault", recoveryTime, w.allNamed)
	client := newClient()
	defer client.CloseIdleConnections()
	inRow := 0
	w.await("requests are served after the last fault", recoveryTime, func() bool {
		for range calmRequests - inRow {
			s := w.attempt(client, w.vms[inRow%len(w.vms)], http.MethodGet, "/desk/safe/1", deskService, true, "1")
			if s.outcome.Status != http.StatusOK {
				inRow = 0
				return false
			}
			inRow++
		}
		return true
	})
}

// report prints what was played and, after a finding, the plan and the logs.
func (w *world) report(seed uint64, faults []fault) {
	counts := map[int]int{}
	for _, s := range w.ledger.ended() {
		counts[s.outcome.Status]++
	}
	w.t.Logf("seed %d: %d faults, answers by status %v, %d versions, %d stalls of the machine",
		seed, len(faults), counts, w.version, len(w.troubles.spans[scopeStalled]))
	if len(w.findings) == 0 {
		return
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("hickory-soak-%d-", seed))
	if err == nil {
		for _, v := range w.vms {
			// A log that cannot be written is missing there; the findings stand.
			_ = os.WriteFile(filepath.Join(dir, v.Name+".log"), []byte(v.Log()), 0o600)
		}
	}
	w.t.Errorf("seed %d, logs in %s\nplan:\n%s\nfindings:\n%s", seed, dir, describe(faults), strings.Join(w.findings, "\n"))
}
