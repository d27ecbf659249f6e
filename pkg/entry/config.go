// Package entry assembles an entry VM: membership, seats, settings, steering
// and the interfaces to callers, peers and operators.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/peer"
	"hickoryroute/pkg/transport/platform"
	"hickoryroute/pkg/transport/tlsfiles"
)

// Config holds the process settings and the dependencies of an entry VM.
type Config struct {
	// Region and Zone locate this VM; the settings tree must list them.
	Region, Zone string
	// CallerAddress, PeerAddress and OperatorAddress are listen addresses, as
	// IP address and port. PeerAddress identifies the VM.
	CallerAddress, PeerAddress, OperatorAddress string
	// MetricsAddress is the listen address of a port that serves only metrics
	// and health; if it is empty, only the operator port serves them.
	MetricsAddress string
	// Store and VMList give access to the platform.
	Store  platform.Store
	VMList platform.VMList
	// Peers are the peer addresses of entry VMs that this VM contacts at start,
	// besides those in the VM list.
	Peers []string
	// SeatCount is the number of seats of this region. It must be the same on
	// all VMs of the region and at least the number of these VMs.
	SeatCount int
	// PeerKey is the secret shared by all entry VMs; if it is empty, any peer
	// is accepted.
	PeerKey string
	// OperatorTokens are the tokens of the operators; if there are none, any
	// operator is accepted.
	OperatorTokens operatorhttp.Tokens
	// CallerTLS and OperatorTLS enable TLS on the caller and operator ports; nil
	// means plain HTTP.
	CallerTLS, OperatorTLS *tls.Config
	// MetricsTLS enables TLS on the metrics port; nil means plain HTTP.
	MetricsTLS *tls.Config
	// PeerTLS enables mutual TLS between entry VMs; nil means plain TCP.
	PeerTLS *tlsfiles.MutualTLS
	// Dial opens connections to targets; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens connections to other entry VMs; nil means TCP.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// Log receives the log events; if it is nil, they are dropped.
	Log logrus.FieldLogger
	// Timing holds the intervals of background work; the zero value means
	// DefaultTiming.
	Timing Timing
}

// Timing holds the intervals of background work.
type Timing struct {
	// TargetProbeInterval is the time between health probes of an owned target.
	// A shorter interval detects failures sooner; each probe costs two requests.
	TargetProbeInterval time.Duration
	// VMListInterval is the time between reads of the VM list. A shorter
	// interval detects leaving targets sooner; each read costs one platform
	// call.
	VMListInterval time.Duration
	// MemberProbeInterval is the time between membership probes.
	MemberProbeInterval time.Duration
	// SuspicionTimeout is the time after which a suspected member is declared
	// dead.
	SuspicionTimeout time.Duration
	// BootstrapRetryInterval is the time between attempts to fetch the first
	// settings.
	BootstrapRetryInterval time.Duration
}

// DefaultTiming returns the intervals that hickoryd uses.
func DefaultTiming() Timing {
	return Timing{
		TargetProbeInterval:    500 * time.Millisecond,
		VMListInterval:         5 * time.Second,
		MemberProbeInterval:    time.Second,
		SuspicionTimeout:       5 * time.Second,
		BootstrapRetryInterval: 500 * time.Millisecond,
	}
}

func (t Timing) withDefaults() Timing {
	if t == (Timing{}) {
		return DefaultTiming()
	}
	return t
}

// peerDialer returns the function that connects to other entry VMs. With
// PeerTLS it opens a TLS connection.
func (c Config) peerDialer() func(context.Context, string) (net.Conn, error) {
	if c.PeerTLS == nil {
		return c.DialPeer
	}
	dial := c.DialPeer
	if dial == nil {
		dial = peer.Dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return c.PeerTLS.Dial(ctx, address, dial)
	}
}
