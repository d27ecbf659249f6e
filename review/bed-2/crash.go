package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryroute/internal/testnet"
)

func init() {
	scripts["crash-restart"] = playCrashRestart
	scripts["crash-same-id"] = playCrashSameID
	scripts["crash-at-once"] = playCrashAtOnce
	scripts["crash-in-answer"] = playCrashInAnswer
}

const (
	crashHost    = "desk.example"
	crashPrefix  = "/clue/"
	otherPrefix  = "/desk/" // of the requests of other clients, to the same service
	crashService = "answer-desk"
	// crashPath is the path of the request that crashes each instance that begins to
	// run it.
	crashPath = crashPrefix + "guess/7"
	crashBody = "team=7&guess=lantern"
	// maxLateRetries is the bound of the rule.
	maxLateRetries = 3
	instanceCount  = 10
	// instanceBack is the time after which a crashed instance is back.
	instanceBack = 3 * time.Second
	// clientRoundTrip is the round trip between a client and a VM.
	clientRoundTrip = 6 * time.Millisecond
)

// desk plays the instances of one service.
type desk struct {
	bed *bed
	// keepsID is true if an instance starts again under the id that it had.
	keepsID bool
	// harmless is true if the request crashes nothing.
	harmless bool
	// answersFirst is true if an instance crashes while it sends its answer.
	answersFirst bool

	mu       sync.Mutex
	starts   int
	crashes  []crash
	lostRuns int // requests of others that were running when their instance crashed
}

// crash is one arrival of the request that crashes its instance.
type crash struct {
	id, instance string
	at           time.Time
}

// deskInstance is one lifetime of an instance.
type deskInstance struct {
	desk     *desk
	id, zone string
	address  string
	server   *http.Server
	born     time.Time
	running  int
	mu       sync.Mutex
}

// start starts an instance and registers it. An empty id stands for a new one.
func (d *desk) start(zone, id string, cold bool) error {
	if id == "" {
		d.mu.Lock()
		d.starts++
		id = fmt.Sprintf("i-%08x", 0x7f3a9100+d.starts)
		d.mu.Unlock()
	}
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return err
	}
	i := &deskInstance{desk: d, id: id, zone: zone, address: listener.Addr().String(), born: time.Now()}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(listener) }()
	coldLeft := 0
	if cold {
		coldLeft = 3000
	}
	d.bed.store.Put("servers/"+id, i.record(coldLeft))
	return nil
}

// record returns the record that an instance writes to the store.
func (i *deskInstance) record(coldLeftMs int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","cold_left_ms":%d,"sequence":1,"born":%d}`,
		crashService, i.address, i.zone, coldLeftMs, i.born.UnixMilli())
}

