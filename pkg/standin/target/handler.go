package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
)

// ResponseDocument is the body of an ordinary response.
type ResponseDocument struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Ticket    string `json:"ticket,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Run       int    `json:"run,omitempty"` // number of this run for the ticket
	BodyBytes int    `json:"body_bytes"`
	Pad       string `json:"pad,omitempty"`
}

// RunsDocument is the body of GET /control/runs.
type RunsDocument struct {
	Runs   map[string]int `json:"runs"`
	Counts Counts         `json:"counts"`
}

// response is a complete response, ready to be sent.
type response struct {
	requestID string
	ticket    string
	body      []byte
}

// Handler returns the HTTP interface. Requests to any path but those below are
// run. The query parameter work_ms fixes the service time of a request and
// bytes sets the padding of its response.
//
//	GET  /healthz           {"state": State}
//	GET  /load              Load, delayed by Config.LoadLag
//	GET  /control/runs      RunsDocument
//	GET  /control/load      Load without delay
//	GET  /control/switches  Faults
//	POST /control/switches  changes the given fields of Faults
//	POST /control/crash     crashes the target
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.serveProbe(func() any { return map[string]State{"state": s.State()} }))
	r.Get("/load", s.serveProbe(func() any { return s.reportedLoad() }))
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, RunsDocument{Runs: s.Runs(), Counts: s.Counts()})
	})
	r.Get("/control/load", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, s.Load())
	})
	r.Get("/control/switches", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, s.Faults())
	})
	r.Post("/control/switches", s.serveFaults)
	r.Post("/control/crash", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, struct{}{})
		s.Crash()
	})
	r.NotFound(s.serveRequest)
	r.MethodNotAllowed(s.serveRequest)
	return r
}

// serveProbe answers health checks and load calls unless the target is down or
// Faults.HangProbes is set.
func (s *Server) serveProbe(body func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.cfg.Clock.Now().Before(s.downUntil)
		hang := s.faults.HangProbes
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if hang {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.writeJSON(w, http.StatusOK, body())
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	next := s.Faults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		s.writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.UpdateFaults(func(current *Faults) { *current = next })
	s.writeJSON(w, http.StatusOK, next)
}

// serveRequest runs one request.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	// The body is read first because net/http detects a closed connection only
	// after the body has been read.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	ctx, cancel, err := s.requestContext(r)
	if err != nil {
		s.writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	defer cancel()
	crashed, err := s.acquire(ctx)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer s.release()
	s.run(ctx, w, r, body, crashed)
}

// requestContext returns a context that ends when the connection closes or the
// deadline of the request passes.
func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	header := r.Header.Get(protocol.HeaderDeadlineMs)
	if header == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 0 {
		return nil, nil, errors.Errorf("%s must be a number of milliseconds", protocol.HeaderDeadlineMs)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	deadlinePassed := s.cfg.Clock.After(time.Duration(ms) * time.Millisecond)
	go func() {
		select {
		case <-deadlinePassed:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }, nil
}

// refuse sends the response to a request that did not run.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
	s.updateCounts(func(c *Counts) { c.Shed++ })
	w.Header().Set(protocol.HeaderNotRun, "true")
	s.writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "not run: " + err.Error()})
}

// run executes a request that holds a slot and sends its response.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, crashed <-chan struct{}) {
	ticket := r.Header.Get(protocol.HeaderTicket)
	work, run := s.startRun(ticket, queryMilliseconds(r, "work_ms"))
	if s.isCrashingRequest(r, body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-s.cfg.Clock.After(work):
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		s.writeInterrupted(ctx, w)
		return
	}
	s.updateCounts(func(c *Counts) { c.Answered++ })
	s.sendResponse(w, s.newResponse(r, body, ticket, run))
}

func (s *Server) isCrashingRequest(r *http.Request, body []byte) bool {
	marker := s.cfg.CrashMarker
	return marker != "" && (strings.Contains(r.URL.String(), marker) || bytes.Contains(body, []byte(marker)))
}

// writeInterrupted ends a request whose deadline passed or whose connection
// closed while it ran.
func (s *Server) writeInterrupted(ctx context.Context, w http.ResponseWriter) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		s.updateCounts(func(c *Counts) { c.Expired++ })
		s.writeJSON(w, http.StatusGatewayTimeout, map[string]string{"error": "the deadline passed while the request ran"})
		return
	}
	s.updateCounts(func(c *Counts) { c.Cancelled++ })
	panic(http.ErrAbortHandler)
}

func (s *Server) newResponse(r *http.Request, body []byte, ticket string, run int) *response {
	id := r.Header.Get(protocol.HeaderRequestID)
	pad, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	data, err := json.Marshal(ResponseDocument{
		Target:    s.cfg.Name,
		RequestID: id,
		Ticket:    ticket,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Run:       run,
		BodyBytes: len(body),
		Pad:       strings.Repeat("x", min(max(pad, 0), maxPaddingBytes)),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &response{requestID: id, ticket: ticket, body: data}
}

// sendResponse writes a response, altered by the faults in force.
func (s *Server) sendResponse(w http.ResponseWriter, resp *response) {
	s.mu.Lock()
	faults, previous := s.faults, s.previous
	s.previous = resp
	s.mu.Unlock()
	if faults.SendPrevious && previous != nil {
		resp = previous
	}
	header := w.Header()
	header.Set(protocol.HeaderRequestID, resp.requestID)
	if resp.ticket != "" {
		header.Set(protocol.HeaderTicket, resp.ticket)
	}
	if faults.Draining {
		header.Set(protocol.HeaderDraining, "true")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if !faults.Truncate {
		_, _ = w.Write(resp.body)
		return
	}
	_, _ = w.Write(resp.body[:len(resp.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) updateCounts(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	if s.Faults().Draining {
		w.Header().Set(protocol.HeaderDraining, "true")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// queryMilliseconds reads a duration from the query. It returns zero if the
// duration is missing or invalid.
func queryMilliseconds(r *http.Request, name string) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
