package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/internal/testnet"
)

// run is one request that an instance ran.
type run struct {
	id, instance string
	tenant       string
	at           time.Time
	broken       bool // the instance ended before the answer
}

// runs holds what all instances ran.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
	return len(r.list) - 1
}

func (r *runs) setBroken(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[i].broken = true
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// instance is a sound instance of a service.
type instance struct {
	id, service, zone, address string
	work                       time.Duration
	born                       time.Time
	runs                       *runs
	server                     *http.Server
	running                    atomic.Int64
	ended                      chan struct{}
	onCrash                    func() // called when crashPath begins to run; nil if it runs as others
}

const slots = 16

func newInstance(id, service, zone string, work time.Duration, all *runs) (*instance, error) {
	i := &instance{id: id, service: service, zone: zone, work: work, born: time.Now(), runs: all, ended: make(chan struct{})}
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	i.address = listener.Addr().String()
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(listener) }()
	return i, nil
}

func (i *instance) key() string { return "servers/" + i.id }

func (i *instance) entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"sequence":1,"born":%d}`,
		i.service, i.address, i.zone, slots, state, i.born.UnixMilli())
}

// end ends the instance as the exit of its process does.
func (i *instance) end() {
	close(i.ended)
	_ = i.server.Close()
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hickoryroute-Request-Id")
	h := w.Header()
	h.Set("Hickoryroute-Request-Id", id)
	if expected := r.Header.Get("Hickoryroute-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n := i.running.Add(1)
	defer i.running.Add(-1)
	h.Set("Hickoryroute-Server-Load", fmt.Sprintf("%d,0,%d,100", n, slots))
	if n > slots {
		h.Set("Hickoryroute-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if i.onCrash != nil && r.URL.Path == crashPath {
		i.onCrash()
		panic(http.ErrAbortHandler)
	}
	index := i.runs.add(run{id: id, instance: i.id, tenant: r.Header.Get("Hickoryroute-Tenant"), at: time.Now()})
	select {
	case <-time.After(i.work):
	case <-i.ended:
		i.runs.setBroken(index)
		panic(http.ErrAbortHandler)
	}
	h.Set("Hickoryroute-Server-Stamp", "stamp."+i.id+"."+id)
	_, _ = io.WriteString(w, "done "+id+" by "+i.id)
}
