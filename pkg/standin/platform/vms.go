package platform

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// vmHistory holds the versions of the VM list that callers see now or later.
type vmHistory struct {
	lag      time.Duration
	versions []vmVersion // oldest first
}

type vmVersion struct {
	since time.Time
	vms   []platform.VM
}

// visibleAt returns the list that callers see at the given time and drops older
// versions.
func (h *vmHistory) visibleAt(now time.Time) []platform.VM {
	visible := -1
	for i, v := range h.versions {
		if !v.since.Add(h.lag).After(now) {
			visible = i
		}
	}
	if visible < 0 {
		return nil
	}
	h.versions = h.versions[visible:]
	return h.versions[0].vms
}

// current returns the list without delay.
func (h *vmHistory) current() []platform.VM {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].vms
}

// VMs implements platform.VMList.
func (s *Server) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.admit(ctx, "vms", &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms.visibleAt(s.cfg.Clock.Now())), nil
}

// SetVMs replaces the VM list. Callers see the first list at once and later ones
// after the configured lag.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setVMs(slices.Clone(vms))
}

// PutVM adds a VM or replaces the one with the same address.
func (s *Server) PutVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setVMs(append(s.vmsExcept(vm.Address), vm))
}

// RemoveVM removes a VM from the list.
func (s *Server) RemoveVM(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setVMs(s.vmsExcept(address))
}

// SetVMListLag changes the age of the VM list that callers see.
func (s *Server) SetVMListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}

// CurrentVMs returns the VM list without delay.
func (s *Server) CurrentVMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms.current())
}

func (s *Server) vmsExcept(address string) []platform.VM {
	return slices.DeleteFunc(slices.Clone(s.vms.current()), func(vm platform.VM) bool { return vm.Address == address })
}

func (s *Server) setVMs(vms []platform.VM) {
	now := s.cfg.Clock.Now()
	since := now
	if len(s.vms.versions) == 0 {
		since = now.Add(-s.vms.lag)
	}
	s.vms.versions = append(s.vms.versions, vmVersion{since: since, vms: vms})
	s.vms.visibleAt(now)
}
