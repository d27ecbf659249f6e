package gateway

import (
	"context"
	"maps"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
)

// unresponsiveAfter is the time without a message after which a VM of the region
// counts as unresponsive. Such a VM may still be listed, because its lease has
// not ended or the VM list is some seconds old.
const unresponsiveAfter = 2500 * time.Millisecond

// probeAfter is the time without a message after which a VM is probed. Such a VM
// may still be running, because the VMs that it exchanges state with change with
// the VM list.
const probeAfter = 1500 * time.Millisecond

// maxTickGap is the longest time between two ticks of this VM that counts as
// silence of others. In a longer one this VM did not run, and their messages wait to
// be read.
const maxTickGap = 2 * exchangeInterval

// recordTick records that the exchange loop of this VM runs, and adds the time in
// which it did not to the times of the last messages.
func (p *peers) recordTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.cfg.Now()
	if gap := now.Sub(p.lastTick); !p.lastTick.IsZero() && gap > maxTickGap {
		for vm, at := range p.lastMessageAt {
			p.lastMessageAt[vm] = earlier(at.Add(gap-exchangeInterval), now)
		}
	}
	p.lastTick = now
}

// silenceNow returns the time by which the silence of other VMs is measured. It
// stands still while this VM does not run. The caller holds the lock.
func (p *peers) silenceNow() time.Time {
	now := p.gateway.cfg.Now()
	if latest := p.lastTick.Add(maxTickGap); !p.lastTick.IsZero() && now.After(latest) {
		return latest
	}
	return now
}

// vmsToProbe returns the listed VMs that have sent a message before, but none
// within probeAfter.
func (p *peers) vmsToProbe() []feed.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.silenceNow()
	var toProbe []feed.VM
	for _, vm := range p.listVMs() {
		if at, ok := p.lastMessageAt[vm.ID]; ok && now.Sub(at) > probeAfter {
			toProbe = append(toProbe, vm)
		}
	}
	return toProbe
}

// probe calls a VM. If it replies, the time of its last message is deleted, so
// that it cannot become unresponsive before it sends the next one.
func (p *peers) probe(ctx context.Context, vm feed.VM) {
	if !p.exchange(ctx, vm, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastMessageAt, vm.ID)
}

// recordMessage records that a VM has sent a message.
func (p *peers) recordMessage(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastMessageAt[vm] = p.gateway.cfg.Now()
}

// updateUnresponsive logs the VMs that have become unresponsive or send
// messages again, and deletes the state of VMs that are no longer listed. logged holds
// whether each VM was last logged as unresponsive.
func (p *peers) updateUnresponsive(logged map[string]bool) {
	listed := map[string]bool{}
	for _, vm := range p.listVMs() {
		listed[vm.ID] = true
		if unresponsive := p.isUnresponsive(vm.ID); unresponsive != logged[vm.ID] {
			logged[vm.ID] = unresponsive
			p.gateway.cfg.Logger.Log(EventVMUnresponsive, eventlog.Fields{
				"vm": vm.ID, "zone": vm.Zone, "silent": unresponsive, "after_ms": unresponsiveAfter.Milliseconds(),
			})
		}
	}
	maps.DeleteFunc(logged, func(vm string, _ bool) bool { return !listed[vm] })
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastMessageAt, func(vm string, _ time.Time) bool { return !listed[vm] })
}

// isUnresponsive reports whether a VM has sent a message before, but none within
// unresponsiveAfter.
func (p *peers) isUnresponsive(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastMessageAt[vm]
	return ok && p.silenceNow().Sub(at) > unresponsiveAfter
}

// unresponsiveVMs returns the ids of the unresponsive VMs, or nil if there are
// none.
func (p *peers) unresponsiveVMs() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.silenceNow()
	var unresponsive map[string]bool
	for vm, at := range p.lastMessageAt {
		if now.Sub(at) <= unresponsiveAfter {
			continue
		}
		if unresponsive == nil {
			unresponsive = map[string]bool{}
		}
		unresponsive[vm] = true
	}
	return unresponsive
}
