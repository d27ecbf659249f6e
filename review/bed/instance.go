package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is a stand-in for one instance of a service. It runs a limited number
// of requests at once, queues some more and refuses the rest as not run.
type instance struct {
	bed               *bed
	id, service, zone string
	address           string
	slots, queue      int
	work              func(r *http.Request) time.Duration
	bodyBytes         int

	listener net.Listener
	server   *http.Server
	slot     chan struct{}
	started  time.Time

	mu       sync.Mutex
	conns    map[net.Conn]bool
	admitted int
	runs     map[string]*run
}

// run is one request that an instance began to run.
type run struct {
	path         string
	began, ended time.Time // ended is zero while it runs
	answered     bool
}

func (b *bed) newInstance(id, service, zone string, slots int, work time.Duration) *instance {
	i := &instance{
		bed: b, id: id, service: service, zone: zone, slots: slots, queue: 3 * slots,
		work: func(*http.Request) time.Duration { return work }, bodyBytes: 1500, runs: map[string]*run{},
	}
	listener, err := net.Listen("tcp", b.newIP()+":8080")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	i.address = listener.Addr().String()
	i.serve(listener)
	b.onClose(i.crash)
	return i
}

func (i *instance) serve(listener net.Listener) {
	i.listener, i.slot, i.started, i.conns, i.admitted = listener, make(chan struct{}, i.slots), time.Now(), map[net.Conn]bool{}, 0
	i.server = &http.Server{Handler: http.HandlerFunc(i.handle), ConnState: i.track}
	server := i.server
	go func() { _ = server.Serve(listener) }()
}

func (i *instance) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.conns[c] = true
	case http.StateClosed:
		delete(i.conns, c)
	}
}

// register writes the record of the instance, as the instance does.
func (i *instance) register() { i.registerCold(0) }

// registerCold is register for an instance that is slow for a time.
func (i *instance) registerCold(left time.Duration) {
	i.bed.store.Put("servers/"+i.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":%d,"sequence":1,"born":%d}`,
		i.service, i.address, i.zone, i.slots, left.Milliseconds(), i.started.UnixMilli()))
}

// crash ends the instance: its connections are reset, and nothing listens.
func (i *instance) crash() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = i.server.Close()
}

// admit reports whether there is room for one more request.
func (i *instance) admit() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.admitted >= i.slots+i.queue {
		return false
	}
	i.admitted++
	return true
}

func (i *instance) loadHeader() string {
	running := len(i.slot)
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", running, max(0, i.admitted-running), i.slots)
}

func (i *instance) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Hickoryroute-Not-Run", "1")
	w.Header().Set("Hickoryroute-Server-Load", i.loadHeader())
	w.WriteHeader(status)
}

func (i *instance) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hickoryroute-Request-Id")
	w.Header().Set("Hickoryroute-Instance-Id", i.id)
	w.Header().Set("Hickoryroute-Request-Id", id)
	if expected := r.Header.Get("Hickoryroute-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Hickoryroute-Server-Load", i.loadHeader())
		return
	}
	if id == "" {
		i.refuse(w, http.StatusBadRequest)
		return
	}
	if !i.admit() {
		i.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		i.mu.Lock()
		i.admitted--
		i.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	budget := 10 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("Hickoryroute-Deadline-Ms"), 64); err == nil {
		budget = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := time.After(budget)
	select {
	case i.slot <- struct{}{}:
	case <-deadline:
		i.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-i.slot }()
	run := i.begin(id, r)
	status := http.StatusOK
	select {
	case <-time.After(i.work(r)):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		i.end(id, run, "broken off by the caller")
		return
	}
	w.Header().Set("Hickoryroute-Server-Stamp", "stamp."+i.id+"."+id)
	w.Header().Set("Hickoryroute-Server-Load", i.loadHeader())
	if status != http.StatusOK {
		w.WriteHeader(status)
		i.end(id, run, "answered 504")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(i.bodyBytes))
	run.answered = true
	_, err := w.Write(makeBody(id, i.bodyBytes))
	i.end(id, run, fmt.Sprintf("answered 200, write error %v", err))
}

// makeBody returns the body of the answer to a request.
func makeBody(id string, size int) []byte {
	body := make([]byte, 0, size+len(id))
	for len(body) < size {
		body = append(body, id...)
	}
	return body[:size]
}

func (i *instance) begin(id string, r *http.Request) *run {
	run := &run{path: r.URL.Path, began: time.Now()}
	i.mu.Lock()
	i.runs[id] = run
	i.mu.Unlock()
	i.bed.log("%s: runs %s %s %s", i.id, id, r.Method, r.URL.Path)
	return run
}

func (i *instance) end(id string, run *run, how string) {
	i.mu.Lock()
	run.ended = time.Now()
	i.mu.Unlock()
	i.bed.log("%s: %s %s", i.id, id, how)
}

// comeBack starts the instance again at its address, under its id, cold.
func (i *instance) comeBack() {
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		i.bed.log("%s: cannot listen again: %v", i.id, err)
		return
	}
	i.mu.Lock()
	i.serve(listener)
	i.mu.Unlock()
	i.registerCold(3 * time.Second)
}
