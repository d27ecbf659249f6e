// Package member implements a SWIM-like membership protocol for the entry VMs
// and spreads notices among them. Each member probes one member a second,
// directly and then through two others, suspects it when all probes fail and
// declares it dead when the suspicion is not refuted in time. Changes are
// piggybacked on probes and their replies. The number of transmissions of a
// change and of changes in a message is bounded, so that the traffic of a
// member hardly depends on the number of members.
//
// The membership only guides choices, such as which VM to ask. It never
// decides ownership.
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

// CallFunc calls a method of the peer at address and fills reply.
type CallFunc func(ctx context.Context, address, method string, args, reply any) error

// Config configures a List. Start from DefaultLANConfig and set Self and Call.
type Config struct {
	// Self is the record of this process. Each process at the same address
	// needs a higher Incarnation than the one before, because a record with a
	// lower one is ignored as outdated. Zero means the current time in
	// nanoseconds.
	Self protocol.Member
	// Call sends a request to a peer.
	Call CallFunc
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Clock supplies the timestamps of messages for the timeline; nil means a
	// new one based on Now.
	Clock *timeline.Clock
	// Rand chooses random members. Only the List may use it. Nil means a new
	// generator with a random seed.
	Rand *rand.Rand
	// Logger receives events; nil discards them.
	Logger *eventlog.Logger
	// OnRemoved is called, without a lock held, when a member is removed from
	// the list or replaced by a new process, so that connections to it can be
	// closed. It may be nil.
	OnRemoved func(address string)

	// ProbeInterval is the time between two probes sent by this member. A
	// shorter interval detects failures sooner and costs more traffic.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe; an indirect probe may take twice as
	// long. It must exceed the round trip between the farthest regions.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time in which a suspected member can refute the
	// suspicion. A longer time makes false detections rarer and real failures
	// slower to detect.
	SuspectTimeout time.Duration
	// GossipInterval is the time between two gossip messages of this member
	// while it has changes to pass on. It determines how fast changes spread.
	GossipInterval time.Duration
	// ReconnectInterval is the time between two attempts to reach a dead member
	// or an unknown seed, which heals the membership after a partition.
	ReconnectInterval time.Duration
	// DeadRetention is the time for which a dead member stays in the list and
	// is contacted again. It should exceed the longest partition.
	DeadRetention time.Duration
	// LeftRetention is the time for which a member that left stays in the list.
	// It must exceed the time for which old records of it may still be in
	// transit.
	LeftRetention time.Duration
	// RetransmitFactor multiplies the number of times a change is passed on,
	// which grows with the logarithm of the number of members. A higher factor
	// tolerates more lost messages and costs more traffic for each change.
	RetransmitFactor int
	// MaxMembersPerMessage bounds the changed members in a message.
	MaxMembersPerMessage int
	// MaxNoticesPerMessage bounds the notices in a message.
	MaxNoticesPerMessage int
	// RefreshPerMessage is the number of random unchanged records in a message
	// without changes. They repair missed changes and spread free slots.
	RefreshPerMessage int
	// Partners is the number of random members that this member probes in
	// turn. It bounds the number of open connections. With more partners,
	// changes spread faster.
	Partners int
	// PartnerLifetime is the time between two replacements of a partner by
	// another random member. A shorter time costs traffic, because each new
	// connection transmits the gob type descriptions again.
	PartnerLifetime time.Duration
	// IndirectProbes is the number of members that are asked to probe a member
	// that did not answer a direct probe.
	IndirectProbes int
	// NoticeFanout is the number of members to which a new notice is pushed
	// immediately.
	NoticeFanout int
	// NoticeTimeout bounds the wait for acknowledgments of a notice.
	NoticeTimeout time.Duration
	// MaxNotices bounds the notices kept in memory; beyond it, the oldest is
	// dropped.
	MaxNotices int
}

// DefaultLANConfig returns the configuration for regions that are up to some
// tens of milliseconds apart.
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

// withDefaults fills the zero fields from DefaultLANConfig.
func (c Config) withDefaults() Config {
	d := DefaultLANConfig()
	for _, field := range []struct{ value, defaultValue *time.Duration }{
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
			*field.value = *field.defaultValue
		}
	}
	for _, field := range []struct{ value, defaultValue *int }{
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
			*field.value = *field.defaultValue
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

func (c Config) validate() error {
	switch {
	case c.Self.PeerAddress == "":
		return errors.New("membership: the peer address of this process is missing; set Config.Self.PeerAddress")
	case c.Call == nil:
		return errors.New("membership: the function that calls peers is missing; set Config.Call")
	}
	return nil
}
