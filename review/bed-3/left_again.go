package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"hickoryroute/platform/standin"
)

const (
	stableWindow = 3 * time.Second
	// silenceTime is three heartbeat intervals, after which the platform removes the entry
	// of an instance that says nothing.
	silenceTime = 3 * 1500 * time.Millisecond
)

// leftAgain: an instance leaves without a report, as its removed entry says, and serves for
// some seconds more; a drill brings the store back from a copy that still has its entry.
func leftAgain(ctx context.Context, record *recorder, dir string) (int, error) {
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
	var instances []*instance
	for n := range 4 {
		i, err := newInstance(fmt.Sprintf("i-%d", n+1), "answer-desk", []string{"sask-yxe", "sask-yqr"}[n%2], 300*time.Millisecond, &all)
		if err != nil {
			return exitNotRun, err
		}
		instances = append(instances, i)
		b.store.Put(i.key(), i.entry("ready"))
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
	var l load
	loadEnded := make(chan struct{})
	go func() {
		l.run(loadCtx, b.vms, 25*time.Millisecond, http.MethodPost, "desk.example", "/answers/submit", 4*time.Second)
		close(loadEnded)
	}()
	time.Sleep(5 * time.Second)
	from := b.store.Copy()
	record.say("the copy is taken")
	time.Sleep(time.Second)
	leaving := instances[0]
	b.store.Delete(leaving.key())
	acknowledged := time.Now()
	record.say("%s leaves: its entry is removed, acknowledged; it goes on serving", leaving.id)
	time.Sleep(3 * time.Second)
	if b.trouble {
		away.Store(true)
		b.store.Restore(from)
		record.say("the store is away")
	}
	time.Sleep(500 * time.Millisecond)
	away.Store(false)
	back := time.Now()
	if b.trouble {
		record.say("the store is back from the copy, which has the entry of %s", leaving.id)
	}
	time.Sleep(silenceTime - 500*time.Millisecond)
	leaving.end()
	record.say("%s ends, %s after its entry was removed", leaving.id, time.Since(acknowledged).Round(100*time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	b.store.Delete(leaving.key())
	record.say("its entry is gone, after three heartbeat intervals of silence")
	time.Sleep(1500 * time.Millisecond)
	stopLoad()
	<-loadEnded
	return judgeLeft(record, leaving.id, acknowledged, back.Add(stableWindow), &l, &all), nil
}

// judgeLeft counts the requests that reach an instance too late after it has left, of those
// that arrive while all VMs are in touch.
func judgeLeft(record *recorder, leaving string, acknowledged, inTouch time.Time, l *load, all *runs) int {
	sent := map[string]outcome{}
	statuses := map[string]int{}
	for _, o := range l.all() {
		sent[o.id] = o
		statuses[fmt.Sprintf("%d, stamp %t", o.status, o.stamped)]++
		record.log("request %s to %s, sent at %.3f, status %d, stamp %t", o.id, o.vm, o.sent.Sub(record.began).Seconds(), o.status, o.stamped)
	}
	late, early, lost := 0, 0, 0
	for _, r := range all.all() {
		o := sent[r.id]
		record.log("%s runs %s at %.3f, broken %t", r.instance, r.id, r.at.Sub(record.began).Seconds(), r.broken)
		if r.instance != leaving || r.at.Sub(acknowledged) <= drainTime || o.sent.Before(acknowledged) {
			continue
		}
		if r.at.Before(inTouch) {
			early++
			continue
		}
		late++
		if r.broken && o.status != http.StatusOK {
			lost++
		}
	}
	record.say("%d requests; ends: %v", len(sent), statuses)
	record.say("%d requests reached %s more than %s after its leaving was acknowledged, and before the store was stable again", early, leaving, drainTime)
	record.say("%d did so after that, from VMs in touch; %d of them ended without its answer", late, lost)
	if late > 0 {
		record.say("DRAIN is broken")
		return exitBroken
	}
	record.say("DRAIN holds")
	return exitHeld
}
