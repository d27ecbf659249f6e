package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is the end of one request as its client saw it.
type outcome struct {
	id, vm     string
	sent, done time.Time
	status     int // 0 if the connection ended without an answer
	stamped    bool
}

// load sends requests at a rate to the VMs in turn.
type load struct {
	key      string // of a client account; empty means none
	body     string // of all requests; empty means one of its own for each
	mu       sync.Mutex
	outcomes []outcome
	wg       sync.WaitGroup
}

func (l *load) all() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome(nil), l.outcomes...)
}

// send sends one request on a new connection and records its end.
func (l *load) send(v *vm, method, host, path string, budget time.Duration) {
	defer l.wg.Done()
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), vm: v.name, sent: time.Now()}
	client := &http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	body := l.body
	if body == "" {
		body = "x=" + o.id
	}
	request, err := http.NewRequest(method, "http://"+v.callerAddress()+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Hickoryroute-Request-Id", o.id)
	request.Header.Set("Hickoryroute-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if l.key != "" {
		request.Header.Set("Authorization", "Bearer "+l.key)
	}
	if reply, err := client.Do(request); err == nil {
		_, bodyErr := io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
		if bodyErr == nil {
			o.status, o.stamped = reply.StatusCode, reply.Header.Get("Hickoryroute-Server-Stamp") != ""
		}
	}
	o.done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// run sends requests until ctx ends and waits for their ends.
func (l *load) run(ctx context.Context, vms []*vm, gap time.Duration, method, host, path string, budget time.Duration) {
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		case <-ticker.C:
		}
		l.wg.Add(1)
		go l.send(vms[n%len(vms)], method, host, path, budget)
	}
}
