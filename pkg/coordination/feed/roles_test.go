package feed

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// Guards against a claim of a role that is taken for the record of a VM, by this version
// or by one that knows no roles, and against a claim that changes on its way.
func TestRoleClaimsAreNoVMs(t *testing.T) {
	store := &leaseStore{}
	v := newTestRegistry(store)
	want := RoleClaim{VM: "vm-1", Address: "10.0.0.1:1", Settled: true}
	revision, err := v.ClaimRole(t.Context(), "quota-3", 0, want)
	assert.NilError(t, err)
	assert.Equal(t, store.record.Key, "vm/role/quota-3")
	assert.Equal(t, store.record.Lease, platform.LeaseID(0), "a claim outlives its VM")
	var earlier VM
	assert.Assert(t, json.Unmarshal(store.record.Value, &earlier) != nil, "versions without roles must reject %s", store.record.Value)

	before := v.List()
	v.merge(Delta{Revision: revision, Full: true, Entries: []platform.Entry{store.record}}, SourcePeer)
	want.Revision = revision
	assert.DeepEqual(t, v.RoleClaims(), map[string]RoleClaim{"quota-3": want})
	assert.Equal(t, len(v.List()), 1)
	assert.Assert(t, &before[0] == &v.List()[0], "the list of VMs has changed")
}
