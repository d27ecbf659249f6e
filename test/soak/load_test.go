package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"hickoryroute/platform/standin"
)

// attempt is a request that a caller sent, with its outcome.
type attempt struct {
	standin.Request
	service       string
	idempotent    bool
	bodyParts     int
	vm            *vm
	processNumber int // of the VM's process that ran when the attempt began
	began, ended  time.Time
	outcome       standin.Outcome
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s %s %s at vm-%d, sent %s, %v later: status %d, valid %v, error %v, body %.60q", a.ID, a.Method, a.Path,
		a.vm.index, a.began.Format("15:04:05.000"), a.ended.Sub(a.began).Round(time.Millisecond), a.outcome.Status, a.outcome.Valid, a.outcome.Err, a.outcome.Body)
}

// attemptLog holds all attempts by request id.
type attemptLog struct {
	mu     sync.Mutex
	byID   map[string]*attempt
	lastID int
}

func newAttemptLog() *attemptLog { return &attemptLog{byID: map[string]*attempt{}} }

// begin gives an attempt an id and a body and adds it to the log.
func (l *attemptLog) begin(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	a.ID = fmt.Sprintf("req-%d", l.lastID)
	a.Body = strings.Repeat("body of "+a.ID+" ", a.bodyParts)
	a.began = time.Now()
	l.byID[a.ID] = a
}

func (l *attemptLog) end(a *attempt, outcome standin.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.outcome, a.ended = outcome, time.Now()
}

// listEnded returns copies of the attempts that have ended.
func (l *attemptLog) listEnded() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]attempt, 0, len(l.byID))
	for _, a := range l.byID {
		if !a.ended.IsZero() {
			list = append(list, *a)
		}
	}
	return list
}

func (l *attemptLog) find(id string) (attempt, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.byID[id]
	if a == nil {
		return attempt{}, false
	}
	return *a, true
}

// sendAttempt sends one request through a VM and checks the response.
func (b *testbed) sendAttempt(client *http.Client, v *vm, method, path, service string, idempotent bool, object string) attempt {
	return b.sendWithKey(client, v, method, path, service, idempotent, object, lastingKey)
}

// sendWithKey is sendAttempt with another key of the client account.
func (b *testbed) sendWithKey(client *http.Client, v *vm, method, path, service string, idempotent bool, object, key string) attempt {
	processNumber, _, _ := v.state()
	a := &attempt{
		Request: standin.Request{Method: method, Host: callerHost, Path: path, Object: object, Key: key, Deadline: routeTimeout},
		vm:      v, processNumber: processNumber, service: service, idempotent: idempotent, bodyParts: 1,
	}
	if strings.HasSuffix(path, "/"+uploadObject) {
		a.bodyParts = uploadParts
	}
	b.attempts.begin(a)
	outcome := standin.Send(client, v.caller.address(), a.Request)
	b.attempts.end(a, outcome)
	b.checker.checkResponse(a)
	return *a
}

const (
	workerCount = 10
	// thinkTime is the pause of a worker between two requests.
	thinkTime = 12 * time.Millisecond
	// vmListLifetime is the time for which a worker uses the VMs of a lookup.
	vmListLifetime = 2 * time.Second
	objectCount    = 24
	// longRequestShare is the share of requests that run for longWorkTime.
	longRequestShare = 0.1
	// unsafeRequestShare is the share of requests that are not idempotent.
	unsafeRequestShare = 0.5
	// uploadObject is the last part of the paths of long uploads, which have uploadParts
	// times the body of others: about 150 KB, which the response repeats.
	uploadObject, uploadParts = "upload", 10_000
	// failurePause keeps a worker whose VM is unreachable from using a whole core.
	failurePause = 30 * time.Millisecond
)

// runWorker sends one request after the other until stop is closed. A worker
// looks up VMs, keeps connections open and avoids a VM that failed a request
// until its next lookup.
func (b *testbed) runWorker(number int, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	client := newClient()
	defer client.CloseIdleConnections()
	zone := zoneNames[number%len(zoneNames)]
	var vms []*vm
	var listedAt time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
		}
		if len(vms) == 0 || time.Since(listedAt) > vmListLifetime {
			if fresh := b.lookup(r, zone); len(fresh) > 0 {
				vms, listedAt = fresh, time.Now()
			}
		}
		if len(vms) == 0 {
			continue
		}
		n := r.IntN(len(vms))
		a := b.sendRandomRequest(r, client, vms[n])
		switch {
		case a.outcome.Status == 0:
			vms = append(vms[:n:n], vms[n+1:]...)
			time.Sleep(failurePause)
		case a.outcome.Status == http.StatusServiceUnavailable:
			time.Sleep(min(a.outcome.RetryAfter, routeTimeout/3))
		}
	}
}

// sendRandomRequest sends a request with a random service, method and object.
func (b *testbed) sendRandomRequest(r *rand.Rand, client *http.Client, v *vm) attempt {
	service := deskService
	if r.IntN(3) == 0 {
		service = bankService
	}
	object := fmt.Sprint(r.IntN(objectCount))
	if r.Float64() < longRequestShare {
		object = "long"
		if b.uploads && r.IntN(2) == 0 {
			object = uploadObject
		}
	}
	if r.Float64() < unsafeRequestShare {
		return b.sendAttempt(client, v, http.MethodPost, "/"+service+"/unsafe/"+object, service, false, object)
	}
	return b.sendAttempt(client, v, http.MethodGet, "/"+service+"/safe/"+object, service, true, object)
}

// lookup returns the VMs to use from a zone. It queries VMs in random order until
// one names any.
func (b *testbed) lookup(r *rand.Rand, zone string) []*vm {
	for _, n := range r.Perm(len(b.vms)) {
		queried := b.vms[n]
		queriedAt := time.Now()
		var list []*vm
		for _, address := range standin.Lookup(queried.LookupAddress, callerHost, regions[zone], zone) {
			for _, v := range b.vms {
				if v.CallerAddress == address {
					list = append(list, v)
				}
			}
		}
		if len(list) > 0 {
			b.checker.checkLookup(queried, list, queriedAt)
			return list
		}
	}
	return nil
}

// versionProbeInterval is the time between two probes of the version in force.
const versionProbeInterval = 60 * time.Millisecond

// keyPath is the path of requests with a key that only one version has.
const keyPath = "/desk/safe/key"

// runVersionProber sends random VMs requests for routes and with keys that only one
// version has.
func (b *testbed) runVersionProber(seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 1<<32))
	client := newClient()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(versionProbeInterval):
		}
		v := b.vms[r.IntN(len(b.vms))]
		if _, running, _ := v.state(); !running {
			continue
		}
		b.mu.Lock()
		newest := b.newestVersion
		b.mu.Unlock()
		version := max(1, newest-r.IntN(3))
		a := b.sendAttempt(client, v, http.MethodGet, versionPrefix(version), deskService, true, "")
		b.checker.checkVersion(&a, version)
		a = b.sendWithKey(client, v, http.MethodGet, keyPath, deskService, true, "", versionKey(version))
		b.checker.checkKey(&a, version)
	}
}

// stallThreshold is the delay of a timer above which the machine of the test
// counts as stalled.
const stallThreshold = 250 * time.Millisecond

// recordStalls records when the machine gave the test no processor time.
func (b *testbed) recordStalls(stop <-chan struct{}) {
	const tick = 20 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			b.faults.add(scopeStalled, last, now)
		}
		last = now
	}
}
