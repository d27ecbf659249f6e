//go:build !linux

package netconn

import "net"

func readEnding(net.Conn) Ending { return Ending{} }
