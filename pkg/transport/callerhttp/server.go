package callerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/netconn"
)

// Defaults of Config.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = protocol.MaxTicketedBodyBytes
	DefaultMaxConns       = 4096
	DefaultMaxInFlight    = 2048
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 75 * time.Second

	// headerSlackBytes is added to MaxHeaderBytes for the head limit of net/http.
	// A head between the two limits is refused with a problem document.
	headerSlackBytes = 32 << 10
	// writeGrace is the time after the deadline for the rest of a response.
	writeGrace = 2 * time.Second
	// maxResponseTime bounds the time to respond to a request whose deadline is
	// not yet known.
	maxResponseTime = protocol.MaxDeadlineMs*time.Millisecond + writeGrace
	// openConnsCheckInterval is the time between two checks for open connections
	// during a planned stop.
	openConnsCheckInterval = 10 * time.Millisecond
	// maxListedRequests limits the request ids in one log event.
	maxListedRequests = 50
)

// Config holds the settings of a Server.
type Config struct {
	Lookup       LookupService
	Tickets      TicketIssuer
	Router       Router
	Log          *eventlog.Logger
	Metrics      *metrics.Set  // nil means a new set
	NewRequestID func() string // returns a request id; nil means random ids
	// IsKnownService reports whether a service name may be a label of metrics, so
	// that callers cannot create series. Nil accepts all names whose requests do
	// not fail with unknown_service.
	IsKnownService func(service string) bool

	// MaxHeaderBytes limits the request line and headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes limits request bodies, which are kept in memory.
	MaxBodyBytes int64
	// TLS secures the connections of callers; nil means that they are not
	// encrypted.
	TLS *tls.Config
	// MaxConns limits open connections. Further ones wait in the listen queue.
	MaxConns int
	// MaxInFlight limits requests in progress. Further ones are refused with
	// outcome not_run. Together with MaxBodyBytes it limits the memory used.
	MaxInFlight int
	// HeaderTimeout bounds the time to read the head of a request.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to read the body of a request; the deadline of
	// the request applies as well.
	BodyTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&c.BodyTimeout, DefaultBodyTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.NewRequestID == nil {
		c.NewRequestID = randomID
	}
	return c
}

func setDefault[T int | int64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Server serves the HTTP requests of callers.
type Server struct {
	cfg      Config
	http     *http.Server
	listener atomic.Pointer[netconn.GracefulListener] // nil before Serve
	leaving  atomic.Bool
	stopEnd  atomic.Pointer[time.Time] // when Shutdown interrupts requests; nil if it does not
	active   inFlightTracker

	instruments instruments
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg.withDefaults()}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes + headerSlackBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState:         s.trackState,
	}
	return s
}

// Serve accepts connections from l until Shutdown or Close. It returns nil
// after a shutdown.
func (s *Server) Serve(l net.Listener) error {
	graceful := netconn.NewGracefulListener(l, s.cfg.MaxConns, s.cfg.TLS)
	graceful.RegisterMetrics(s.cfg.Metrics)
	s.listener.Store(graceful)
	err := s.http.Serve(graceful)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && s.Leaving() {
		return nil
	}
	return err
}

func (s *Server) trackState(c net.Conn, state http.ConnState) {
	s.listener.Load().TrackState(c, state)
}

// SetLeaving marks all further responses with Hickory-Entry-Leaving and closes
// each connection after its next response. Requests are still served.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Leaving reports whether SetLeaving was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Shutdown calls SetLeaving and serves requests until none is in flight. Then it
// closes the listener and waits for requests that arrived in the meantime. If
// ctx ends first, Shutdown interrupts and logs the requests in flight and
// returns the error of ctx. Requests that arrive during Shutdown and whose
// deadline lies after that end are refused with outcome not_run.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetLeaving()
	if end, ok := ctx.Deadline(); ok {
		s.stopEnd.Store(&end)
	}
	err := s.active.waitIdle(ctx)
	for err == nil && s.stopAccepting() > 0 {
		if !wait.For(ctx, openConnsCheckInterval) {
			err = ctx.Err()
		}
	}
	s.Close()
	return err
}

// checkStop refuses a request that Shutdown may interrupt.
func (s *Server) checkStop(deadline time.Time) *protocol.Problem {
	if end := s.stopEnd.Load(); end == nil || !deadline.After(*end) {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, protocol.CodeStopping,
		"this entry VM is stopping and may end before the response", "use another entry VM of the lookup")
}

// stopAccepting returns the number of connections that are still open.
func (s *Server) stopAccepting() (open int) {
	if l := s.listener.Load(); l != nil {
		open = l.StopAccepting()
	}
	return open
}

// Close stops the server immediately and logs the interrupted requests.
func (s *Server) Close() {
	s.SetLeaving()
	if ids := s.active.requestIDs(); len(ids) > 0 {
		s.cfg.Log.Log(eventInterrupted, eventlog.Fields{
			"requests": len(ids), "request_ids": ids[:min(len(ids), maxListedRequests)],
		})
	}
	_ = s.http.Close()
}

// InFlight returns the ids of the requests in progress.
func (s *Server) InFlight() []string { return s.active.requestIDs() }
