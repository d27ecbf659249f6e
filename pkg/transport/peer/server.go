package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// Events of the server.
var (
	eventRefused = eventlog.Define(1101, "peer_connection_refused", logrus.WarnLevel,
		"A peer connection failed the handshake or exceeded the limit. Check the shared key and the number of VMs.")
	eventCallPanic = eventlog.Define(1102, "peer_call_panic", logrus.ErrorLevel,
		"The handler of a peer call failed unexpectedly. The call got an error and the process goes on. Report the stack as a defect.")
)

const (
	// DefaultMaxConnections suffices for 700 VMs with spare connections for
	// reconnects.
	DefaultMaxConnections = 2048
	// DefaultIdleTimeout exceeds the longest deadline of a request, so that a
	// connection with a running call is not closed as idle.
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultHandshakeTimeout bounds the handshake.
	DefaultHandshakeTimeout = 2 * time.Second
	// DefaultWriteTimeout bounds one write to a peer that does not read.
	DefaultWriteTimeout = 5 * time.Second

	// acceptRetryDelay is the wait after a failed accept, for example when no
	// file descriptors are left.
	acceptRetryDelay = 50 * time.Millisecond
)

// ServerConfig configures a Server. Zero fields mean the defaults.
type ServerConfig struct {
	// Key is the shared key; empty means that none is required.
	Key []byte
	// MaxConnections limits open connections; further ones are closed
	// immediately.
	MaxConnections int
	// IdleTimeout is the time after which a connection that received nothing is
	// closed. It must exceed the longest call.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds the handshake of a connection.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds each write of a reply. With a longer timeout, replies
	// to a slow peer stay in memory for longer.
	WriteTimeout time.Duration
	// Logger receives events; nil drops them.
	Logger *eventlog.Logger
}

// Server accepts connections of peers and serves their calls.
type Server struct {
	cfg    ServerConfig
	ctx    context.Context // ends when Close stops waiting for running calls
	cancel context.CancelFunc

	mu           sync.Mutex
	listeners    map[net.Listener]bool
	conns        map[net.Conn]bool
	runningCalls int
	closing      bool
	noCalls      chan struct{} // closed when closing and no call is running
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.HandshakeTimeout == 0 {
		cfg.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:       cfg,
		ctx:       ctx,
		cancel:    cancel,
		listeners: map[net.Listener]bool{},
		conns:     map[net.Conn]bool{},
		noCalls:   make(chan struct{}),
	}
}

// Serve accepts connections until the listener fails or the server is closed.
// It returns ErrClosed after Close.
func (s *Server) Serve(listener net.Listener, handler Handler) error {
	return s.acceptConnections(listener, func(server *rpc.Server, ctx context.Context, clock connectionClock) error {
		return server.RegisterName("Peer", &peerService{ctx: ctx, clock: clock, server: s, handler: handler})
	})
}

// registerFunc registers the net/rpc receiver for one connection. ctx ends with
// the connection.
type registerFunc func(server *rpc.Server, ctx context.Context, clock connectionClock) error

// acceptConnections accepts connections and serves each with the receiver that
// register adds.
func (s *Server) acceptConnections(listener net.Listener, register registerFunc) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return ErrClosed
	}
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(conn, register)
		case s.stopping():
			return ErrClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[listener] = true
	return true
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// accept starts to serve conn, or closes it if there are too many connections or
// the server is stopping.
func (s *Server) accept(conn net.Conn, register registerFunc) {
	s.mu.Lock()
	full := len(s.conns) >= s.cfg.MaxConnections
	refused := full || s.closing
	if !refused {
		s.conns[conn] = true
	}
	s.mu.Unlock()
	if !refused {
		go s.serve(conn, register)
		return
	}
	_ = conn.Close()
	if full {
		s.logRefused(conn, errors.New("too many connections"))
	}
}

func (s *Server) logRefused(conn net.Conn, err error) {
	s.cfg.Logger.Log(eventRefused, eventlog.Fields{"peer": conn.RemoteAddr().String(), "error": err.Error()})
}

