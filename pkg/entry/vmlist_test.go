package entry

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a large fleet in which every VM reads the whole VM list in
// each round, and against an owner that grants requests on a leaving target
// again because it does not read the list that still contains the target.
func TestVMListReaders(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, targets: 1})
	f.waitUntilServing(t)
	v := f.vms[0]
	assert.Assert(t, v.shouldReadVMList(1), "a VM of a small fleet does not read the list in each round")
	addMembers(t, v, "sask", 200)
	waitFor(t, func() error {
		if len(*v.memberIndex.Load()) <= maxSmallFleetMembers {
			return errors.New("the members are not indexed yet")
		}
		return nil
	})
	isReader := v.members.Rank("sask", v.PeerAddress()) < vmListReaders
	assert.Equal(t, v.shouldReadVMList(1), isReader)
	assert.Assert(t, v.shouldReadVMList(vmListFallbackRounds))
	v.leaving.add("sask/cluebook/cb-0", v.targetManager.now())
	assert.Assert(t, v.shouldReadVMList(1), "the owner of a leaving target does not read the list in each round")
}
