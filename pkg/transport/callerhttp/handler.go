package callerhttp

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

const servicesPrefix = "/v1/services/"

// serviceMethods are the methods that are passed to services. TRACE would
// reflect headers and CONNECT opens tunnels, so they are left out.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func randomID() string { return rand.Text() }

// Handler returns the router without the limits on connections, for tests and
// for servers of other kinds.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/lookup", s.handle(s.lookup))
	r.Post("/v1/tickets", s.handle(s.tickets))
	for _, method := range serviceMethods {
		r.Method(method, servicesPrefix+"{service}/*", s.handle(s.serve))
	}
	r.NotFound(s.handle(func(x *call) *protocol.Problem { return unknownPath() }))
	r.MethodNotAllowed(s.handle(func(x *call) *protocol.Problem {
		x.w.Header().Set("Allow", allowed(x.r.URL.Path))
		return refuse(http.StatusMethodNotAllowed, protocol.CodeMethodNotAllowed,
			"the method is not allowed here", "use a method that the interface lists")
	}))
	return r
}

func allowed(path string) string {
	switch {
	case strings.HasPrefix(path, servicesPrefix):
		return strings.Join(serviceMethods, ", ")
	case path == "/v1/tickets":
		return http.MethodPost
	}
	return http.MethodGet
}

func unknownPath() *protocol.Problem {
	return refuse(http.StatusNotFound, protocol.CodeUnknownPath, "the path does not exist",
		"use /v1/lookup, /v1/tickets or /v1/services/<service>/<path>")
}

// call is one request in a handler.
type call struct {
	w       *responseWriter
	r       *http.Request
	id      string
	service string // label of the metrics; empty until the service is known
}

// handle wraps a handler that either writes a response or returns a problem.
func (s *Server) handle(h func(x *call) *protocol.Problem) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		x := &call{w: &responseWriter{ResponseWriter: w, server: s}, r: r}
		x.id = r.Header.Get(protocol.HeaderRequestID)
		if !validRequestID(x.id) {
			x.id = s.cfg.NewRequestID()
		}
		w.Header().Set(protocol.HeaderRequestID, x.id)
		// Set for each request, because net/http keeps the write deadline of the
		// previous request of the connection.
		_ = http.NewResponseController(w).SetWriteDeadline(start.Add(maxResponseTime))
		key, ok := s.active.begin(x.id, s.cfg.MaxInFlight)
		if !ok {
			s.refuseBusy(x, start)
			return
		}
		defer s.active.end(key)
		defer s.recoverFailure(x, start)
		problem := s.checkHead(r)
		if problem == nil {
			problem = h(x)
		}
		s.complete(x, problem, start)
	}
}

func (s *Server) refuseBusy(x *call, start time.Time) {
	problem := refuse(http.StatusServiceUnavailable, protocol.CodeNoRoom,
		"this entry VM has too many requests in flight", "use the next entry VM of the look-up")
	s.complete(x, problem, start)
}

// complete writes the problem, if any, and counts the request.
func (s *Server) complete(x *call, problem *protocol.Problem, start time.Time) {
	outcome, code := protocol.OutcomeAnswered, strconv.Itoa(x.w.status)
	if problem != nil {
		p := *problem // the problem may be shared, for example by a recorded outcome
		p.RequestID = x.id
		outcome, code = p.Outcome, string(p.Code)
		if p.Code == protocol.CodeUnknownService {
			x.service = ""
		}
		writeProblem(x.w, &p)
	}
	if s.cfg.IsKnownService != nil && !s.cfg.IsKnownService(x.service) {
		x.service = ""
	}
	m := s.instruments.get(s.cfg.Metrics, requestLabels{x.service, string(outcome), code})
	m.requests.Inc()
	m.duration.UpdateDuration(start)
}

// writeProblem sends p. A problem without an outcome comes from a fault, so
// that nothing is known about the request.
func writeProblem(w http.ResponseWriter, p *protocol.Problem) {
	if p.Outcome == "" {
		p.Outcome = protocol.OutcomeUnknown
	}
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	p.Write(w)
}

// recoverFailure answers for a handler that panicked.
func (s *Server) recoverFailure(x *call, start time.Time) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	s.cfg.Log.Log(eventFailed, eventlog.Fields{"request_id": x.id, "cause": fmt.Sprint(cause)})
	if x.w.status != 0 {
		panic(http.ErrAbortHandler)
	}
	s.complete(x, protocol.NewProblem(http.StatusInternalServerError, protocol.CodeInternal,
		protocol.OutcomeUnknown, "the entry VM failed", "report the request id to the operator"), start)
}

func (s *Server) lookup(x *call) *protocol.Problem {
	req, problem := parseLookup(x.r)
	if problem != nil {
		return problem
	}
	x.service = req.Service
	answer, problem := s.cfg.Lookup.Lookup(x.r.Context(), req)
	if problem != nil {
		return problem
	}
	return writeJSON(x.w, answer)
}

func (s *Server) tickets(x *call) *protocol.Problem {
	x.r.Body = http.NoBody // the parameters are in the query
	query, err := parseQuery(x.r, "service", "count")
	if err != nil {
		return bad(err.Error(), "send POST /v1/tickets?service=S&count=N")
	}
	count := 1
	if text := query["count"]; text != "" {
		count, err = strconv.Atoi(text)
	}
	if err != nil || count < 1 || count > maxTicketsPerCall {
		return bad("the count is not valid", fmt.Sprintf("send a count from 1 to %d", maxTicketsPerCall))
	}
	if problem := checkService(query["service"]); problem != nil {
		return problem
	}
	x.service = query["service"]
	answer, problem := s.cfg.Tickets.IssueTickets(x.service, count)
	if problem != nil {
		return problem
	}
	return writeJSON(x.w, answer)
}

func writeJSON(w http.ResponseWriter, v any) *protocol.Problem {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(protocol.HeaderOutcome, string(protocol.OutcomeAnswered))
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller is gone
	return nil
}

func (s *Server) serve(x *call) *protocol.Problem {
	service := chi.URLParam(x.r, "service")
	req, problem := s.checkRequest(x.w, x.r, service, x.id)
	if problem != nil {
		return problem
	}
	x.service = service
	ctx, cancel := context.WithDeadline(x.r.Context(), req.Deadline)
	defer cancel()
	_ = http.NewResponseController(x.w).SetWriteDeadline(req.Deadline.Add(writeGrace))
	answer, problem := s.cfg.Router.Serve(ctx, req)
	if problem != nil {
		return problem
	}
	if answer.Body == nil {
		answer.Body = http.NoBody
	}
	defer answer.Body.Close()
	return s.writeAnswer(x, answer)
}
