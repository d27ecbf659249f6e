package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"hickoryroute/platform/standin"
)

const (
	headerEra = "Store-Era"
	drainTime = 2500 * time.Millisecond
	// lanternBounds are the bounds of lantern-hunt.
	lanternBounds = "seed_lag_s=3,reuse_after_s=2,stable_window_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2500,grace_s=6,loss_slack_ms=200,config_apply_ms=2500,rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,retry_window_s=10,retry_slack=64,cold_multiplier=1.5,cold_slack=5,evacuation_ms=5000,recovery_s=15,ttl_max_s=5,max_shift=0.15"
)

// eraFrom lets the store count its eras from a number other than 1.
func eraFrom(first uint64, away *atomic.Bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if away.Load() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(&eraWriter{w, first}, r)
		})
	}
}

type eraWriter struct {
	http.ResponseWriter
	first uint64
}

func (w *eraWriter) WriteHeader(status int) {
	if era, err := strconv.ParseUint(w.Header().Get(headerEra), 10, 64); err == nil {
		w.Header().Set(headerEra, strconv.FormatUint(era-1+w.first, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// firstEra: a drill brings the store back from a copy that is some seconds old; later an
// instance leaves as planned.
func firstEra(ctx context.Context, record *recorder, dir string) (int, error) {
	first := uint64(0)
	if text := os.Getenv("FIRST_ERA"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return exitNotRun, err
		}
		first = n
	}
	var away atomic.Bool
	b, err := newBed(record, dir, eraFrom(first, &away))
	if err != nil {
		return exitNotRun, err
	}
	defer b.stopAll()
	b.regions = map[string]string{"sask-yxe": "sask", "sask-yqr": "sask"}
	b.bounds = lanternBounds
	publish := func(version int) {
		b.store.Publish(version, []standin.Route{{Host: "desk.example", Prefix: "/answers/", Kind: "unsafe", Service: "answer-desk", TimeoutMs: 4000 + version}})
		record.log("the operator writes r%d", version)
	}
	publish(1)
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
	time.Sleep(4 * time.Second)
	from := b.store.Copy()
	record.say("the copy is taken")
	time.Sleep(time.Second)
	for version := 2; version <= 9; version++ {
		publish(version)
		time.Sleep(400 * time.Millisecond)
	}
	joining, err := newInstance("i-5", "answer-desk", "sask-yqr", 300*time.Millisecond, &all)
	if err != nil {
		return exitNotRun, err
	}
	b.store.Put(joining.key(), joining.entry("ready"))
	record.say("%s joins", joining.id)
	time.Sleep(1500 * time.Millisecond)
	if b.trouble {
		away.Store(true)
		record.say("the store is away")
		writeAgain := b.store.Restore(from)
		time.Sleep(500 * time.Millisecond)
		away.Store(false)
		record.say("the store is back from the copy")
		time.Sleep(300 * time.Millisecond)
		writeAgain()
		record.say("the operator has written r9 and %s its entry again", joining.id)
	}
	// The store is stable and all VMs are in touch long before the instance leaves.
	time.Sleep(6 * time.Second)
	leaving := instances[0]
	b.store.Put(leaving.key(), leaving.entry("draining"))
	acknowledged := time.Now()
	record.say("%s reports that it drains, acknowledged", leaving.id)
	time.Sleep(drainTime + time.Second)
	b.store.Delete(leaving.key())
	leaving.end()
	record.say("%s has left", leaving.id)
	time.Sleep(time.Second)
	stopLoad()
	<-loadEnded
	return judgeDrain(record, leaving.id, acknowledged, &l, &all), nil
}

// judgeDrain counts the requests that reach an instance too late after it has said that
// it leaves.
func judgeDrain(record *recorder, leaving string, acknowledged time.Time, l *load, all *runs) int {
	sent := map[string]outcome{}
	statuses := map[string]int{}
	for _, o := range l.all() {
		sent[o.id] = o
		statuses[fmt.Sprintf("%d, stamp %t", o.status, o.stamped)]++
		record.log("request %s to %s, sent at %.3f, status %d, stamp %t", o.id, o.vm, o.sent.Sub(record.began).Seconds(), o.status, o.stamped)
	}
	late, lost := 0, 0
	for _, r := range all.all() {
		o := sent[r.id]
		record.log("%s runs %s at %.3f, broken %t", r.instance, r.id, r.at.Sub(record.began).Seconds(), r.broken)
		if r.instance == leaving && r.at.Sub(acknowledged) > drainTime && o.sent.After(acknowledged) {
			late++
			if r.broken && o.status != http.StatusOK {
				lost++
			}
		}
	}
	record.say("%d requests; ends: %v", len(sent), statuses)
	record.say("%d requests reached %s more than %s after the store had acknowledged that it drains; %d of them ended without its answer", late, leaving, drainTime, lost)
	if late > 0 {
		record.say("DRAIN is broken")
		return exitBroken
	}
	record.say("DRAIN holds")
	return exitHeld
}
