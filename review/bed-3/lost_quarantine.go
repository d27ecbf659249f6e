package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/platform/standin"
)

const (
	crashPath      = "/answers/crash"
	backAfter      = 3 * time.Second
	maxLateRetries = 3
)

// crashes counts the instances that the request has crashed.
type crashes struct {
	mu    sync.Mutex
	at    []time.Time
	added chan struct{}
}

// lostQuarantine: a request crashes three instances; within a second all processes are
// killed and start again, and the request comes on.
func lostQuarantine(ctx context.Context, record *recorder, dir string) (int, error) {
	var away atomic.Bool
	b, err := newBed(record, dir, eraFrom(1, &away))
	if err != nil {
		return exitNotRun, err
	}
	defer b.stopAll()
	b.regions = map[string]string{"sask-yxe": "sask", "sask-yqr": "sask"}
	b.bounds = lanternBounds
	b.store.Publish(1, []standin.Route{{Host: "desk.example", Prefix: "/answers/", Kind: "unsafe", Service: "answer-desk", TimeoutMs: 4000}})
	var all runs
	count := crashes{added: make(chan struct{}, 100)}
	next := 0
	var startMu sync.Mutex
	var start func() error
	start = func() error {
		startMu.Lock()
		next++
		n := next
		startMu.Unlock()
		i, err := newInstance(fmt.Sprintf("i-%d", n), "answer-desk", []string{"sask-yxe", "sask-yqr"}[n%2], 300*time.Millisecond, &all)
		if err != nil {
			return err
		}
		i.onCrash = func() {
			count.mu.Lock()
			count.at = append(count.at, time.Now())
			count.mu.Unlock()
			record.say("the request has crashed %s", i.id)
			i.end()
			time.AfterFunc(backAfter, func() { _ = start() })
			time.AfterFunc(silenceTime, func() { b.store.Delete(i.key()) })
			count.added <- struct{}{}
		}
		b.store.Put(i.key(), i.entry("ready"))
		return nil
	}
	for range 12 {
		if err := start(); err != nil {
			return exitNotRun, err
		}
	}
	for _, zone := range []string{"sask-yxe", "sask-yqr", "sask-yxe"} {
		if _, err := b.addVM(zone); err != nil {
			return exitNotRun, err
		}
	}
	if err := b.awaitReady(15 * time.Second); err != nil {
		return exitNotRun, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var l, crashing load
	loadEnded := make(chan struct{})
	go func() {
		l.run(loadCtx, b.vms, 20*time.Millisecond, http.MethodPost, "desk.example", "/answers/submit", 4*time.Second)
		close(loadEnded)
	}()
	time.Sleep(4 * time.Second)
	crashing.body = "the same guess"
	sendCrashing := func(n int) {
		crashing.wg.Add(1)
		go crashing.send(b.vms[n%len(b.vms)], http.MethodPost, "desk.example", crashPath, 4*time.Second)
	}
	for n := range 3 {
		sendCrashing(n)
		select {
		case <-count.added:
		case <-time.After(2 * time.Second):
			return exitNotRun, fmt.Errorf("request %d has crashed no instance", n+1)
		}
		time.Sleep(150 * time.Millisecond)
	}
	third := time.Now()
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		for _, v := range b.vms {
			_ = v.command.Process.Kill()
		}
		for _, v := range b.vms {
			<-v.exited
		}
		record.say("all processes are killed")
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		for _, v := range b.vms {
			if err := b.start(v); err != nil {
				return exitNotRun, err
			}
		}
		record.say("all processes start again")
	}
	time.Sleep(5 * time.Second)
	inTouch := time.Now()
	record.say("all VMs are in touch; the request comes once a second")
	for n := range 16 {
		sendCrashing(n)
		time.Sleep(time.Second)
	}
	stopLoad()
	<-loadEnded
	crashing.wg.Wait()
	late := 0
	for _, at := range count.at {
		if at.After(inTouch) && at.Sub(third) > stableWindow {
			late++
		}
	}
	lost := 0
	for _, r := range all.all() {
		if r.broken && r.at.After(inTouch) {
			lost++
		}
	}
	record.say("%d instances were crashed in all; %d retries reached instances later than %s after the third crash, by VMs in touch; %d requests of others that ran there were cut", len(count.at), late, stableWindow, lost)
	if late > maxLateRetries {
		record.say("BUDGET is broken")
		return exitBroken, nil
	}
	record.say("BUDGET holds")
	return exitHeld, nil
}
