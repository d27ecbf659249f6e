package gateway

import (
	"maps"
	"time"

	"hickoryroute/pkg/eventlog"
)

// silentAfter is the time after which a VM of the region that used to exchange
// loads is taken for gone, before its lease ends. The list of VMs may be read
// some seconds late.
const silentAfter = 2500 * time.Millisecond

// hear notes a word of a VM.
func (p *peers) hear(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[vm] = p.g.cfg.Now()
}

// followSilence logs the VMs that have fallen silent or are heard again, and
// forgets those that are no longer listed.
func (p *peers) followSilence(logged map[string]bool) {
	listed := map[string]bool{}
	for _, vm := range p.list() {
		listed[vm.ID] = true
		if silent := p.silent(vm.ID); silent != logged[vm.ID] {
			logged[vm.ID] = silent
			p.g.cfg.Logger.Log(EventVMSilent, eventlog.Fields{
				"vm": vm.ID, "zone": vm.Zone, "silent": silent, "after_ms": silentAfter.Milliseconds(),
			})
		}
	}
	maps.DeleteFunc(logged, func(vm string, _ bool) bool { return !listed[vm] })
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.heard, func(vm string, _ time.Time) bool { return !listed[vm] })
}

// silent reports whether a VM has been heard of before and not lately.
func (p *peers) silent(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.heard[vm]
	return ok && p.g.cfg.Now().Sub(at) > silentAfter
}
