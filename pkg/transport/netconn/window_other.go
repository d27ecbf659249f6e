//go:build !linux

package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

var errUnsupported = errors.New("this system does not tell what the peer has acknowledged")

func readDelivery(syscall.Conn) (delivery, error) { return delivery{}, errUnsupported }

func setUserTimeout(syscall.Conn, time.Duration) error { return errUnsupported }

// setUserTimeoutOf does nothing: keep-alive probes alone detect silent peers.
func setUserTimeoutOf(int, time.Duration) error { return nil }

func peerHasClosed(net.Conn) bool { return false }