// ServeHTTP implements http.Handler.
func (i *deskInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hickoryroute-Request-Id")
	w.Header().Set("Hickoryroute-Request-Id", id)
	w.Header().Set("Hickoryroute-Instance-Id", i.id)
	if expected := r.Header.Get("Hickoryroute-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	if i.running >= 8 {
		i.mu.Unlock()
		w.Header().Set("Hickoryroute-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.running++
	running := i.running
	i.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == crashPath && !i.desk.harmless {
		if i.desk.answersFirst {
			w.Header().Set("Hickoryroute-Server-Stamp", "stamp."+i.id+"."+id)
			w.Header().Set("Content-Length", "600")
			_, _ = io.WriteString(w, "done "+id)
			_ = http.NewResponseController(w).Flush() // fails only if the connection is closed
		}
		i.crash(id, running-1)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(300 * time.Millisecond)
	i.mu.Lock()
	i.running--
	i.mu.Unlock()
	w.Header().Set("Hickoryroute-Server-Stamp", "stamp."+i.id+"."+id)
	w.Header().Set("Hickoryroute-Server-Load", fmt.Sprintf("%d,0,4,100", min(4, running)))
	_, _ = io.WriteString(w, "done "+id)
}

// crash ends the instance at once. It is back after some seconds, as a new instance or
// under the same id. The record of an id that is silent is removed after three heartbeats.
func (i *deskInstance) crash(requestID string, others int) {
	d := i.desk
	d.mu.Lock()
	d.crashes = append(d.crashes, crash{id: requestID, instance: i.id, at: time.Now()})
	d.lostRuns += others
	n := len(d.crashes)
	d.mu.Unlock()
	d.bed.record("instance %s begins to run request %s and crashes (crash %d); %d other requests were running there", i.id, requestID, n, others)
	go func() {
		_ = i.server.Close()
		next := i.id
		if !d.keepsID {
			next = ""
			time.AfterFunc(3*heartbeat, func() { d.bed.store.Delete("servers/" + i.id) })
		}
		time.Sleep(instanceBack)
		if err := d.start(i.zone, next, true); err != nil {
			d.bed.record("an instance could not start again: %v", err)
		}
	}()
}

// attempt is one client attempt at the request that crashes its instance.
type attempt struct {
	vm   *vm
	sent time.Time
	calm bool // the VM had run undisturbed for the stable window
}

// playCrashRestart repeats a request that crashes its instances until it is refused,
// restarts the VMs one after the other, and repeats the request again.
func playCrashRestart(b *bed) (bool, error) {
	d := &desk{bed: b}
	b.publishCrashRoutes("unsafe")
	for n := range instanceCount {
		if err := d.start(zoneRegions[n%len(zoneRegions)].zone, "", false); err != nil {
			return false, err
		}
	}
	if err := b.addVMs(3, ""); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	attempts := map[string]attempt{}
	others := b.startOthers(crashHost, otherPrefix)

	// The client sends the request once a second, at each VM in turn.
	b.record("the client sends the request that crashes its instances, once a second")
	b.repeatCrash(attempts, 18)
	b.record("the client pauses")
	time.Sleep(8 * time.Second)
	if b.trouble {
		b.record("rolling restart: one VM after the other, each when the one before is ready again")
		for _, v := range b.vms {
			if err := v.restartGracefully(); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(18 * time.Second)
	}
	time.Sleep(4 * time.Second)
	b.record("the request comes again, once a second")
	b.repeatCrash(attempts, 22)
	time.Sleep(time.Second)
	othersLost := others.stop()
	return d.judge(attempts, othersLost), nil
}

// repeatCrash sends the request a number of times.
func (b *bed) repeatCrash(attempts map[string]attempt, times int) {
	for n := range times {
		began := time.Now()
		b.attemptCrash(attempts, b.vms[n%len(b.vms)], http.MethodPost)
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

// send sends one client attempt with a time budget of 4 s.
func (b *bed) send(v *vm, method, host, path, body, id string) string {
	return b.sendWithin(v, method, host, path, body, id, 4000)
}

// sendWithin sends one client attempt on a new connection and returns its outcome.
func (b *bed) sendWithin(v *vm, method, host, path, body, id string, budgetMs int) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(budgetMs)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	req.Header.Set("Hickoryroute-Request-Id", id)
	req.Header.Set("Hickoryroute-Deadline-Ms", strconv.Itoa(budgetMs))
	if path == crashPath {
		req.Header.Set("Cookie", "Hickoryroute-Affinity-Key=17")
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut: " + err.Error()
	}
	if resp.StatusCode == http.StatusOK {
		return "200"
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text)))
}

// otherClients send harmless requests all the time.
type otherClients struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
}

// startOthers starts clients that send harmless requests to the VMs that are ready.
func (b *bed) startOthers(host, prefix string) *otherClients {
	ctx, cancel := context.WithCancel(context.Background())
	o := &otherClients{cancel: cancel, counts: map[string]int{}}
	for n := range 6 {
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			for turn := n; ctx.Err() == nil; turn++ {
				v := b.vms[turn%len(b.vms)]
				if !v.calmFor(time.Now()) {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				id := b.newID()
				status := b.send(v, http.MethodPost, host, prefix+"other/"+id, "team=1", id)
				o.mu.Lock()
				o.counts[status]++
				o.mu.Unlock()
				if status != "200" {
					b.record("request %s of another client to %s: %s", id, v.name, status)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	return o
}

// stop ends the clients and returns how their requests ended.
func (o *otherClients) stop() map[string]int {
	o.cancel()
	o.wg.Wait()
	return o.counts
}

// judge counts the arrivals by the rule.
func (d *desk) judge(attempts map[string]attempt, others map[string]int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bed
	for status, count := range others {
		b.record("requests of other clients: %d ended with %s", count, status)
	}
	b.record("requests of other clients that were running when their instance crashed: %d", d.lostRuns)
	if len(d.crashes) < 3 {
		b.record("%d crashes", len(d.crashes))
		return false
	}
	third := d.crashes[2].at
	late := 0
	for _, c := range d.crashes[3:] {
		a := attempts[c.id]
		if a.calm && c.at.Sub(third) > stableWindow {
			late++
			b.record("late retry %d: request %s at instance %s, %.1f s after the third crash, from %s", late, c.id, c.instance, c.at.Sub(third).Seconds(), a.vm.name)
		}
	}
	b.record("%d crashes; %d retries by machines in touch later than %v after the third; at most %d are allowed", len(d.crashes), late, stableWindow, maxLateRetries)
	return late > maxLateRetries
}

// playCrashSameID repeats a request whose instances start again under the ids that they
// had. The region of the client has two instances of the service.
func playCrashSameID(b *bed) (bool, error) {
	d := &desk{bed: b, keepsID: b.trouble}
	b.publishCrashRoutes("unsafe")
	for _, place := range []struct {
		zone  string
		count int
	}{{"sask-yxe", 3}, {"sask-yqr", 3}, {"mb-ywg", 1}, {"mb-ybr", 1}, {"ab-yeg", 3}, {"ab-yyc", 3}} {
		for range place.count {
			if err := d.start(place.zone, "", false); err != nil {
				return false, err
			}
		}
	}
	if err := b.addVMs(5, ""); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	attempts := map[string]attempt{}
	others := b.startOthers(crashHost, otherPrefix)
	nearest := []*vm{b.vms[1], b.vms[4]} // the VMs of the region of the client
	b.record("the client sends the request that crashes its instances each 7 s to the VMs of its region")
	for n := range 12 {
		b.attemptCrash(attempts, nearest[n%len(nearest)], http.MethodPost)
		time.Sleep(7 * time.Second)
	}
	return d.judge(attempts, others.stop()), nil
}

// attemptCrash sends the request once and returns its outcome.
func (b *bed) attemptCrash(attempts map[string]attempt, v *vm, method string) string {
	body := crashBody
	if method == http.MethodGet {
		body = ""
	}
	id, sent := b.newID(), time.Now()
	attempts[id] = attempt{v, sent, v.calmFor(sent)}
	status := b.send(v, method, crashHost, crashPath, body, id)
	b.record("request %s (%s) to %s: %s", id, crashPath, v.name, status)
	return status
}

// playCrashAtOnce lets a client send an idempotent request that crashes its instances,
// and repeat it once after a failure, as clients of such routes do. The request comes
// again each seven seconds.
func playCrashAtOnce(b *bed) (bool, error) {
	d := &desk{bed: b, harmless: !b.trouble}
	b.publishCrashRoutes("safe")
	for n := range instanceCount {
		if err := d.start(zoneRegions[n%len(zoneRegions)].zone, "", false); err != nil {
			return false, err
		}
	}
	if err := b.addVMs(3, ""); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	attempts := map[string]attempt{}
	others := b.startOthers(crashHost, otherPrefix)
	for n := range 5 {
		b.record("the request comes, time %d", n+1)
		if b.attemptCrash(attempts, b.vms[n%len(b.vms)], http.MethodGet) != "200" {
			time.Sleep(clientRoundTrip)
			b.attemptCrash(attempts, b.vms[(n+1)%len(b.vms)], http.MethodGet)
		}
		time.Sleep(7 * time.Second)
	}
	return d.judge(attempts, others.stop()), nil
}

// publishCrashRoutes writes the configuration with the route of the request that crashes
// its instances and that of other requests.
func (b *bed) publishCrashRoutes(kind string) {
	b.store.PutConfiguration(configuration(7, []routeRow{
		{crashHost, crashPrefix, kind, crashService, 4000, 600, 1},
		{crashHost, otherPrefix, "unsafe", crashService, 4000, 600, 1},
	}, []string{crashService}))
}

// playCrashInAnswer repeats a request whose instances crash while they send the answer.
func playCrashInAnswer(b *bed) (bool, error) {
	d := &desk{bed: b, answersFirst: b.trouble}
	b.publishCrashRoutes("unsafe")
	for n := range instanceCount {
		if err := d.start(zoneRegions[n%len(zoneRegions)].zone, "", false); err != nil {
			return false, err
		}
	}
	if err := b.addVMs(3, ""); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	attempts := map[string]attempt{}
	others := b.startOthers(crashHost, otherPrefix)
	b.record("the client sends the request that crashes its instances each 3 s")
	for n := range 15 {
		b.attemptCrash(attempts, b.vms[n%len(b.vms)], http.MethodPost)
		time.Sleep(3 * time.Second)
	}
	return d.judge(attempts, others.stop()), nil
}
