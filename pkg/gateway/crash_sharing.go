package gateway

import (
	"maps"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering/crash"
)

const (
	// missedNewsTime is the time for which the digest of a VM must have differed before it
	// is sent the records that it may have missed. News takes less to reach all VMs.
	missedNewsTime = 3 * time.Second
	// crashShareInterval is the least time between two such messages to one VM, also if
	// its digest goes on differing.
	crashShareInterval = 3 * time.Second
	// crashShareMemory is the time for which a VM that sends no messages is remembered.
	crashShareMemory = time.Minute
)

// crashSharing remembers which VMs do not know the same crash records as this VM.
type crashSharing struct {
	mu  sync.Mutex
	vms map[string]*digestState // by id
}

// digestState is what is known of the digest of one VM.
type digestState struct {
	lastReply                      uint64 // digest in its last reply, if replied is true
	replied                        bool
	seenAt, differsSince, sharedAt time.Time // zero if never, or not now
}

// lastDigest returns the digest in the last reply of a VM, or another one if it has not
// replied.
func (s *crashSharing) lastDigest(vm string, other uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.vms[vm]; state != nil && state.replied {
		return state.lastReply
	}
	return other
}

// recordDigest records the digest in a reply of a VM.
func (s *crashSharing) recordDigest(vm string, digest uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	state.lastReply, state.replied = digest, true
}

// due records the digest of a VM in its last message, and reports whether the VM is to be
// sent the records that it may have missed. A VM that knows nothing has just started.
func (s *crashSharing) due(vm string, own, digest uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	if own == digest {
		state.differsSince = time.Time{}
		return false
	}
	if state.differsSince.IsZero() {
		state.differsSince = now
	}
	if digest != 0 && now.Sub(state.differsSince) < missedNewsTime {
		return false
	}
	if !state.sharedAt.IsZero() && now.Sub(state.sharedAt) < crashShareInterval {
		return false
	}
	state.sharedAt = now
	return true
}

// state returns the state of a VM, and forgets those that send nothing. The caller holds
// the lock.
func (s *crashSharing) state(vm string, now time.Time) *digestState {
	if s.vms == nil {
		s.vms = map[string]*digestState{}
	}
	state := s.vms[vm]
	if state == nil {
		maps.DeleteFunc(s.vms, func(_ string, old *digestState) bool { return now.Sub(old.seenAt) > crashShareMemory })
		state = &digestState{}
		s.vms[vm] = state
	}
	state.seenAt = now
	return state
}

// crashesFor returns the crash records for a message to a VM that has sent a digest: the
// news, or what it may have missed.
func (p *peers) crashesFor(vm string, digest uint64) []protocol.CrashNotice {
	now, table := p.gateway.cfg.Now(), p.gateway.crashes
	if p.crashSharing.due(vm, table.Digest(), digest, now) {
		return crashNotices(table.Suspects(now), now)
	}
	return crashNotices(table.Recent(now), now)
}

func crashNotices(records []crash.Record, now time.Time) []protocol.CrashNotice {
	var notices []protocol.CrashNotice
	for _, r := range records {
		notices = append(notices, crashNotice(r, now))
	}
	return notices
}

func (p *peers) mergeCrashes(notices []protocol.CrashNotice) {
	now := p.gateway.cfg.Now()
	for _, n := range notices {
		p.gateway.crashes.Merge(crashRecord(n, now), now)
	}
}
