package policybench

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	writeDir = flag.String("policy.write", "", "directory for the tables; empty runs a short check only")
	seed     = flag.Uint64("policy.seed", 1, "seed of the runs")
)

// command is the command that writes the tables, as their pages show it.
const command = "go test -count=1 -timeout 60m -run Policy ./pkg/steering/policybench -policy.write docs/measurements -policy.seed %d"

// runScenario runs one scenario in virtual time and passes the simulation and
// its summary to the functions in after.
func runScenario(t *testing.T, scenario Scenario, after ...func(*Simulation, *Summary)) (s Summary) {
	synctest.Test(t, func(t *testing.T) {
		sim := Run(scenario)
		s = sim.Summarize(Warmup)
		for _, f := range after {
			f(sim, &s)
		}
	})
	return s
}

// report collects the tables of one scenario.
type report struct {
	name, title string
	text        strings.Builder
}

func (r *report) addf(format string, args ...any) { fmt.Fprintf(&r.text, format, args...) }

func (r *report) write(t *testing.T) {
	head := fmt.Sprintf("# %s\n\nVirtual time; command: `%s`\n\n", r.title, fmt.Sprintf(command, *seed))
	path := filepath.Join("..", "..", "..", *writeDir, r.name+".md")
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	assert.NilError(t, os.WriteFile(path, []byte(head+r.text.String()), 0o644))
	t.Log("\n" + r.text.String())
}

// forEachProfile runs f for each profile and adds the texts in order. Profiles
// run in parallel, each in its own virtual time.
func (r *report) forEachProfile(t *testing.T, profiles []Profile, f func(t *testing.T, p Profile, r *report)) {
	parts := make([]report, len(profiles))
	t.Run("profiles", func(t *testing.T) {
		for i, p := range profiles {
			t.Run(p.Service, func(t *testing.T) {
				t.Parallel()
				f(t, p, &parts[i])
			})
		}
	})
	for i := range parts {
		r.text.WriteString(parts[i].text.String())
	}
}

func skipUnlessWriting(t *testing.T) {
	if *writeDir == "" {
		t.Skip("tables are written only with -policy.write")
	}
}

func reachedText(ok bool) string {
	if ok {
		return "reached"
	}
	return "MISSED"
}

// Guards against a router that is slower than random choice while targets are
// slow for short periods, and against non-idempotent requests being sent twice.
func TestSlowdownShort(t *testing.T) {
	for _, p := range []Profile{Cluebook, AnswerDesk} {
		scenario := Base(p, PolicyRouter, 1)
		scenario.Duration = 12 * time.Second
		router := runScenario(t, Slowed(scenario))
		scenario.Policy = PolicyRandom
		random := runScenario(t, Slowed(scenario))
		assert.Assert(t, router.P99 < random.P99, "router %v, random %v", router.P99, random.P99)
		assert.Assert(t, router.ExtraPercent <= 5)
		if !p.Idempotent {
			assert.Equal(t, router.Resent, 0)
		}
	}
}

// Writes the page that compares the policies while targets are slow for short
// periods.
func TestPolicySlowdown(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-a-slowdown", title: "1 in 7 targets slowed 10 times for 0.3 to 2 s, reports 2 s late, 70% of slots"}
	r.forEachProfile(t, []Profile{Cluebook, AnswerDesk, Catalog, Hold}, func(t *testing.T, p Profile, r *report) {
		plain := runScenario(t, Base(p, PolicyRouter, *seed))
		var list []Summary
		for _, policy := range Policies {
			list = append(list, runScenario(t, Slowed(Base(p, policy, *seed))))
		}
		router := list[6]
		plain.Policy = "own, nothing slowed"
		r.addf("## %s %s (idempotent: %v)\n\n%s\n", p.Name, p.Service, p.Idempotent, Table(append([]Summary{plain}, list...)))
		for n := range 4 {
			r.addf("* own, %d targets slowed in the region at arrival: %.1f%% of requests, p99 %s ms\n", n, router.BySlowTargets[n].Percent, formatMs(router.BySlowTargets[n].P99))
		}
		ratio := float64(router.P99) / float64(plain.P99)
		r.addf("* p99 at most 1.5 times the unslowed p99: %.2f, %s\n", ratio, reachedText(ratio <= 1.5))
		if p.Idempotent {
			r.addf("* extra work at most 5%%: %.2f%%, %s\n\n", router.ExtraPercent, reachedText(router.ExtraPercent <= 5))
		} else {
			r.addf("* no extra work: %d sent twice, %s\n\n", router.Resent, reachedText(router.Resent == 0))
		}
	})
	r.addf("## Other run times, %s, own policy\n\n| mean run time | p99 unslowed ms | p99 slowed ms | ratio | extra %% |\n|---|---|---|---|---|\n", Cluebook.Service)
	for _, work := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		scenario := Base(Cluebook, PolicyRouter, *seed)
		scenario.Work, scenario.Duration = work, time.Minute
		plain, slowed := runScenario(t, scenario), runScenario(t, Slowed(scenario))
		r.addf("| %v | %s | %s | %.2f | %.2f |\n", work, formatMs(plain.P99), formatMs(slowed.P99), float64(slowed.P99)/float64(plain.P99), slowed.ExtraPercent)
	}
	r.write(t)
}

