package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/targets"
)

// Guards against LIMIT: VMs that disagree on who divides the limit of a target, and
// a limit that is divided among more VMs than can each send one request.
func TestVMsThatDivideTheLimitOfATarget(t *testing.T) {
	vm := func(id, region string) feed.VM { return feed.VM{ID: id, Region: region} }
	var named []feed.VM
	for i := range 10 {
		named = append(named, vm(fmt.Sprintf("r-%d", i), "r"))
	}
	named = append(named, vm("s-0", "s"))
	target := &targets.Target{Record: targets.Record{ID: "t"}, Region: "r"}

	all := limitSenders(named, named[0], target, 50)
	assert.Equal(t, len(all), 10, "the VMs of the target's region")
	assert.DeepEqual(t, limitSenders(named, vm("s-0", "s"), target, 50), all)

	few := limitSenders(named, named[0], target, 2)
	assert.Equal(t, len(few), 4)
	for _, self := range named {
		assert.DeepEqual(t, limitSenders(named, self, target, 2), few)
	}
	assert.Equal(t, len(limitSenders(named, vm("r-idle", "r"), target, 50)), 11, "a VM that lookups no longer name still serves")

	remote := &targets.Target{Record: targets.Record{ID: "t"}, Region: "lost"}
	assert.Equal(t, len(limitSenders(named, named[0], remote, 50)), 11, "all regions divide the limits of a region without VMs")
}
