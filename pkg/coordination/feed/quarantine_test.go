package feed

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// Guards against a stored quarantine that is taken for the record of a VM, by this version
// or by one that stores none, that changes on its way, or that ends with its writer.
func TestQuarantinesAreNoVMs(t *testing.T) {
	store := &leaseStore{}
	v := newTestRegistry(store)
	want := Quarantine{
		Fingerprint: 1 << 63, LastCrashUs: 17, Trials: 2, LastTrialUs: 18,
		Crashes: []QuarantinedCrash{{Target: "i-1", StartID: 5, SentUs: 15, AtUs: 16}},
	}
	assert.NilError(t, v.WriteQuarantine(t.Context(), want))
	assert.Equal(t, store.record.Key, "vm/quarantine/8000000000000000")
	assert.Equal(t, store.record.Lease, platform.LeaseID(0))
	var earlier VM
	assert.Assert(t, json.Unmarshal(store.record.Value, &earlier) != nil, "earlier versions must reject %s", store.record.Value)

	unreadable := platform.Entry{Key: "vm/quarantine/x", Value: []byte("[{}]"), Revision: 1}
	v.merge(Delta{Revision: 1, Full: true, Entries: []platform.Entry{store.record, unreadable}}, SourcePeer)
	want.Revision = 1
	published := v.Quarantines()
	assert.DeepEqual(t, *published, map[uint64]Quarantine{want.Fingerprint: want})
	assert.Equal(t, len(v.List()), 1)
	v.merge(Delta{Revision: 2, Full: true, Entries: []platform.Entry{store.record}}, SourcePeer)
	assert.Assert(t, published == v.Quarantines(), "nothing has changed")
}