// serve serves the calls of one connection until it ends.
func (s *Server) serve(raw net.Conn, register registerFunc) {
	defer func() {
		_ = raw.Close()
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
	}()
	conn := &meteredConn{Conn: raw}
	clock, err := timedHandshake(conn, s.cfg.Key, s.cfg.HandshakeTimeout)
	if err != nil {
		s.logRefused(raw, err)
		return
	}
	conn.readTimeout, conn.writeTimeout = s.cfg.IdleTimeout, s.cfg.WriteTimeout
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	server := rpc.NewServer()
	if err := register(server, ctx, clock); err != nil {
		s.logRefused(raw, err)
		return
	}
	server.ServeCodec(&cancelCodec{serverCodec: newServerCodec(conn, s.callStarted, s.callEnded), cancel: cancel})
}

// cancelCodec cancels the context of the connection when no more requests can be
// read. Otherwise net/rpc would wait for all running calls, whose context would
// not end.
type cancelCodec struct {
	*serverCodec
	cancel context.CancelFunc
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *cancelCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.serverCodec.ReadRequestHeader(r)
	if err != nil {
		c.cancel()
	}
	return err
}

func (s *Server) callStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls++
}

func (s *Server) callEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls--
	if s.closing && s.runningCalls == 0 {
		s.signalNoCalls()
	}
}

// signalNoCalls signals Close that no call is running. The caller holds the
// lock.
func (s *Server) signalNoCalls() {
	select {
	case <-s.noCalls:
	default:
		close(s.noCalls)
	}
}

// Close stops accepting connections, refuses new calls, waits for running
// calls and their replies until ctx ends, and closes all connections. It
// returns the error of ctx if calls were still running.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	if s.runningCalls == 0 {
		s.signalNoCalls()
	}
	s.mu.Unlock()
	var err error
	select {
	case <-s.noCalls:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "peer calls were still running")
	}
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}

// peerService is the net/rpc receiver of one connection.
type peerService struct {
	ctx     context.Context
	clock   connectionClock
	server  *Server
	handler Handler
}

// run calls method, or returns errStopping if the server is stopping. A panic of
// the handler becomes an error: net/rpc would let it end the process.
func run[Q, R any](ctx context.Context, s *Server, method func(context.Context, *Q, *R) error, req *Q, reply *R) (err error) {
	if s.stopping() {
		return errStopping
	}
	defer func() {
		if p := recover(); p != nil {
			s.cfg.Logger.Log(eventCallPanic, eventlog.Fields{"call": fmt.Sprintf("%T", req), "panic": fmt.Sprint(p), "stack": string(debug.Stack())})
			err = errCallPanic
		}
	}()
	return method(ctx, req, reply)
}

// Exchange passes the call to the handler.
func (s *peerService) Exchange(req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	return run(s.ctx, s.server, s.handler.Exchange, req, reply)
}

// Notify passes the call to the handler.
func (s *peerService) Notify(req *protocol.NotifyRequest, reply *protocol.NotifyReply) error {
	return run(s.ctx, s.server, s.handler.Notify, req, reply)
}

// Reserve passes the call to the handler.
func (s *peerService) Reserve(req *protocol.ReserveRequest, reply *protocol.ReserveReply) error {
	return run(s.ctx, s.server, s.handler.Reserve, req, reply)
}

// Release passes the call to the handler.
func (s *peerService) Release(req *protocol.ReleaseRequest, reply *protocol.ReleaseReply) error {
	return run(s.ctx, s.server, s.handler.Release, req, reply)
}

// Execute passes the call to the handler, with the time that is left for it when it
// arrives: a request that was held up must not begin when its caller has given up.
func (s *peerService) Execute(req *protocol.ExecuteRequest, reply *protocol.ExecuteReply) error {
	s.clock.subtractDelay(req, readClock())
	return run(s.ctx, s.server, s.handler.Execute, req, reply)
}

// Borrow passes the call to the handler.
func (s *peerService) Borrow(req *protocol.BorrowRequest, reply *protocol.BorrowReply) error {
	return run(s.ctx, s.server, s.handler.Borrow, req, reply)
}

// Settings passes the call to the handler.
func (s *peerService) Settings(req *protocol.SettingsRequest, reply *protocol.SettingsReply) error {
	return run(s.ctx, s.server, s.handler.Settings, req, reply)
}
