package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hickoryroute/platform/standin"
)

// sent is one attempt of a caller and what became of it.
type sent struct {
	standin.Request
	service    string
	idempotent bool
	vm         *vm
	life       int // process of the VM that was running at the start
	at, done   time.Time
	outcome    standin.Outcome
}

func (s *sent) String() string {
	return fmt.Sprintf("%s %s %s at vm-%d, sent %s, %v later: status %d, whole %v, error %v, body %.60q", s.ID, s.Method, s.Path,
		s.vm.index, s.at.Format("15:04:05.000"), s.done.Sub(s.at).Round(time.Millisecond), s.outcome.Status, s.outcome.Valid, s.outcome.Err, s.outcome.Body)
}

// ledger holds all attempts by id.
type ledger struct {
	mu   sync.Mutex
	all  map[string]*sent
	next int
}

func newLedger() *ledger { return &ledger{all: map[string]*sent{}} }

func (l *ledger) open(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	s.ID = fmt.Sprintf("req-%d", l.next)
	s.Body = "body of " + s.ID
	s.at = time.Now()
	l.all[s.ID] = s
}

func (l *ledger) close(s *sent, o standin.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.outcome, s.done = o, time.Now()
}

// ended returns the attempts that have ended.
func (l *ledger) ended() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]sent, 0, len(l.all))
	for _, s := range l.all {
		if !s.done.IsZero() {
			list = append(list, *s)
		}
	}
	return list
}

func (l *ledger) get(id string) (sent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.all[id]
	if s == nil {
		return sent{}, false
	}
	return *s, true
}

// attempt sends one request through a VM and checks the answer.
func (w *world) attempt(client *http.Client, v *vm, method, path, service string, idempotent bool, object string) sent {
	life, _, _ := v.state()
	s := &sent{
		Request: standin.Request{Method: method, Host: callerHost, Path: path, Object: object, Deadline: routeTimeout},
		vm:      v, life: life, service: service, idempotent: idempotent,
	}
	w.ledger.open(s)
	o := standin.Send(client, v.caller.address(), s.Request)
	w.ledger.close(s, o)
	w.rules.answer(s)
	return *s
}

const (
	workers = 10
	// thinkTime is the pause of a worker between two requests.
	thinkTime = 12 * time.Millisecond
	// listTime is the time for which a worker keeps a list of VMs.
	listTime = 2 * time.Second
	objects  = 24
	// longShare is the part of requests that run long.
	longShare = 0.1
	// unsafeShare is the part of requests that may run once only.
	unsafeShare = 0.5
	// failedPause keeps a worker whose VM is gone from using a whole core.
	failedPause = 30 * time.Millisecond
)

// worker sends one request after the other until stop is closed: it asks for a
// list of VMs, keeps connections open and leaves VMs that failed it until the
// next list.
func (w *world) worker(number int, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	client := newClient()
	defer client.CloseIdleConnections()
	zone := zoneNames[number%len(zoneNames)]
	var list []*vm
	var listed time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
		}
		if len(list) == 0 || time.Since(listed) > listTime {
			if fresh := w.lookup(r, zone); len(fresh) > 0 {
				list, listed = fresh, time.Now()
			}
		}
		if len(list) == 0 {
			continue
		}
		n := r.IntN(len(list))
		s := w.one(r, client, list[n])
		switch {
		case s.outcome.Status == 0:
			list = append(list[:n:n], list[n+1:]...)
			time.Sleep(failedPause)
		case s.outcome.Status == http.StatusServiceUnavailable:
			time.Sleep(min(s.outcome.RetryAfter, routeTimeout/3))
		}
	}
}

func (w *world) one(r *rand.Rand, client *http.Client, v *vm) sent {
	service := deskService
	if r.IntN(3) == 0 {
		service = bankService
	}
	object := fmt.Sprint(r.IntN(objects))
	if r.Float64() < longShare {
		object = "long"
	}
	if r.Float64() < unsafeShare {
		return w.attempt(client, v, http.MethodPost, "/"+service+"/unsafe/"+object, service, false, object)
	}
	return w.attempt(client, v, http.MethodGet, "/"+service+"/safe/"+object, service, true, object)
}

// lookup asks a VM, one of the own region first, which VMs to use.
func (w *world) lookup(r *rand.Rand, zone string) []*vm {
	for _, n := range r.Perm(len(w.vms)) {
		asked := w.vms[n]
		at := time.Now()
		var list []*vm
		for _, address := range standin.Lookup(asked.LookupAddress, callerHost, regions[zone], zone) {
			for _, v := range w.vms {
				if v.CallerAddress == address {
					list = append(list, v)
				}
			}
		}
		if len(list) > 0 {
			w.rules.directory(asked, list, at)
			return list
		}
	}
	return nil
}

// probeGap is the time between two probes of the version in force.
const probeGap = 60 * time.Millisecond

// prober asks random VMs for routes that only one version has.
func (w *world) prober(seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 1<<32))
	client := newClient()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(probeGap):
		}
		v := w.vms[r.IntN(len(w.vms))]
		if _, running, _ := v.state(); !running {
			continue
		}
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		version := max(1, newest-r.IntN(3))
		s := w.attempt(client, v, http.MethodGet, versionPrefix(version), deskService, true, "")
		w.rules.version(&s, version)
	}
}

// stallGap is the delay of a timer above which the machine of the test counts
// as stalled.
const stallGap = 250 * time.Millisecond

// watchStalls notes when the processes of the test got no processor time.
func (w *world) watchStalls(stop <-chan struct{}) {
	const tick = 20 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		if now.Sub(last) > stallGap {
			w.troubles.add(scopeStalled, last, now)
		}
		last = now
	}
}
