package entry

import (
	"sync/atomic"
	"time"

	"hickoryroute/pkg/protocol"
)

// aliveMaxAge is the longest age of the member list that look-ups use. Sorting
// the list for each look-up took most of its time at 700 members.
const aliveMaxAge = 100 * time.Millisecond

// aliveMembers keeps the list of alive members for look-ups.
type aliveMembers struct {
	current atomic.Pointer[memberSnapshot]
}

type memberSnapshot struct {
	at   time.Time
	list []protocol.Member
}

// get returns a list that is at most aliveMaxAge old. The list is shared and
// must not be changed.
func (a *aliveMembers) get(now time.Time, read func() []protocol.Member) []protocol.Member {
	s := a.current.Load()
	if s != nil && now.Sub(s.at) < aliveMaxAge {
		return s.list
	}
	s = &memberSnapshot{at: now, list: read()}
	a.current.Store(s)
	return s.list
}
