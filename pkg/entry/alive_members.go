package entry

import (
	"sync/atomic"
	"time"

	"hickoryroute/pkg/protocol"
)

// maxAliveListAge is the longest age of the member list that lookups use. With
// 700 members, sorting the list took most of the time of a lookup.
const maxAliveListAge = 100 * time.Millisecond

// aliveMemberCache caches the list of alive members for lookups.
type aliveMemberCache struct {
	current atomic.Pointer[aliveList]
}

// aliveList is the list of alive members at the time readAt.
type aliveList struct {
	readAt  time.Time
	members []protocol.Member
}

// get returns a list that is at most maxAliveListAge old, and calls read for a
// new one where needed. The list is shared and must not be changed.
func (c *aliveMemberCache) get(now time.Time, read func() []protocol.Member) []protocol.Member {
	list := c.current.Load()
	if list != nil && now.Sub(list.readAt) < maxAliveListAge {
		return list.members
	}
	list = &aliveList{readAt: now, members: read()}
	c.current.Store(list)
	return list.members
}
