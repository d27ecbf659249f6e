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

// answer is a response that is ready to be sent.
type answer struct {
	requestID string
	ticket    string
	body      []byte
}

// Handler returns the HTTP interface. Requests to any path but those below are
// run. The query parameter work_ms fixes the service time of a request and
// bytes pads its answer.
//
//	GET  /healthz           {"state": State}
//	GET  /load              Load, as it was before the lag
//	GET  /control/runs      RunsDocument
//	GET  /control/load      Load without lag
//	GET  /control/switches  Faults
//	POST /control/switches  changes the given fields of Faults
//	POST /control/crash     crashes the target
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.probe(func() any { return map[string]State{"state": s.State()} }))
	r.Get("/load", s.probe(func() any { return s.reportedLoad() }))
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, RunsDocument{Runs: s.Runs(), Counts: s.Counts()})
	})
	r.Get("/control/load", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, s.Load())
	})
	r.Get("/control/switches", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, s.Faults())
	})
	r.Post("/control/switches", s.serveSwitches)
	r.Post("/control/crash", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, struct{}{})
		s.Crash()
	})
	r.NotFound(s.serve)
	r.MethodNotAllowed(s.serve)
	return r
}

// probe answers health and load calls unless the target is down or silent.
func (s *Server) probe(body func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.cfg.Clock.Now().Before(s.downTill)
		silent := s.switches.HangProbes
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.writeJSON(w, http.StatusOK, body())
	}
}

func (s *Server) serveSwitches(w http.ResponseWriter, r *http.Request) {
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

// serve runs one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// The body is read first because net/http notices a closed connection only
	// after the body was read.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	ctx, cancel, err := s.deadline(r)
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

// deadline returns a context that ends with the connection or the deadline of
// the request.
func (s *Server) deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
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
	passed := s.cfg.Clock.After(time.Duration(ms) * time.Millisecond)
	go func() {
		select {
		case <-passed:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }, nil
}

// refuse answers a request that did not run.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
	s.count(func(c *Counts) { c.Shed++ })
	w.Header().Set(protocol.HeaderNotRun, "true")
	s.writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "not run: " + err.Error()})
}

// run works on a request that holds a slot and answers it.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, crashed <-chan struct{}) {
	ticket := r.Header.Get(protocol.HeaderTicket)
	work, run := s.start(ticket, milliseconds(r, "work_ms"))
	if s.poisonous(r, body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-s.cfg.Clock.After(work):
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		s.interrupted(ctx, w)
		return
	}
	s.count(func(c *Counts) { c.Answered++ })
	s.send(w, s.answer(r, body, ticket, run))
}

func (s *Server) poisonous(r *http.Request, body []byte) bool {
	marker := s.cfg.CrashMarker
	return marker != "" && (strings.Contains(r.URL.String(), marker) || bytes.Contains(body, []byte(marker)))
}

// interrupted ends a request whose deadline passed or whose connection closed
// while it ran.
func (s *Server) interrupted(ctx context.Context, w http.ResponseWriter) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		s.count(func(c *Counts) { c.Expired++ })
		s.writeJSON(w, http.StatusGatewayTimeout, map[string]string{"error": "the deadline passed while the request ran"})
		return
	}
	s.count(func(c *Counts) { c.Cancelled++ })
	panic(http.ErrAbortHandler)
}

func (s *Server) answer(r *http.Request, body []byte, ticket string, run int) *answer {
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
		Pad:       strings.Repeat("x", min(max(pad, 0), maxPadBytes)),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &answer{requestID: id, ticket: ticket, body: data}
}

// send writes an answer as the switches demand.
func (s *Server) send(w http.ResponseWriter, own *answer) {
	s.mu.Lock()
	switches, previous := s.switches, s.previous
	s.previous = own
	s.mu.Unlock()
	if switches.SendPrevious && previous != nil {
		own = previous
	}
	header := w.Header()
	header.Set(protocol.HeaderRequestID, own.requestID)
	if own.ticket != "" {
		header.Set(protocol.HeaderTicket, own.ticket)
	}
	if switches.Draining {
		header.Set(protocol.HeaderDraining, "true")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(own.body)))
	if !switches.Truncate {
		_, _ = w.Write(own.body)
		return
	}
	_, _ = w.Write(own.body[:len(own.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) count(change func(*Counts)) {
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

// milliseconds reads a time from the query; zero if it is absent.
func milliseconds(r *http.Request, name string) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
