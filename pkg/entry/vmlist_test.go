package entry

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a large fleet in which every VM reads the whole VM list in
// each round, and against an owner that takes a leaving target back because it
// does not read the list that still names it.
func TestReadersOfVMList(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, targets: 1})
	f.waitServing(t)
	v := f.vms[0]
	assert.Assert(t, v.readsVMList(1), "a small fleet reads in each round")
	addMembers(t, v, "sask", 200)
	waitFor(t, func() error {
		if len(*v.memberIndex.Load()) <= allReadVMList {
			return errors.New("the members are not indexed yet")
		}
		return nil
	})
	first := v.members.Rank("sask", v.PeerAddress()) < vmListReaders
	assert.Equal(t, v.readsVMList(1), first)
	assert.Assert(t, v.readsVMList(vmListRounds))
	v.leaving.add("sask/cluebook/cb-0", v.keeper.now())
	assert.Assert(t, v.readsVMList(1), "the owner of a leaving target reads in each round")
}
