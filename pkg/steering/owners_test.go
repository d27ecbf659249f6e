package steering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner in another region that was full once and still looks
// full after this VM has returned its slots, so that requests are refused.
func TestReturnedSlotsAreKnownAtOnce(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	table := newOwnerTable()
	table.recordReply("remote", 2, now)
	table.recordReply("remote", 0, now)
	assert.Equal(t, table.candidates(owners, "self", now)[0].free, 0)
	table.returnSlot("remote")
	assert.Equal(t, table.candidates(owners, "self", now)[0].free, 1)
	for range 5 {
		table.returnSlot("remote")
	}
	assert.Equal(t, table.candidates(owners, "self", now)[0].free, 2)
}

// Guards against many requests that count on the same gossiped free slot before
// its owner's first reply.
func TestAskedSlotsAreNotCountedTwice(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	v := newOwnerTable()
	for want := 2; want >= 0; want-- {
		c := v.candidates(owners, "self", now)[0]
		assert.Equal(t, c.free, want)
		v.takeSlot("remote", c.free, now)
	}
	assert.Equal(t, v.candidates(owners, "self", now)[0].free, 0)
}
