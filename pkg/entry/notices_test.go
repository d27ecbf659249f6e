package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against requests to a target that leaves for the second time: the late
// notice that it is back from the first time must not revoke the second leaving
// signal.
func TestLateNoticeOfReturnDoesNotRevokeLaterLeaving(t *testing.T) {
	const name = "sask/cluebook/cb-0"
	f := newFleet(t, fleetConfig{vms: 1, targets: 1})
	f.waitUntilServing(t)
	v := f.vms[0]
	notice := func(kind protocol.NoticeKind) protocol.Notice {
		return protocol.Notice{Kind: kind, Subject: name, Origin: "other", Time: v.clock.Now()}
	}
	firstLeaving, firstReturn := notice(protocol.NoticeTargetLeaving), notice(protocol.NoticeTargetBack)
	secondLeaving, secondReturn := notice(protocol.NoticeTargetLeaving), notice(protocol.NoticeTargetBack)

	v.handleNotice(firstLeaving)
	v.handleNotice(secondLeaving)
	v.handleNotice(firstReturn)
	assert.DeepEqual(t, v.leaving.names(), []string{name})
	v.handleNotice(secondReturn)
	assert.Equal(t, len(v.leaving.names()), 0)

	v.handleTargetLeaving(name) // a signal that this VM received itself
	v.handleNotice(secondReturn)
	assert.DeepEqual(t, v.leaving.names(), []string{name})
	v.handleNotice(notice(protocol.NoticeTargetBack))
	assert.Equal(t, len(v.leaving.names()), 0)
}
