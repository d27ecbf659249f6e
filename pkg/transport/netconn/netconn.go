// Package netconn opens TCP connections that detect an unresponsive peer, such as
// one that has lost power or is behind a network partition.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"
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

// Dialer opens connections that are reset when they are closed (ResetOnClose).
type Dialer struct {
	// Timeout bounds the time to open a connection.
	Timeout time.Duration
}

// Dial opens a TCP connection. It has the type of http.Transport.DialContext.
func (d Dialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:         d.Timeout,
		Control:         controlNewSocket,
		KeepAliveConfig: keepAliveConfig(),
	}
	c, err := DialWithReset(ctx, dialer, address)
	if err != nil {
		return nil, err
	}
	return watch(c), nil
}

// Listen opens a listener whose connections detect unresponsive callers. network
// must be "tcp".
func Listen(ctx context.Context, network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: controlNewSocket, KeepAliveConfig: keepAliveConfig()}
	l, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return watchingListener{l.(*net.TCPListener)}, nil
}

// watchingListener returns connections whose windows are watched.
type watchingListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l watchingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return watch(c), nil
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

func controlNewSocket(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = setUserTimeoutOf(int(fd), userTimeout) })
	if err != nil {
		return err
	}
	return optionErr
}

// DialTCP opens a TCP connection.
func (d Dialer) DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return d.Dial(ctx, "tcp", address)
}
