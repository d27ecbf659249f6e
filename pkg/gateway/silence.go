package gateway

import (
	"context"
	"maps"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
)

// silentAfter is the time without a message after which a VM of the region
// counts as silent. Such a VM may still be listed, because its lease has not
// ended or the list of VMs is some seconds old.
const silentAfter = 2500 * time.Millisecond

// quietAfter is the time without a message after which a VM is probed directly.
// Such a VM may still be running, because the VMs that it exchanges state with
// change with the list.
const quietAfter = 1500 * time.Millisecond

// quietVMs returns the listed VMs that have sent a message before, but none
// within quietAfter.
func (p *peers) quietVMs() []feed.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.cfg.Now()
	var quiet []feed.VM
	for _, vm := range p.listVMs() {
		if at, ok := p.lastHeard[vm.ID]; ok && now.Sub(at) > quietAfter {
			quiet = append(quiet, vm)
		}
	}
	return quiet
}

// probeQuietVM calls a quiet VM. If it replies, the time of its last message is
// deleted, so that it cannot become silent before it sends the next one.
func (p *peers) probeQuietVM(ctx context.Context, vm feed.VM) {
	if !p.exchange(ctx, vm, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastHeard, vm.ID)
}

// markHeard records that a VM has sent a message.
func (p *peers) markHeard(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[vm] = p.gateway.cfg.Now()
}

// updateSilence logs the VMs that have become silent or are heard again, and
// deletes the state of VMs that are no longer listed. logged holds whether each
// VM was last logged as silent.
func (p *peers) updateSilence(logged map[string]bool) {
	listed := map[string]bool{}
	for _, vm := range p.listVMs() {
		listed[vm.ID] = true
		if silent := p.isSilent(vm.ID); silent != logged[vm.ID] {
			logged[vm.ID] = silent
			p.gateway.cfg.Logger.Log(EventVMSilent, eventlog.Fields{
				"vm": vm.ID, "zone": vm.Zone, "silent": silent, "after_ms": silentAfter.Milliseconds(),
			})
		}
	}
	maps.DeleteFunc(logged, func(vm string, _ bool) bool { return !listed[vm] })
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastHeard, func(vm string, _ time.Time) bool { return !listed[vm] })
}

// isSilent reports whether a VM has sent a message before, but none within
// silentAfter.
func (p *peers) isSilent(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastHeard[vm]
	return ok && p.gateway.cfg.Now().Sub(at) > silentAfter
}

// silentVMs returns the ids of the silent VMs, or nil if there are none.
func (p *peers) silentVMs() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.cfg.Now()
	var silent map[string]bool
	for vm, at := range p.lastHeard {
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