// Writes the page that compares the policies when a region is lost at peak load.
func TestPolicyRegionLost(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-b-region-lost", title: "A region is lost at peak; limits at 90% of slots; 110% of the room is offered after it"}
	r.forEachProfile(t, []Profile{Cluebook, AnswerDesk, Catalog, Hold}, func(t *testing.T, p Profile, r *report) {
		var list []Summary
		var limits map[string]int
		for _, policy := range []string{PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyRouter} {
			list = append(list, runScenario(t, RegionLost(Base(p, policy, *seed)), func(sim *Simulation, _ *Summary) { limits = sim.regionLimits() }))
		}
		r.addf("## %s %s\n\n%s\n| policy | highest region load | limits | room 95%% used after |\n|---|---|---|---|\n", p.Name, p.Service, Table(list))
		for _, s := range list {
			r.addf("| %s | %v | %v | %v |\n", s.Policy, s.HighestLoad, limits, s.FilledAfter)
		}
		router := list[len(list)-1]
		over := false
		for region, n := range router.HighestLoad {
			over = over || n > limits[region]
		}
		r.addf("\n* no limit passed: %s\n* no late refusal: %d, %s\n* full use within 5 s: %v, %s\n\n", reachedText(!over), router.RefusedLate, reachedText(router.RefusedLate == 0),
			router.FilledAfter, reachedText(router.FilledAfter > 0 && router.FilledAfter <= 5*time.Second))
	})
	r.write(t)
}

// Writes the page on the time that a drain takes to end the requests of a target,
// an availability zone and a region.
func TestPolicyDrain(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-c-drain", title: "Drain of a target, an availability zone and a region at 40% of slots, 1% long work"}
	r.addf("The order is pushed to the owners with delays of 20 to 60 ms; gossip itself is not part of this run.\n\n")
	ok := true
	r.addf("| service | drained | last new request after ms | empty after ms | longest request ms | lost | refused |\n|---|---|---|---|---|---|---|\n")
	for _, p := range []Profile{Cluebook, Hold} {
		region := p.Regions[0]
		for _, d := range []struct {
			name, region string
			match        func(*fakeTarget) bool
		}{
			{"target", "", func(target *fakeTarget) bool { return target.index == 0 }},
			{"zone", "", func(target *fakeTarget) bool { return target.ref.Zone == region+"-0" }},
			{"region", region, func(target *fakeTarget) bool { return target.ref.Region == region }},
		} {
			scenario := Draining(WithLongRequests(Base(p, PolicyRouter, *seed)), d.match, d.region)
			s := runScenario(t, scenario, func(sim *Simulation, s *Summary) { sim.recordDrainTimes(s, d.match) })
			r.addf("| %s | %s | %s | %s | %s | %d | %d |\n", p.Service, d.name, formatMs(s.LastArrivalAfter), formatMs(s.EmptyAfter), formatMs(s.LongP99), s.Lost, s.RefusedEarly+s.RefusedLate)
			ok = ok && s.LastArrivalAfter <= 3*time.Second && s.EmptyAfter <= s.LongP99+time.Second && s.Lost == 0
		}
	}
	r.addf("\n* last new request within 3 s, empty within the longest request and 1 s, none cut: %s\n", reachedText(ok))
	r.write(t)
}

