package gateway

import (
	"context"
	"maps"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
)

// silentAfter is the time after which a VM of the region that used to exchange
// loads is taken for gone, before its lease ends. The list of VMs may be read
// some seconds late.
const silentAfter = 2500 * time.Millisecond

// quietAfter is the time after which a VM that was heard before is asked
// directly. It need not have stopped: the partners of a VM change with the list.
const quietAfter = 1500 * time.Millisecond

// quiet returns the listed VMs that were heard before and not lately.
func (p *peers) quiet() []feed.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.cfg.Now()
	var quiet []feed.VM
	for _, vm := range p.list() {
		if at, ok := p.heard[vm.ID]; ok && now.Sub(at) > quietAfter {
			quiet = append(quiet, vm)
		}
	}
	return quiet
}

// check asks a quiet VM. One that answers is forgotten, and judged again when
// it next exchanges loads with this VM.
func (p *peers) check(ctx context.Context, vm feed.VM) {
	if !p.exchange(ctx, vm, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.heard, vm.ID)
}

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

// silentVMs returns the VMs that have fallen silent.
func (p *peers) silentVMs() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.cfg.Now()
	var silent map[string]bool
	for vm, at := range p.heard {
		if now.Sub(at) <= silentAfter {
			continue
		}
		if silent == nil {
			silent = map[string]bool{}
		}
		silent[vm] = true
	}
	return silent
}
