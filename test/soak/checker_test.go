package soak

import (
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"hickoryroute/platform/standin"
)

// Limits of the guarantees that the checker verifies, from the platform's pages
// for sites of this size.
const (
	// applyBound is the time within which a version is in force on all VMs.
	applyBound = 2500 * time.Millisecond
	// rollbackSlack is how long an older version may still be in force after a
	// newer one was seen; stalledSlack is the same for a VM that got no processor
	// time.
	rollbackSlack     = 250 * time.Millisecond
	stalledSlack      = 8 * rollbackSlack
	responseSlack     = 500 * time.Millisecond // after the timeout of the route
	minLateResponses  = 8                      // fewer late responses are allowed
	maxLateShare      = 0.5                    // of the requests without a response at the timeout
	coldMultiplier    = 1.5                    // allowed multiple of coldPerSecond
	coldSlack         = 5.0                    // requests allowed beyond it
	resendShare       = 0.2                    // resends allowed as a share of the requests
	resendSlack       = 64.0                   // resends allowed beyond the share
	resendWindow      = 10 * time.Second
	deadVMListedBound = settleTime + 3*time.Second // lookups omit a VM this long after its end
	maxDeadVMsListed  = 3
	// staleConnectionTime is the time that a caller may take to notice that its
	// idle connection was closed.
	staleConnectionTime = 500 * time.Millisecond
)

// checker verifies the guarantees of the system by the responses that callers
// get and the requests that instances run.
type checker struct {
	testbed *testbed

	mu            sync.Mutex
	runsByID      map[string]int
	lastFaults    map[string]standin.InstanceFault // of the instance that ran a request last
	lastEndpoints map[string]*endpoint             // endpoint of the target that ran a request last
	arrivalsRead  map[*standin.Instance]int        // number of arrivals already checked
	reported      map[string]bool
	overdue       int // requests without a response at the timeout of the route
	late          int // requests without a response responseSlack after the timeout
	deadVMsListed int
	newestSeen    map[vmProcess]versionSeen
}

// vmProcess identifies a process of a VM by the number of the VM and its own.
type vmProcess struct{ vm, processNumber int }

// versionSeen is the newest version that was seen in force on a process.
type versionSeen struct {
	version int
	at      time.Time
}

// checkResponse checks the response of an attempt as soon as it has ended.
func (c *checker) checkResponse(sent *attempt) {
	o := sent.outcome
	switch {
	case o.Err != nil && strings.Contains(o.Err.Error(), "malformed"):
		c.testbed.addFinding("malformed response: %s", sent)
	case o.Status == http.StatusOK && o.Err == nil && !o.Valid:
		c.testbed.addFinding("response is truncated or belongs to another request: %s", sent)
	case o.Err != nil && len(o.Body) == standin.MaxKeptBody:
		// The body of FaultEndlessBody has no end, so it must not look complete.
	case o.Err != nil:
		c.checkNoResponse(sent)
	case o.Status == http.StatusServiceUnavailable && o.RetryAfter <= 0:
		c.testbed.addFinding("refusal without Retry-After: %s", sent)
	case o.Status >= 400 && o.Status < 500 && !strings.HasPrefix(sent.Path, "/desk/only-") && sent.Path != keyPath:
		c.testbed.addFinding("valid request rejected with a client error: %s", sent)
	}
	if c.testbed.vmUndisturbed(sent.vm, sent.began, sent.ended) {
		c.countLate(sent)
	}
}

// countLate counts an attempt that took longer than the timeout of its route.
func (c *checker) countLate(sent *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := sent.ended.Sub(sent.began)
	if took > routeTimeout {
		c.overdue++
	}
	if took > routeTimeout+responseSlack {
		c.late++
	}
}

// cutByInstance reports whether an instance broke off the response after its head had
// been passed on, which a VM does with a long response before it knows its end.
func (c *checker) cutByInstance(sent *attempt) bool {
	if sent.outcome.Status == 0 {
		return false
	}
	c.checkArrivals()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFaults[sent.ID] == standin.FaultTruncated
}

