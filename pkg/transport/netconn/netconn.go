// Package netconn opens TCP connections that detect an unresponsive peer, such as
// one that has lost power or is behind a network partition.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the time after which a connection is closed if sent bytes
	// are not acknowledged. It exceeds several round trips between regions,
	// including retransmissions.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect unresponsive peers of idle
	// connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer opens connections.
type Dialer struct {
	// Timeout bounds the time to open a connection.
	Timeout time.Duration
}

// Dial opens a connection. network must be "tcp".
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         d.Timeout,
		Control:         setUserTimeout,
		KeepAliveConfig: keepAliveConfig(),
	}
	return dialer.DialContext(ctx, network, address)
}

// ListenConfig returns a net.ListenConfig whose accepted connections detect
// unresponsive callers.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// DialTCP opens a TCP connection.
func (d Dialer) DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return d.Dial(ctx, "tcp", address)
}
