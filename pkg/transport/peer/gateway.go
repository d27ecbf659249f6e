package peer

import (
	"context"
	"net"
	"net/rpc"

	"hickoryroute/pkg/protocol"
)

// GatewayHandler handles the calls of other gateways.
type GatewayHandler interface {
	Loads(ctx context.Context, req *protocol.LoadsRequest, reply *protocol.LoadsReply) error
	Copy(ctx context.Context, req *protocol.CopyRequest, reply *protocol.CopyReply) error
	Quota(ctx context.Context, req *protocol.QuotaRequest, reply *protocol.QuotaReply) error
}

// ServeGateway accepts connections of other gateways until the listener fails
// or the server is closed. It returns ErrClosed after Close.
func (s *Server) ServeGateway(listener net.Listener, handler GatewayHandler) error {
	return s.acceptConnections(listener, func(server *rpc.Server, ctx context.Context, _ connectionClock) error {
		return server.RegisterName("Gateway", &gatewayService{ctx: ctx, server: s, handler: handler})
	})
}

// gatewayService is the receiver that net/rpc calls for one connection.
type gatewayService struct {
	ctx     context.Context
	server  *Server
	handler GatewayHandler
}

// Loads passes the call to the handler.
func (s *gatewayService) Loads(req *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	return run(s.ctx, s.server, s.handler.Loads, req, reply)
}

// Copy passes the call to the handler.
func (s *gatewayService) Copy(req *protocol.CopyRequest, reply *protocol.CopyReply) error {
	return run(s.ctx, s.server, s.handler.Copy, req, reply)
}

// Quota passes the call to the handler.
func (s *gatewayService) Quota(req *protocol.QuotaRequest, reply *protocol.QuotaReply) error {
	return run(s.ctx, s.server, s.handler.Quota, req, reply)
}
