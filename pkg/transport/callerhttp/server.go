package callerhttp

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/netutil"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
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

	// headerSlackBytes is the part of the head limit of net/http above
	// MaxHeaderBytes. A head in between gets a problem document.
	headerSlackBytes = 32 << 10
	// writeGrace is the time after the deadline for the rest of an answer.
	writeGrace = 2 * time.Second
	// maxResponseTime bounds responses that do not depend on a target.
	maxResponseTime = protocol.MaxDeadlineMs*time.Millisecond + writeGrace
	// maxListedRequests limits the request ids in one log event.
	maxListedRequests = 50
)

// Config holds the settings of a Server.
type Config struct {
	Lookup       LookupService
	Tickets      TicketIssuer
	Router       Router
	Log          *eventlog.Logger
	Metrics      *metrics.Set  // nil makes a private set
	NewRequestID func() string // makes request ids; nil makes random ones
	// IsKnownService tells which names may become labels of metrics, so that
	// callers cannot create series. Nil accepts all names that are not answered
	// with unknown_service.
	IsKnownService func(service string) bool

	// MaxHeaderBytes limits the request line and headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes limits request bodies, which are kept in memory.
	MaxBodyBytes int64
	// MaxConns limits open connections. Further ones wait in the listen queue.
	MaxConns int
	// MaxInFlight limits requests in progress. Further ones are refused as
	// not_run. It bounds memory together with MaxBodyBytes.
	MaxInFlight int
	// HeaderTimeout bounds the arrival of a head.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the arrival of a body; the deadline of the request
	// applies as well.
	BodyTimeout time.Duration
	// IdleTimeout closes connections without requests.
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

func setDefault[T int | int64 | time.Duration](value *T, preset T) {
	if *value <= 0 {
		*value = preset
	}
}

// Server serves callers.
type Server struct {
	cfg     Config
	http    *http.Server
	leaving atomic.Bool
	active  tracker

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
	}
	return s
}

// Serve accepts connections from l until Shutdown or Close. It returns nil
// after a shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(netutil.LimitListener(l, s.cfg.MaxConns))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SetLeaving marks all further answers with Hickory-Entry-Leaving and asks
// callers to close their connections after the answer. Requests are served as
// before.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Leaving reports whether SetLeaving was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Shutdown marks answers as leaving and accepts and serves requests until a
// moment without any in flight. Then it closes the listener and waits for the
// requests that arrived meanwhile. If ctx ends first, the requests in flight
// are interrupted and logged, and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetLeaving()
	_ = s.active.wait(ctx) // the end of ctx is handled by http.Server.Shutdown
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.Close()
	return err
}

// Close ends the server at once and logs the interrupted requests.
func (s *Server) Close() {
	s.SetLeaving()
	if ids := s.active.list(); len(ids) > 0 {
		s.cfg.Log.Log(eventInterrupted, eventlog.Fields{
			"requests": len(ids), "request_ids": ids[:min(len(ids), maxListedRequests)],
		})
	}
	_ = s.http.Close()
}

// InFlight returns the ids of the requests in progress.
func (s *Server) InFlight() []string { return s.active.list() }
