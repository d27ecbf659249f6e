// Package entry wires one entry VM: membership, seats, settings, steering and
// the interfaces to callers, peers and operators.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/platform"
	"hickoryroute/pkg/transport/tlsfiles"
)

// Config holds the process settings and the collaborators of an entry VM.
type Config struct {
	// Region and Zone are the place of this VM; the tree must list them.
	Region, Zone string
	// CallerAddress, PeerAddress and OperatorAddress are listening addresses,
	// as IP number and port. PeerAddress identifies the VM.
	CallerAddress, PeerAddress, OperatorAddress string
	// MetricsAddress serves metrics and health alone; empty means only the
	// operator port does.
	MetricsAddress string
	// Store and VMList reach the platform.
	Store  platform.Store
	VMList platform.VMList
	// Peers are peer addresses tried at start besides those in the VM list.
	Peers []string
	// SeatCount is the number of seats of this region. It must be the same on
	// all VMs of the region and at least their number.
	SeatCount int
	// PeerKey is shared by all entry VMs; empty accepts any peer.
	PeerKey string
	// OperatorTokens are the tokens of the operators; empty accepts anyone.
	OperatorTokens operatorhttp.Tokens
	// CallerTLS and OperatorTLS enable TLS on these ports; nil means plain HTTP.
	CallerTLS, OperatorTLS *tls.Config
	// MetricsTLS enables TLS on the metrics port; nil means plain HTTP.
	MetricsTLS *tls.Config
	// PeerTLS enables mutual TLS between entry VMs; nil means plain TCP.
	PeerTLS *tlsfiles.MutualTLS
	// Dial opens connections to targets; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens connections to other entry VMs; nil means TCP.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// Log receives the log events; nil drops them.
	Log logrus.FieldLogger
	// Timing holds intervals; the zero value means DefaultTiming.
	Timing Timing
}

// Timing holds the intervals of background work.
type Timing struct {
	// ProbeTargets is the time between health probes of an owned target. A
	// shorter time finds failures sooner and costs two requests each.
	ProbeTargets time.Duration
	// ReadVMList is the time between reads of the VM list. A shorter time finds
	// leaving targets sooner and costs one platform call each.
	ReadVMList time.Duration
	// ProbePeers is the time between membership probes.
	ProbePeers time.Duration
	// SuspectPeers is the time until a silent member counts as dead.
	SuspectPeers time.Duration
	// BootRetry is the time between attempts to find the first settings.
	BootRetry time.Duration
}

// DefaultTiming returns the intervals for a fleet of today's size.
func DefaultTiming() Timing {
	return Timing{
		ProbeTargets: 500 * time.Millisecond,
		ReadVMList:   5 * time.Second,
		ProbePeers:   time.Second,
		SuspectPeers: 5 * time.Second,
		BootRetry:    500 * time.Millisecond,
	}
}

func (t Timing) withDefaults() Timing {
	if t == (Timing{}) {
		return DefaultTiming()
	}
	return t
}

// peerDialer returns the function that connects to other entry VMs.
func (c Config) peerDialer() func(context.Context, string) (net.Conn, error) {
	if c.PeerTLS == nil {
		return c.DialPeer
	}
	dial := c.DialPeer
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return c.PeerTLS.Dial(ctx, address, dial)
	}
}
