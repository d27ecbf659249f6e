package gateway

import (
	"maps"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// crashShareInterval is the least time between two messages to one VM that carry all
	// crash records, also if its digest goes on differing.
	crashShareInterval = time.Second
	// crashShareMemory is the time for which a VM that sends no messages is remembered.
	crashShareMemory = time.Minute
)

// crashSharing remembers which VMs do not know the same crash records as this VM.
type crashSharing struct {
	mu       sync.Mutex
	differ   map[string]bool      // by id of the VM
	sharedAt map[string]time.Time // when it was last sent all records, by id of the VM
}

// differs reports whether the digest of a VM differed in its last reply.
func (s *crashSharing) differs(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.differ[vm]
}

func (s *crashSharing) setDiffers(vm string, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !differs {
		delete(s.differ, vm)
		return
	}
	if s.differ == nil {
		s.differ = map[string]bool{}
	}
	s.differ[vm] = true
}

// due reports whether all records may be sent to a VM now, and notes that they are.
func (s *crashSharing) due(vm string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.sharedAt[vm]; ok && now.Sub(at) < crashShareInterval {
		return false
	}
	if s.sharedAt == nil {
		s.sharedAt = map[string]time.Time{}
	}
	maps.DeleteFunc(s.sharedAt, func(_ string, at time.Time) bool { return now.Sub(at) > crashShareMemory })
	s.sharedAt[vm] = now
	return true
}

// crashesFor returns the crash records for a message to a VM: all of them if its digest
// differs, which it does after a start or when it has missed news, and the news otherwise.
func (p *peers) crashesFor(vm string, differs bool) []protocol.CrashNotice {
	now, table := p.gateway.cfg.Now(), p.gateway.crashes
	records := table.Recent(now)
	if differs && p.crashSharing.due(vm, now) {
		records = table.All(now)
	}
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
