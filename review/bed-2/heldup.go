package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryroute/internal/testnet"
)

func init() { scripts["held-up"] = playHeldUp }

const (
	holdPrefix  = "/hold/"
	holdTimeout = 1200 // milliseconds, of the route and of its clients
	// cutTime is the time for which the instances of a zone are cut off.
	cutTime = 5 * time.Second
	// evacuateAfter is the time from the cut to the evacuation of that zone.
	evacuateAfter = 2 * time.Second
	// evacuationBound is the time after the acknowledgement of an evacuation from which
	// on no request may reach the zone.
	evacuationBound = 5 * time.Second
	// firstResend is the time after which TCP first sends again what is not
	// acknowledged. Each further time is twice as long.
	firstResend = 225 * time.Millisecond
	cutZone     = "sask-yqr"
	// crowdClients send for a moment before the cut, steadyClients during it.
	crowdClients, steadyClients = 60, 12
)

// link is a proxy before an instance that can be cut off. What arrives on an open
// connection during a cut is held up and delivered when TCP would send it again after the
// cut, unless the sender resets the connection. Connections that are opened during a cut
// carry nothing.
type link struct {
	listener net.Listener
	backend  string

	mu               sync.Mutex
	cutFrom, cutTill time.Time
}

func newLink(backend string) (*link, error) {
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, backend: backend}
	go l.accept()
	return l, nil
}

func (l *link) cut(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom, l.cutTill = at, at.Add(cutTime)
}

// deliveryTime returns when bytes arrive that were sent now.
func (l *link) deliveryTime(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, wait := now, firstResend
	for !at.Before(l.cutFrom) && at.Before(l.cutTill) {
		at = at.Add(wait)
		wait *= 2
	}
	return at
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *link) serve(sender *net.TCPConn) {
	defer sender.Close()
	if l.deliveryTime(time.Now()).After(time.Now()) {
		time.Sleep(cutTime) // the opening packet does not arrive
		return
	}
	conn, err := net.Dial("tcp", l.backend)
	if err != nil {
		return
	}
	backend := conn.(*net.TCPConn)
	defer backend.Close()
	go func() {
		_, _ = io.Copy(sender, backend)
		_ = sender.CloseWrite()
	}()
	l.forward(sender, backend)
}

// piece is what was read at once.
type piece struct {
	data []byte
	at   time.Time // of the delivery
	err  error
}

// forward passes on what the sender sends. It drops what is held up when the sender
// resets the connection.
func (l *link) forward(sender, backend *net.TCPConn) {
	pieces, reset := make(chan piece, 64), make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := sender.Read(buffer)
			if err != nil && !errors.Is(err, io.EOF) {
				close(reset)
				return
			}
			now := time.Now()
			pieces <- piece{buffer[:n], l.deliveryTime(now), err}
			if err != nil {
				return
			}
		}
	}()
	last := time.Time{}
	for p := range pieces {
		if p.at.Before(last) {
			p.at = last // the order of bytes is kept
		}
		last = p.at
		select {
		case <-time.After(time.Until(p.at)):
		case <-reset:
			return
		}
		if _, err := backend.Write(p.data); err != nil {
			return
		}
		if p.err != nil {
			_ = backend.CloseWrite()
			time.Sleep(time.Second)
			return
		}
	}
}

// holdInstance is an instance that records when requests reach it.
type holdInstance struct {
	bed      *bed
	id, zone string
	link     *link

	mu       sync.Mutex
	arrivals []holdArrival
}

type holdArrival struct {
	id string
	at time.Time
}

