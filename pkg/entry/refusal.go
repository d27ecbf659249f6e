package entry

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
)

// refusesConnections reports whether a target in the region of this VM refuses
// connections. Other targets are not asked: a connection to them would have to be charged
// to the link between the regions.
func (v *VM) refusesConnections(ctx context.Context, target protocol.TargetRef) bool {
	if target.Region != v.cfg.Region {
		return false
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
