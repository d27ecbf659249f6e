package steering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner of another region that was full once and then looks
// full although this VM has returned its slots, while requests are refused.
func TestReturnedSlotsAreKnownAtOnce(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	v := newFreeView()
	v.see("remote", 2, now)
	v.see("remote", 0, now)
	assert.Equal(t, v.candidates(owners, "self", now)[0].free, 0)
	v.give("remote")
	assert.Equal(t, v.candidates(owners, "self", now)[0].free, 1)
	for range 5 {
		v.give("remote")
	}
	assert.Equal(t, v.candidates(owners, "self", now)[0].free, 2)
}

// Guards against many requests that count on the same gossiped free slot
// before the first reply of its owner.
func TestAskedSlotsAreNotCountedTwice(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	v := newFreeView()
	for want := 2; want >= 0; want-- {
		c := v.candidates(owners, "self", now)[0]
		assert.Equal(t, c.free, want)
		v.take("remote", c.free, now)
	}
	assert.Equal(t, v.candidates(owners, "self", now)[0].free, 0)
}