// Writes the page that compares the policies at steady load.
func TestPolicySteady(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-d-steady", title: "Steady load at 70% of slots"}
	r.forEachProfile(t, []Profile{Cluebook, AnswerDesk, Catalog, Hold}, func(t *testing.T, p Profile, r *report) {
		var list []Summary
		for _, policy := range Policies {
			list = append(list, runScenario(t, Base(p, policy, *seed)))
		}
		router, best := list[6], list[0].P99
		for _, s := range list[:4] {
			best = min(best, s.P99)
		}
		r.addf("## %s %s\n\np99 of the run time alone: %s ms\n\n%s\n", p.Name, p.Service, formatMs(router.WorkP99), Table(list))
		r.addf("* p99 at or below the best of the four baselines: %s against %s ms, %s\n", formatMs(router.P99), formatMs(best), reachedText(router.P99 <= best))
		r.addf("* against topsis, local and late: %s ms; against topsis with exact counts and no round trips, which cannot be built: %s ms\n", formatMs(list[4].P99), formatMs(list[5].P99))
		r.addf("* p50 within 1 ms of run time and network: %s ms, %s\n\n", formatMs(router.Overhead), reachedText(router.Overhead <= time.Millisecond))
	})
	r.write(t)
}

// Writes the page on the effect of rare long requests on short ones.
func TestPolicyLong(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-e-long-work", title: "1% of requests run 50 times longer, 70% of slots"}
	r.forEachProfile(t, []Profile{Cluebook, Hold}, func(t *testing.T, p Profile, r *report) {
		// The throughput of short requests is the same as in the mix.
		alone := Base(p, PolicyRouter, *seed)
		alone.Load = 0.7 * 0.99 / (1 + 0.01*(longFactor-1))
		alone.Duration = 90 * time.Second
		ref := runScenario(t, alone)
		ref.Policy = "own, short work alone"
		list := []Summary{ref}
		for _, policy := range Policies {
			scenario := WithLongRequests(Base(p, policy, *seed))
			scenario.Duration = 90 * time.Second
			list = append(list, runScenario(t, scenario))
		}
		router := list[7]
		ratio := float64(router.P99) / float64(ref.P99)
		r.addf("## %s %s\n\n%s\n* p99 of short work at most 1.3 times its p99 alone: %.2f, %s\n\n", p.Name, p.Service, Table(list), ratio, reachedText(ratio <= 1.3))
	})
	r.write(t)
}

// Writes the page that compares the policies when more work is offered than the
// targets can run.
func TestPolicyOverload(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-f-overload", title: "130% of slots offered, deadline 2 s"}
	r.forEachProfile(t, []Profile{Cluebook, Hold}, func(t *testing.T, p Profile, r *report) {
		var list []Summary
		for _, policy := range Policies {
			list = append(list, runScenario(t, Overloaded(Base(p, policy, *seed))))
		}
		router := list[6]
		r.addf("## %s %s\n\n%s\n* at least 95%% of capacity useful: %.1f%%, %s\n\n", p.Name, p.Service, Table(list), 100*router.UsefulShare, reachedText(router.UsefulShare >= 0.95))
	})
	r.write(t)
}

// Writes the page on the effect of failed-over requests with cold caches on the
// local callers of the remaining regions.
func TestPolicyColdFailover(t *testing.T) {
	skipUnlessWriting(t)
	r := &report{name: "policy-g-cold-shift", title: "A region is lost at 40% of slots; its callers' work is up to 6 times longer on cold caches"}
	r.forEachProfile(t, []Profile{Cluebook, Catalog}, func(t *testing.T, p Profile, r *report) {
		var list []Summary
		for _, policy := range Policies {
			list = append(list, runScenario(t, ColdFailover(Base(p, policy, *seed)), func(sim *Simulation, s *Summary) {
				later := sim.Summarize(sim.scenario.EventAt)
				s.P99, s.FailedOverP50, s.FailedOverP99 = later.P99, later.FailedOverP50, later.FailedOverP99
			}))
		}
		r.addf("## %s %s\n\nThe p99 is that of local callers after the shift.\n\n%s\n| policy | shifted p50 ms | shifted p99 ms |\n|---|---|---|\n", p.Name, p.Service, Table(list))
		for _, s := range list {
			r.addf("| %s | %s | %s |\n", s.Policy, formatMs(s.FailedOverP50), formatMs(s.FailedOverP99))
		}
		r.addf("\n")
	})
	r.write(t)
}