// checkNoResponse checks an attempt that ended without a response.
func (c *checker) checkNoResponse(sent *attempt) {
	if c.cutByInstance(sent) {
		return
	}
	faults := c.testbed.faults
	from := sent.began.Add(-staleConnectionTime)
	if !faults.faultFree(from, sent.ended, numberedScope(scopePrefixVM, sent.vm.index), numberedScope(scopePrefixCallerLink, sent.vm.index), scopeStalled) {
		return
	}
	if faults.faultFree(from, sent.ended, numberedScope(scopePrefixStop, sent.vm.index)) {
		c.testbed.addFinding("no response, though the VM kept running: %s", sent)
		return
	}
	if last := c.lastEndpoint(sent.ID); last != nil && faults.faultFree(from, sent.ended, numberedScope(scopePrefixTarget, last.index)) {
		c.testbed.addFinding("no response during a planned stop, though the request ran: %s", sent)
	}
}

// lastEndpoint returns the endpoint of the target that ran a request last, or nil.
func (c *checker) lastEndpoint(id string) *endpoint {
	c.checkArrivals()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEndpoints[id]
}

// checkArrivals checks the requests that instances have begun to run since the
// last call.
func (c *checker) checkArrivals() {
	c.testbed.mu.Lock()
	instances, endpoints := append([]*standin.Instance(nil), c.testbed.instances...), maps.Clone(c.testbed.endpointOf)
	c.testbed.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runsByID == nil {
		c.runsByID, c.lastEndpoints, c.arrivalsRead = map[string]int{}, map[string]*endpoint{}, map[*standin.Instance]int{}
		c.lastFaults = map[string]standin.InstanceFault{}
	}
	for _, instance := range instances {
		newArrivals := instance.Arrivals(c.arrivalsRead[instance])
		c.arrivalsRead[instance] += len(newArrivals)
		for _, a := range newArrivals {
			c.runsByID[a.ID]++
			c.lastEndpoints[a.ID] = endpoints[instance]
			c.lastFaults[a.ID] = a.Fault
			c.checkArrival(instance, a)
		}
	}
}

// checkArrival checks that a request that an instance runs was sent by a caller,
// to the instance's service, and hasn't run before unless it is idempotent.
func (c *checker) checkArrival(i *standin.Instance, a standin.Arrival) {
	sent, known := c.testbed.attempts.find(a.ID)
	switch {
	case !known || sent.Path != a.Path:
		c.testbed.addFinding("%s ran request %q with path %s, which no caller sent", i.ID, a.ID, a.Path)
		return
	case a.HasKey || a.Account != accountName:
		c.testbed.addFinding("%s ran a request in the name of %q, with the key %t: %s", i.ID, a.Account, a.HasKey, &sent)
	case sent.service != i.Service:
		c.testbed.addFinding("%s of %s ran a request for %s: %s", i.ID, i.Service, sent.service, &sent)
	case !sent.idempotent && c.runsByID[a.ID] > 1:
		c.testbed.addFinding("non-idempotent request ran %d times, last on %s: %s", c.runsByID[a.ID], i.ID, &sent)
	}
	c.checkDrainAndEvacuation(i, a, &sent)
	c.checkLeft(i, a, &sent)
}

// checkDrainAndEvacuation checks that an instance runs no new request after its
// drain or the evacuation of its zone. Requests through a VM that was disturbed
// since then are allowed.
func (c *checker) checkDrainAndEvacuation(i *standin.Instance, a standin.Arrival, sent *attempt) {
	c.testbed.mu.Lock()
	drains, evacuations := c.testbed.drains, append([]evacuation(nil), c.testbed.evacuations...)
	c.testbed.mu.Unlock()
	for _, d := range drains {
		if d.instance == i && sent.began.Sub(d.at) > drainBound && c.testbed.vmUndisturbed(sent.vm, d.at, a.At) {
			c.testbed.addFinding("%s ran %s %v after its drain was acknowledged: %s", i.ID, a.ID, a.At.Sub(d.at), sent)
		}
	}
	for _, e := range evacuations {
		bound := e.begin.Add(evacuationBound)
		if e.begin.IsZero() || i.Zone != e.zone || a.At.Before(bound) || !e.end.IsZero() && a.At.After(e.end) {
			continue
		}
		if sent.began.After(bound) && c.testbed.vmUndisturbed(sent.vm, e.begin, a.At) {
			c.testbed.addFinding("%s in %s ran %s %v after the zone was evacuated: %s", i.ID, e.zone, a.ID, a.At.Sub(e.begin), sent)
		}
	}
}

