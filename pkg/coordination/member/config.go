// Package member keeps the membership of the entry VMs and spreads notices
// among them. Each member probes one member a second, directly and then
// through two others, suspects it when all probes fail and declares it dead
// when the suspicion is not refuted in time. Changes travel on the messages
// that are sent anyway, each a bounded number of times and a bounded number in
// a message, so that the cost of a member does not depend on their number.
//
// Membership guides choices only, such as which VM to ask. It never decides
// who owns something.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/timeline"
)

// CallFunc calls a method of the peer at an address and fills reply.
type CallFunc func(ctx context.Context, address, method string, args, reply any) error

// Config configures a List. Start from DefaultLANConfig or DefaultTestConfig and set Self
// and Call.
type Config struct {
	// Self describes this process. Incarnation must rise with each process at
	// the same address, because a record with a lower one is taken for old.
	// Zero means the present time in nanoseconds.
	Self protocol.Member
	// Call reaches a peer.
	Call CallFunc
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Clock stamps messages for the time line; nil means a new one on Now.
	Clock *timeline.Clock
	// Rand chooses members. Only the List may use it. Nil means a random seed.
	Rand *rand.Rand
	// Logger receives events; nil drops them.
	Logger *eventlog.Logger
	// Removed is called, without a lock, when a member is forgotten or replaced
	// by a new process, so that connections to it can be closed. It may be nil.
	OnRemoved func(address string)

	// ProbeInterval is the time between two probes of this member. A shorter
	// time detects failures sooner and costs more traffic.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe; an indirect probe may take twice as
	// long. It must exceed the round trip between the farthest regions.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time in which a suspected member can refute. A
	// longer time makes false declarations rarer and keeps dead members for
	// longer.
	SuspectTimeout time.Duration
	// GossipInterval is the time between two messages of this member while it
	// has changes to pass on. It sets the speed at which changes spread.
	GossipInterval time.Duration
	// ReconnectInterval is the time between two attempts to reach a dead member
	// or an unknown seed, which heals the membership after a partition.
	ReconnectInterval time.Duration
	// DeadRetention is the time for which a dead member is remembered and tried
	// again. It should exceed the longest partition.
	DeadRetention time.Duration
	// LeftRetention is the time for which a member that left is remembered. It
	// must exceed the time that an old record of it may still travel.
	LeftRetention time.Duration
	// RetransmitFactor multiplies the number of times a change is passed on,
	// which grows with the logarithm of the number of members. A higher factor
	// tolerates more lost messages and costs traffic at each change.
	RetransmitFactor int
	// MaxMembersPerMessage bounds the changed members in a message.
	MaxMembersPerMessage int
	// MaxNoticesPerMessage bounds the notices in a message.
	MaxNoticesPerMessage int
	// RefreshPerMessage is the number of random unchanged members in a message
	// without changes. They repair what a member missed and spread free slots.
	RefreshPerMessage int
	// Partners is the number of random members that this member probes in
	// turn. It bounds the number of open connections. More partners mix faster.
	Partners int
	// PartnerLifetime is the time between two replacements of a partner by
	// another random member. Each new connection carries the type descriptions
	// of gob again.
	PartnerLifetime time.Duration
	// IndirectProbes is the number of members asked to probe a member that did
	// not answer.
	IndirectProbes int
	// NoticeFanout is the number of members to which a notice is pushed at
	// once.
	NoticeFanout int
	// NoticeTimeout bounds the wait for acknowledgments of a notice.
	NoticeTimeout time.Duration
	// MaxNotices bounds the notices kept in memory; the oldest is dropped.
	MaxNotices int
}

// DefaultLANConfig returns the profile for regions that are up to some tens of
// milliseconds apart.
func DefaultLANConfig() Config {
	return Config{
		ProbeInterval:        time.Second,
		ProbeTimeout:         500 * time.Millisecond,
		SuspectTimeout:       5 * time.Second,
		GossipInterval:       200 * time.Millisecond,
		ReconnectInterval:    10 * time.Second,
		DeadRetention:        2 * time.Hour,
		LeftRetention:        5 * time.Minute,
		RetransmitFactor:     2,
		MaxMembersPerMessage: 8,
		MaxNoticesPerMessage: 16,
		RefreshPerMessage:    1,
		Partners:             16,
		PartnerLifetime:      2 * time.Minute,
		IndirectProbes:       2,
		NoticeFanout:         3,
		NoticeTimeout:        time.Second,
		MaxNotices:           4096,
	}
}

// DefaultTestConfig returns a profile with times a tenth of DefaultLANConfig, for tests
// with real processes on one machine.
func DefaultTestConfig() Config {
	c := DefaultLANConfig()
	c.ProbeInterval /= 10
	c.ProbeTimeout /= 2
	c.SuspectTimeout /= 10
	c.GossipInterval /= 10
	c.ReconnectInterval /= 10
	c.PartnerLifetime /= 10
	return c
}

// withDefaults fills the zero fields from DefaultLANConfig.
func (c Config) withDefaults() Config {
	d := DefaultLANConfig()
	for _, field := range []struct{ value, standard *time.Duration }{
		{&c.ProbeInterval, &d.ProbeInterval},
		{&c.ProbeTimeout, &d.ProbeTimeout},
		{&c.SuspectTimeout, &d.SuspectTimeout},
		{&c.GossipInterval, &d.GossipInterval},
		{&c.ReconnectInterval, &d.ReconnectInterval},
		{&c.DeadRetention, &d.DeadRetention},
		{&c.LeftRetention, &d.LeftRetention},
		{&c.PartnerLifetime, &d.PartnerLifetime},
		{&c.NoticeTimeout, &d.NoticeTimeout},
	} {
		if *field.value == 0 {
			*field.value = *field.standard
		}
	}
	for _, field := range []struct{ value, standard *int }{
		{&c.RetransmitFactor, &d.RetransmitFactor},
		{&c.MaxMembersPerMessage, &d.MaxMembersPerMessage},
		{&c.MaxNoticesPerMessage, &d.MaxNoticesPerMessage},
		{&c.RefreshPerMessage, &d.RefreshPerMessage},
		{&c.Partners, &d.Partners},
		{&c.IndirectProbes, &d.IndirectProbes},
		{&c.NoticeFanout, &d.NoticeFanout},
		{&c.MaxNotices, &d.MaxNotices},
	} {
		if *field.value == 0 {
			*field.value = *field.standard
		}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Clock == nil {
		c.Clock = timeline.NewClock(c.Now)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(c.Now().UnixNano())
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.Self.PeerAddress == "":
		return errors.New("membership needs the peer address of this process; set Config.Self.PeerAddress")
	case c.Call == nil:
		return errors.New("membership needs a way to reach peers; set Config.Call")
	}
	return nil
}