// ServeHTTP implements http.Handler.
func (i *holdInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hickoryroute-Request-Id")
	w.Header().Set("Hickoryroute-Request-Id", id)
	w.Header().Set("Hickoryroute-Instance-Id", i.id)
	if expected := r.Header.Get("Hickoryroute-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	i.arrivals = append(i.arrivals, holdArrival{id, time.Now()})
	i.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(100 * time.Millisecond)
	w.Header().Set("Hickoryroute-Server-Stamp", "stamp."+i.id+"."+id)
	w.Header().Set("Hickoryroute-Server-Load", "1,0,4,100")
	_, _ = io.WriteString(w, "held "+id)
}

func (b *bed) startHoldInstance(n int, zone string) (*holdInstance, error) {
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	i := &holdInstance{bed: b, id: fmt.Sprintf("i-%08x", 0x5a00+n), zone: zone}
	server := &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	if i.link, err = newLink(listener.Addr().String()); err != nil {
		return nil, err
	}
	b.store.Put("servers/"+i.id, fmt.Sprintf(`{"service":"hold-svc","address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","cold_left_ms":0,"sequence":1,"born":%d}`,
		i.link.listener.Addr(), zone, time.Now().UnixMilli()))
	return i, nil
}

// playHeldUp cuts off the instances of a zone and evacuates it meanwhile.
func playHeldUp(b *bed) (bool, error) {
	b.store.PutConfiguration(configuration(7, []routeRow{{crashHost, holdPrefix, "unsafe", "hold-svc", holdTimeout, 200, 0}}, []string{"hold-svc"}))
	var instances []*holdInstance
	for n := range 12 {
		i, err := b.startHoldInstance(n, zoneRegions[n%len(zoneRegions)].zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	if err := b.addVMs(3, ""); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	_, stopCrowd := b.startHolds(crowdClients) // opens connections
	time.Sleep(1500 * time.Millisecond)
	stopCrowd()
	outcomes, stop := b.startHolds(steadyClients)
	time.Sleep(500 * time.Millisecond)
	var cutTill time.Time
	if b.trouble {
		cutTill = time.Now().Add(cutTime)
		b.record("the 2 instances of 12 in %s are cut off from all machines for %v", cutZone, cutTime)
		for _, i := range instances {
			if i.zone == cutZone {
				i.link.cut(time.Now())
			}
		}
	}
	time.Sleep(evacuateAfter)
	b.store.Evacuate(cutZone)
	evacuated := time.Now()
	b.record("the store acknowledges the evacuation of %s", cutZone)
	time.Sleep(cutTime + 6*time.Second)
	stop()
	broken, excused := false, 0
	for _, i := range instances {
		i.mu.Lock()
		for _, a := range i.arrivals {
			late := i.zone == cutZone && a.at.Sub(evacuated) > evacuationBound
			if late && a.at.Sub(cutTill) <= stableWindow {
				excused++
			} else if late {
				broken = true
				b.record("request %s reaches %s in %s %.3f s after the evacuation was acknowledged; its client: %s", a.id, i.id, i.zone, a.at.Sub(evacuated).Seconds(), outcomes.get(a.id))
			}
		}
		i.mu.Unlock()
	}
	b.record("%d other late requests are excused: the link had been cut in the last %v", excused, stableWindow)
	return broken, nil
}

// holdOutcomes are the outcomes of client attempts by their ids.
type holdOutcomes struct {
	mu   sync.Mutex
	byID map[string]string
}

func (o *holdOutcomes) get(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byID[id]
}

// startHolds starts clients of the unsafe route.
func (b *bed) startHolds(count int) (outcomes *holdOutcomes, stop func()) {
	outcomes = &holdOutcomes{byID: map[string]string{}}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	for n := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for turn := n; ; turn++ {
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id, sent := b.newID(), time.Now()
				status := b.sendWithin(b.vms[turn%len(b.vms)], http.MethodPost, crashHost, holdPrefix+id, "unit=1", id, holdTimeout)
				outcomes.mu.Lock()
				outcomes.byID[id] = fmt.Sprintf("%s, %.3f s after it had sent it", status, time.Since(sent).Seconds())
				outcomes.mu.Unlock()
			}
		}()
	}
	return outcomes, func() { close(ended); wg.Wait() }
}
