package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
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
	// historyWait is the time for which a VM that has started waits for the history of
	// another one. It exceeds the time in which it exchanges messages with all others.
	historyWait = 10 * time.Second
	// crashShareMemory is the time for which a VM that sends no messages is remembered.
	crashShareMemory = time.Minute
)

// crashSharing remembers which VMs do not know the same crash records as this VM.
type crashSharing struct {
	startedAt time.Time // of this VM
	// received is true once this VM has received the history of another one.
	received atomic.Bool
	mu       sync.Mutex
	vms      map[string]*digestState // by id
}

// informed reports whether this VM knows what the others knew when it started: it has
// received the history of another VM, or no other was there to send one.
func (s *crashSharing) informed(now time.Time) bool {
	return s.received.Load() || now.Sub(s.startedAt) >= historyWait
}

// digestState is what is known of the digest of one VM.
type digestState struct {
	lastReply    uint64 // digest in its last reply, if replied is true
	replied      bool
	wantsHistory bool // as of the last reply
	// sent and sentBefore are the numbers up to which the news were in the last message
	// to the VM, and in the last but one, or in one that it has replied to. News is sent
	// twice otherwise, because a message may be lost.
	sent, sentBefore uint64
	// known holds the number of the news about a request that the VM has sent itself.
	known map[crash.Fingerprint]uint64

	seenAt, differsSince, sharedAt time.Time // zero if never, or not now
}

// lastReply returns the digest in the last reply of a VM, or another one if it has not
// replied, and whether it wanted the history.
func (s *crashSharing) lastReply(vm string, other uint64) (digest uint64, wantsHistory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.vms[vm]; state != nil && state.replied {
		return state.lastReply, state.wantsHistory
	}
	return other, false
}

// recordReply records the digest in a reply of a VM, and whether it wants the history.
func (s *crashSharing) recordReply(vm string, digest uint64, wantsHistory bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	state.lastReply, state.replied, state.wantsHistory = digest, true, wantsHistory
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

// crashState is the part of a message that tells another VM of crashes.
type crashState struct {
	notices []protocol.CrashNotice
	digest  uint64
	history protocol.CrashHistory
	sent    uint64 // number up to which the news are in the message
}

// crashesFor returns the crash records for a message to a VM that has sent a digest: the
// history if it wants that, what it may have missed, or the news.
func (p *peers) crashesFor(vm string, digest uint64, wantsHistory bool) crashState {
	now, table := p.gateway.cfg.Now(), p.gateway.crashes
	state := crashState{digest: table.Digest()}
	informed := p.crashSharing.informed(now)
	state.history = protocol.CrashHistory{WantsHistory: !informed, HasHistory: informed && wantsHistory}
	switch missed := p.crashSharing.due(vm, state.digest, digest, now); {
	case state.history.HasHistory:
		state.notices = crashNotices(table.History(now), now)
	case missed:
		state.notices = crashNotices(table.Suspects(now), now)
	default:
		state.notices, state.sent = p.newsFor(vm, now)
	}
	return state
}

// newsFor returns the news for a message to a VM, and the number up to which it is.
func (p *peers) newsFor(vm string, now time.Time) ([]protocol.CrashNotice, uint64) {
	s := &p.crashSharing
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	news, upTo := p.gateway.crashes.Recent(now, state.sentBefore)
	state.sent, state.sentBefore = max(upTo, state.sent), max(state.sent, state.sentBefore)
	var unknown []crash.Record
	for _, r := range news {
		if state.known[r.Fingerprint] != r.Number {
			unknown = append(unknown, r)
		}
	}
	maps.DeleteFunc(state.known, func(_ crash.Fingerprint, number uint64) bool { return number <= state.sentBefore })
	return crashNotices(unknown, now), upTo
}

// confirmNews records that a VM has received the news up to a number.
func (s *crashSharing) confirmNews(vm string, upTo uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	state.sentBefore = max(state.sentBefore, upTo)
}

// recordKnown records that a VM knows the news about a request.
func (s *crashSharing) recordKnown(vm string, f crash.Fingerprint, number uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	if state.known == nil {
		state.known = map[crash.Fingerprint]uint64{}
	}
	state.known[f] = number
}

// repeatNews lets the next message to a VM repeat the news, after a call that failed.
func (s *crashSharing) repeatNews(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(vm, now)
	state.sent, state.sentBefore = 0, 0
}

// crashesForCall returns the crash records for a call to a VM.
func (p *peers) crashesForCall(vm string) crashState {
	digest, wantsHistory := p.crashSharing.lastReply(vm, p.gateway.crashes.Digest())
	return p.crashesFor(vm, digest, wantsHistory)
}

func crashNotices(records []crash.Record, now time.Time) []protocol.CrashNotice {
	var notices []protocol.CrashNotice
	for _, r := range records {
		notices = append(notices, crashNotice(r, now))
	}
	return notices
}

// mergeCrashes takes over the crash records in a message of another VM.
func (p *peers) mergeCrashes(from string, notices []protocol.CrashNotice, history protocol.CrashHistory) {
	now := p.gateway.cfg.Now()
	if history.HasHistory {
		p.crashSharing.received.Store(true)
	}
	for _, n := range notices {
		r := crashRecord(n, now)
		if number := p.gateway.crashes.Merge(r, now); number > 0 {
			p.crashSharing.recordKnown(from, r.Fingerprint, number, now)
		}
	}
}
