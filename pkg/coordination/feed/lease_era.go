package feed

import (
	"time"

	"github.com/go-faster/errors"
)

// errLeaseUnverified means that the store has come back from an older copy and that
// this VM has not read yet whether its lease is part of it.
var errLeaseUnverified = errors.New("the store is in a new era whose VM list is not known yet; the lease is renewed once it has been read")

// startEra keeps the listed VMs without a record listed until they have registered
// again. They notice at different times, with their next renewals, which spares the
// store. A VM that ends without notice stays listed for a lease's time as well. The
// caller holds the lock.
func (v *VMRegistry) startEra() {
	v.decoder.reset()
	v.roleDecoder.reset()
	v.quarantineDecoder.reset()
	v.graceUntil = v.cfg.Now().Add(v.cfg.Timing.LeaseTTL)
	v.inGrace = true
	time.AfterFunc(v.cfg.Timing.LeaseTTL, v.Recheck)
}

// checkLeaseEra forgets a lease that the store has lost by coming back from an older
// copy. The store gives its id out again, so that it may be another VM's: it must be
// neither renewed nor revoked. The lease is still this VM's if the record that was
// written under it is part of the copy. Until the list of the new era has been read,
// checkLeaseEra returns errLeaseUnverified. The caller holds the lock.
func (v *VMRegistry) checkLeaseEra() error {
	era := max(lastEra(v.cfg.Store), v.cache.era)
	if v.lease == 0 || v.leaseEra == 0 || era <= v.leaseEra {
		return nil
	}
	if v.cache.era < era {
		return errLeaseUnverified
	}
	record, listed := v.cache.entries[v.recordKey()]
	if v.registered && listed && record.Revision == v.recordAt {
		v.leaseEra = era
		return nil
	}
	v.lease, v.registered = 0, false
	return nil
}
