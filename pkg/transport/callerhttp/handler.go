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

// serviceMethods are the methods that are passed to services. TRACE is not
// allowed because it reflects headers, and CONNECT because it opens tunnels.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func randomID() string { return rand.Text() }

// Handler returns the HTTP handler without the connection limits of Serve, for
// use in tests and with other servers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/lookup", s.handle(s.lookup))
	r.Post("/v1/tickets", s.handle(s.tickets))
	for _, method := range serviceMethods {
		r.Method(method, servicesPrefix+"{service}/*", s.handle(s.serve))
	}
	r.NotFound(s.handle(func(x *requestState) *protocol.Problem { return unknownPathProblem() }))
	r.MethodNotAllowed(s.handle(func(x *requestState) *protocol.Problem {
		x.w.Header().Set("Allow", allowedMethods(x.r.URL.Path))
		return newRefusal(http.StatusMethodNotAllowed, protocol.CodeMethodNotAllowed,
			"the method is not allowed for this path", "use a method listed in the Allow header")
	}))
	return r
}

func allowedMethods(path string) string {
	switch {
	case strings.HasPrefix(path, servicesPrefix):
		return strings.Join(serviceMethods, ", ")
	case path == "/v1/tickets":
		return http.MethodPost
	}
	return http.MethodGet
}

func unknownPathProblem() *protocol.Problem {
	return newRefusal(http.StatusNotFound, protocol.CodeUnknownPath, "the path does not exist",
		"use /v1/lookup, /v1/tickets or /v1/services/<service>/<path>")
}

// requestState is the state of one request in a handler.
type requestState struct {
	w       *responseWriter
	r       *http.Request
	id      string
	service string // label of the metrics; empty until the name is validated
}

// handle wraps a handler that either writes a response or returns a problem.
func (s *Server) handle(h func(x *requestState) *protocol.Problem) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		x := &requestState{w: &responseWriter{ResponseWriter: w, server: s, caller: r.Context()}, r: r}
		x.id = r.Header.Get(protocol.HeaderRequestID)
		if !validRequestID(x.id) {
			x.id = s.cfg.NewRequestID()
		}
		w.Header().Set(protocol.HeaderRequestID, x.id)
		// net/http keeps the write deadline of the previous request on the
		// connection, so it is set for each request.
		_ = http.NewResponseController(w).SetWriteDeadline(start.Add(maxResponseTime))
		key, ok := s.active.begin(x.id, s.cfg.MaxInFlight)
		if !ok {
			s.refuseOverload(x, start)
			return
		}
		defer s.active.end(key)
		defer s.recoverPanic(x, start)
		problem := s.checkHead(r)
		if problem == nil {
			problem = h(x)
		}
		s.complete(x, problem, start)
	}
}

func (s *Server) refuseOverload(x *requestState, start time.Time) {
	problem := newRefusal(http.StatusServiceUnavailable, protocol.CodeNoRoom,
		"this entry VM has too many requests in flight", "use the next entry VM of the lookup")
	s.complete(x, problem, start)
}

// complete writes the problem, if any, and updates the metrics.
func (s *Server) complete(x *requestState, problem *protocol.Problem, start time.Time) {
	outcome, code := protocol.OutcomeAnswered, strconv.Itoa(x.w.status)
	if problem != nil {
		p := *problem // copied, because it may be shared, for example by a recorded outcome
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

// writeProblem sends p. A problem without an outcome is caused by a fault, so
// its outcome is unknown.
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

// recoverPanic sends a problem if the handler panicked, or aborts the connection
// if the head of the response was already sent.
func (s *Server) recoverPanic(x *requestState, start time.Time) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	s.cfg.Log.Log(eventHandlerFailed, eventlog.Fields{"request_id": x.id, "cause": fmt.Sprint(cause)})
	if x.w.status != 0 {
		panic(http.ErrAbortHandler)
	}
	s.complete(x, protocol.NewProblem(http.StatusInternalServerError, protocol.CodeInternal,
		protocol.OutcomeUnknown, "the entry VM failed because of an internal fault", "report the request id to the operator"), start)
}

func (s *Server) lookup(x *requestState) *protocol.Problem {
	req, problem := parseLookup(x.r)
	if problem != nil {
		return problem
	}
	x.service = req.Service
	response, problem := s.cfg.Lookup.Lookup(x.r.Context(), req)
	if problem != nil {
		return problem
	}
	return writeJSON(x.w, response)
}

func (s *Server) tickets(x *requestState) *protocol.Problem {
	x.r.Body = http.NoBody // the parameters are in the query
	query, err := parseQuery(x.r, "service", "count")
	if err != nil {
		return badRequest(err.Error(), "send POST /v1/tickets?service=S&count=N")
	}
	count := 1
	if text := query["count"]; text != "" {
		count, err = strconv.Atoi(text)
	}
	if err != nil || count < 1 || count > maxTicketsPerCall {
		return badRequest("the count is not valid", fmt.Sprintf("send a count from 1 to %d", maxTicketsPerCall))
	}
	if problem := checkService(query["service"]); problem != nil {
		return problem
	}
	x.service = query["service"]
	response, problem := s.cfg.Tickets.IssueTickets(x.service, count)
	if problem != nil {
		return problem
	}
	return writeJSON(x.w, response)
}

func writeJSON(w http.ResponseWriter, v any) *protocol.Problem {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(protocol.HeaderOutcome, string(protocol.OutcomeAnswered))
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
	return nil
}

func (s *Server) serve(x *requestState) *protocol.Problem {
	service := chi.URLParam(x.r, "service")
	req, problem := s.checkRequest(x.w, x.r, service, x.id)
	if problem != nil {
		return problem
	}
	x.service = service
	if problem := s.checkStop(req.Deadline); problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), req.Deadline)
	defer cancel()
	_ = http.NewResponseController(x.w).SetWriteDeadline(req.Deadline.Add(writeGrace))
	response, problem := s.cfg.Router.Serve(ctx, req)
	if problem != nil {
		return problem
	}
	if response.Body == nil {
		response.Body = http.NoBody
	}
	defer response.Body.Close()
	return s.writeResponse(x, response)
}