// checkRefusals checks that non-idempotent requests that were refused as not run
// have not run, not even later.
func (c *checker) checkRefusals() {
	c.checkArrivals()
	for _, sent := range c.testbed.attempts.listEnded() {
		if standin.StatesNotRun(sent.outcome.Status) && !sent.idempotent && c.runs(sent.ID) > 0 && c.markReported(sent.ID) {
			c.testbed.addFinding("request ran, though it was refused as not run: %s", &sent)
		}
	}
}

// markReported marks a request as reported and returns false if it already was.
func (c *checker) markReported(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.reported[id]
	if c.reported == nil {
		c.reported = map[string]bool{}
	}
	c.reported[id] = true
	return !known
}

// runs returns how often a request has run.
func (c *checker) runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runsByID[id]
}

// checkLookup counts the VMs that a lookup listed long after their end.
func (c *checker) checkLookup(queried *vm, listed []*vm, at time.Time) {
	for _, v := range listed {
		_, running, endedAt := v.state()
		if running || at.Sub(endedAt) < deadVMListedBound || !c.testbed.vmUndisturbed(queried, endedAt, at) {
			continue
		}
		c.mu.Lock()
		c.deadVMsListed++
		c.mu.Unlock()
	}
}

// checkAtEnd runs the checks that need the whole load.
func (c *checker) checkAtEnd() {
	c.checkRefusals()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late >= minLateResponses && float64(c.late) > maxLateShare*float64(c.overdue) {
		c.testbed.addFinding("%d of %d requests without a response at their timeout had none %v later", c.late, c.overdue, responseSlack)
	}
	if c.deadVMsListed > maxDeadVMsListed {
		c.testbed.addFinding("%d lookup entries named a VM that had ended %v before", c.deadVMsListed, deadVMListedBound)
	}
	c.checkResendBudgets()
	c.checkColdTargets()
}

// checkResendBudgets checks that arrivals beyond the first of each request stay
// within the resend budget of their service.
func (c *checker) checkResendBudgets() {
	seen := map[string]bool{}
	resends, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, sent := range c.testbed.attempts.listEnded() {
		requests[sent.service] = append(requests[sent.service], sent.began)
	}
	for _, i := range c.testbed.instances {
		for _, a := range i.Arrivals(0) {
			if seen[a.ID] {
				resends[i.Service] = append(resends[i.Service], a.At)
			}
			seen[a.ID] = true
		}
	}
	for service, times := range resends {
		sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
		for n, from := range times {
			resendCount := countWithin(times[n:], from, resendWindow)
			requestCount := max(countWithin(requests[service], from, resendWindow),
				countWithin(requests[service], from.Add(-resendWindow), resendWindow),
				countWithin(requests[service], from.Add(-resendWindow/2), resendWindow))
			if allowed := resendShare*float64(requestCount) + resendSlack; float64(resendCount) > allowed {
				c.testbed.addFinding("%d resends to %s in %v, at most %0.f are allowed", resendCount, service, resendWindow, allowed)
				return
			}
		}
	}
}

// countWithin counts the times in the window that starts at from.
func countWithin(times []time.Time, from time.Time, width time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < width {
			n++
		}
	}
	return n
}

// checkColdTargets checks the rate of requests to targets that have just
// started.
func (c *checker) checkColdTargets() {
	for _, i := range c.testbed.instances {
		if i.ColdTime == 0 {
			continue
		}
		var times []time.Time
		for _, a := range i.Arrivals(0) {
			if a.At.Sub(i.Started()) < i.ColdTime {
				times = append(times, a.At)
			}
		}
		for n, from := range times {
			requestCount := countWithin(times[n:], from, time.Second)
			if allowed := coldPerSecond*coldMultiplier + coldSlack; float64(requestCount) > allowed {
				c.testbed.addFinding("%s got %d requests in a second while it was cold, at most %.1f are allowed", i.ID, requestCount, allowed)
				break
			}
		}
	}
}
