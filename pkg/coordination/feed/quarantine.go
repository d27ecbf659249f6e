package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"hickoryroute/pkg/transport/platform"
)

// quarantinePrefix follows the prefix of the VM records in the keys of the stored
// quarantines, so that they are followed and copied together with the VM list.
const quarantinePrefix = "quarantine/"

// Quarantine is the stored form of the quarantine of a request that crashes its targets.
// It has no lease: it outlasts a restart of all VMs. Times are in microseconds since 1970
// by the clock of the VM that wrote it.
type Quarantine struct {
	// Fingerprint identifies the request. It is part of the key.
	Fingerprint uint64             `json:"-"`
	Revision    int64              `json:"-"`
	Crashes     []QuarantinedCrash `json:"crashes"`
	LastCrashUs int64              `json:"last_crash_us"`
	// Trials counts the attempts that were let through since the quarantine began, and
	// LastTrialUs is when the last one was; 0 if there was none.
	Trials      int   `json:"trials,omitempty"`
	LastTrialUs int64 `json:"last_trial_us,omitempty"`
}

// QuarantinedCrash is the crash of one start of a target.
type QuarantinedCrash struct {
	Target  string `json:"target"`
	StartID int64  `json:"start,omitempty"`
	// SentUs is when the attempt was sent, and AtUs when its connection ended.
	SentUs int64 `json:"sent_us"`
	AtUs   int64 `json:"at_us"`
}

// Quarantines returns the stored quarantines by fingerprint. Callers must not modify the
// map. The same pointer is returned until the quarantines change.
func (v *VMRegistry) Quarantines() *map[uint64]Quarantine { return v.quarantines.Load() }

// WriteQuarantine replaces the stored quarantine of a request at q.Revision (0: there is
// none).
func (v *VMRegistry) WriteQuarantine(ctx context.Context, q Quarantine) error {
	// Versions that store no quarantines reject an array as a VM record.
	value, err := json.Marshal([1]Quarantine{q})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	_, err = v.cfg.Store.CompareAndSwap(ctx, v.quarantineKey(q.Fingerprint), value, q.Revision, 0)
	return err
}

// DeleteQuarantine removes the stored quarantine of a request at q.Revision.
func (v *VMRegistry) DeleteQuarantine(ctx context.Context, q Quarantine) error {
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	return v.cfg.Store.Delete(ctx, v.quarantineKey(q.Fingerprint), q.Revision)
}

func (v *VMRegistry) quarantineKey(fingerprint uint64) string {
	return v.cfg.Layout.WritablePrefix + "vm/" + quarantinePrefix + fmt.Sprintf("%016x", fingerprint)
}

// updateQuarantines publishes the quarantines among some entries. The caller holds the
// lock.
func (v *VMRegistry) updateQuarantines(entries map[string]platform.Entry) {
	stored := make(map[uint64]Quarantine, len(entries))
	for _, q := range v.quarantineDecoder.decodeAll(entries) {
		stored[q.Fingerprint] = q
	}
	if !reflect.DeepEqual(stored, *v.Quarantines()) {
		v.quarantines.Store(&stored)
	}
}

// decodeQuarantine decodes a stored quarantine.
func (v *VMRegistry) decodeQuarantine(e platform.Entry) (Quarantine, error) {
	var list [1]Quarantine
	name := e.Key[strings.LastIndexByte(e.Key, '/')+1:]
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return Quarantine{}, fmt.Errorf("quarantine %q: the last part of the key is not a fingerprint in hexadecimal: %w", name, err)
	}
	if err := json.Unmarshal(e.Value, &list); err != nil {
		return Quarantine{}, fmt.Errorf("quarantine %q: %w", name, err)
	}
	q := list[0]
	q.Fingerprint, q.Revision = fingerprint, e.Revision
	return q, nil
}
