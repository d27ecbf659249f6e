// Package soak runs hickoryfront processes under load, injects random faults
// around them and checks the guarantees to callers, operators and targets
// meanwhile. The plan of faults is determined by a seed.
package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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
	seedList    = flag.String("soak.seeds", "", "seeds to run, such as 1-50 or 3,7; empty: those of testdata/seeds.txt")
	vmCount     = flag.Int("soak.vms", 4, "number of VMs; above 16 some of them read the store for the others")
	faultPeriod = flag.Duration("soak.length", 8*time.Second, "time during which faults start")
)

// Guards the guarantees of the system against faults that overlap or come in
// series. testdata/seeds.txt has the seeds of CI and each seed that ever failed.
func TestSoak(t *testing.T) {
	testproc.TrackSources(t, filepath.Join("..", ".."))
	binary, err := standin.BuildFront(t.TempDir())
	assert.NilError(t, err)
	for _, seed := range readSeeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// readSeeds returns the seeds of the flag or, if it is empty, those of the file.
func readSeeds(t *testing.T) []uint64 {
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
	// checkInterval is the time between two checks of the requests that ran.
	checkInterval = 500 * time.Millisecond
	// recoveryTime is the time after the last fault within which the system
	// recovers.
	recoveryTime = 15 * time.Second
	// recoveryRequests is the number of requests in a row that must be served at
	// the end.
	recoveryRequests = 50
)

// runSeed runs the plan of one seed.
func runSeed(t *testing.T, binary string, seed uint64) {
	b := newTestbed(t, binary)
	faults := newPlan(seed, *faultPeriod)
	b.uploads = slices.ContainsFunc(faults, func(f fault) bool { return f.kind == targetTrouble })
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range workerCount {
		load.Go(func() { b.runWorker(n, seed, stop) })
	}
	load.Go(func() { b.runVersionProber(seed, stop) })
	load.Go(func() { b.runLeavers(seed, stop) })
	load.Go(func() { b.recordStalls(stop) })
	load.Go(func() { b.checkRefusalsPeriodically(stop) })
	b.injectAll(faults)
	b.checkRecovery()
	close(stop)
	load.Wait()
	b.checker.checkAtEnd()
	b.report(seed, faults)
}

// injectAll injects the faults at their times and waits until all are over.
func (b *testbed) injectAll(faults []fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.start - time.Since(began))
		wg.Go(func() { b.inject(f) })
	}
	wg.Wait()
}

func (b *testbed) checkRefusalsPeriodically(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(checkInterval):
			b.checker.checkRefusals()
		}
	}
}

// checkRecovery checks that the system recovers after the last fault.
func (b *testbed) checkRecovery() {
	b.waitFor("all VMs are ready after the last fault", recoveryTime, b.allVMsReady)
	b.waitFor("all VMs are listed after the last fault", recoveryTime, b.allVMsListed)
	client := newClient()
	defer client.CloseIdleConnections()
	servedInRow := 0
	b.waitFor("requests are served after the last fault", recoveryTime, func() bool {
		for range recoveryRequests - servedInRow {
			a := b.sendAttempt(client, b.vms[servedInRow%len(b.vms)], http.MethodGet, "/desk/safe/1", deskService, true, "1")
			if a.outcome.Status != http.StatusOK {
				servedInRow = 0
				return false
			}
			servedInRow++
		}
		return true
	})
}

// report logs a summary of the run. After a finding, it fails the test with the
// plan and the findings, and saves the logs of the VMs.
func (b *testbed) report(seed uint64, faults []fault) {
	counts := map[int]int{}
	for _, a := range b.attempts.listEnded() {
		counts[a.outcome.Status]++
	}
	b.t.Logf("seed %d: %d faults, responses by status %v, %d versions, %d stalls of the machine",
		seed, len(faults), counts, b.newestVersion, len(b.faults.intervals[scopeStalled]))
	if len(b.findings) == 0 {
		return
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("hickory-soak-%d-", seed))
	if err == nil {
		for _, v := range b.vms {
			// A log that cannot be written is left out; the findings are reported
			// in any case.
			_ = os.WriteFile(filepath.Join(dir, v.Name+".log"), []byte(v.Log()), 0o600)
		}
	}
	b.t.Errorf("seed %d, logs in %s\nplan:\n%s\nfindings:\n%s", seed, dir, formatPlan(faults), strings.Join(b.findings, "\n"))
}
