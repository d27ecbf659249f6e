package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/outcome"
	"hickoryroute/pkg/transport/target"
)

const (
	maxServiceNameBytes = 63
	maxZoneNameBytes    = 63
	maxRequestIDBytes   = 64
	maxTicketsPerCall   = 100
)

// badRequest returns the problem for a request that the caller has to correct.
func badRequest(detail, remedy string) *protocol.Problem {
	return newRefusal(http.StatusBadRequest, protocol.CodeBadRequest, detail, remedy)
}

func newRefusal(status int, code protocol.Code, detail, remedy string) *protocol.Problem {
	return protocol.NewProblem(status, code, protocol.OutcomeNotRun, detail, remedy)
}

// validName reports whether s starts with a lower-case letter and has only
// lower-case letters, digits and inner hyphens.
func validName(s string, limit int) bool {
	if s == "" || len(s) > limit || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

func checkService(name string) *protocol.Problem {
	if validName(name, maxServiceNameBytes) {
		return nil
	}
	return badRequest(fmt.Sprintf("service name %.80q is not valid", name),
		"use lower-case letters, digits and hyphens, starting with a letter")
}

func validRequestID(s string) bool {
	for i := range len(s) {
		c := s[i]
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= maxRequestIDBytes
}

// checkHead checks the size of the head and the request id.
func (s *Server) checkHead(r *http.Request) *protocol.Problem {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if size > s.cfg.MaxHeaderBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, protocol.CodeBadRequest,
			fmt.Sprintf("the head of the request exceeds %d bytes", s.cfg.MaxHeaderBytes), "send a shorter path and fewer headers")
	}
	if id, given := r.Header[protocol.HeaderRequestID]; given && (len(id) != 1 || !validRequestID(id[0])) {
		return badRequest("the request id is not valid",
			fmt.Sprintf("send one %s of up to %d letters, digits, '-', '.' or '_'", protocol.HeaderRequestID, maxRequestIDBytes))
	}
	return nil
}

// parseDeadline returns the time that the request may take.
func parseDeadline(h http.Header) (time.Duration, *protocol.Problem) {
	values := h[protocol.HeaderDeadlineMs]
	if len(values) == 0 {
		return protocol.DefaultDeadlineMs * time.Millisecond, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 32)
	if len(values) > 1 || err != nil || ms == 0 || ms > protocol.MaxDeadlineMs {
		return 0, badRequest("the deadline is not valid",
			fmt.Sprintf("send one %s from 1 to %d", protocol.HeaderDeadlineMs, protocol.MaxDeadlineMs))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseTicket returns the ticket of the request, or "" if it has none.
func parseTicket(h http.Header) (string, *protocol.Problem) {
	values := h[protocol.HeaderIdempotencyKey]
	if len(values) == 0 {
		return "", nil
	}
	_, err := outcome.Parse(values[0])
	if len(values) > 1 || err != nil {
		return "", newRefusal(http.StatusBadRequest, protocol.CodeBadTicket,
			"the Idempotency-Key is not a single valid ticket", "request a ticket with POST /v1/tickets")
	}
	return values[0], nil
}

// parseLookup parses and checks the query of a lookup.
func parseLookup(r *http.Request) (LookupRequest, *protocol.Problem) {
	query, err := parseQuery(r, "service", "client", "zone")
	if err != nil {
		return LookupRequest{}, badRequest(err.Error(), "send /v1/lookup?service=S&client=IP&zone=Z")
	}
	out := LookupRequest{Service: query["service"], Zone: query["zone"]}
	if problem := checkService(out.Service); problem != nil {
		return LookupRequest{}, problem
	}
	if out.Zone != "" && !validName(out.Zone, maxZoneNameBytes) {
		return LookupRequest{}, badRequest("the zone name is not valid", "use the name of an availability zone")
	}
	client := query["client"]
	if client == "" {
		client = r.Header.Get(protocol.HeaderClient)
	}
	if client == "" {
		out.Client = remoteAddr(r)
		return out, nil
	}
	addr, err := netip.ParseAddr(client)
	if err != nil || addr.Zone() != "" {
		return LookupRequest{}, badRequest("the client is not an IP address", "send the IP address of the client")
	}
	out.Client = addr.Unmap()
	return out, nil
}

// parseQuery returns the named query parameters. A repeated one is an error.
func parseQuery(r *http.Request, names ...string) (map[string]string, error) {
	if err := r.ParseForm(); err != nil {
		return nil, fmt.Errorf("the query is not valid: %w", err)
	}
	out := map[string]string{}
	for _, name := range names {
		values := r.Form[name]
		if len(values) > 1 {
			return nil, fmt.Errorf("the parameter %q is repeated", name)
		}
		if len(values) == 1 {
			out[name] = values[0]
		}
	}
	return out, nil
}

func remoteAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// servicePath returns the escaped path below the service, with its query.
func servicePath(r *http.Request, service string) (string, bool) {
	prefix := servicesPrefix + service
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !ok || !strings.HasPrefix(rest, "/") {
		return "", false
	}
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		rest += "?" + r.URL.RawQuery
	}
	return rest, true
}

// checkRequest validates a request to a service and reads its body.
func (s *Server) checkRequest(w http.ResponseWriter, r *http.Request, service, id string) (*Request, *protocol.Problem) {
	if problem := checkService(service); problem != nil {
		return nil, problem
	}
	path, ok := servicePath(r, service)
	if !ok {
		return nil, unknownPathProblem()
	}
	timeLimit, problem := parseDeadline(r.Header)
	if problem != nil {
		return nil, problem
	}
	ticket, problem := parseTicket(r.Header)
	if problem != nil {
		return nil, problem
	}
	out := &Request{
		Service: service, Method: r.Method, Path: path, Client: remoteAddr(r),
		RequestID: id, Ticket: ticket, Deadline: time.Now().Add(timeLimit),
	}
	if out.Body, problem = s.readBody(w, r, out.Deadline); problem != nil {
		return nil, problem
	}
	out.Header = r.Header.Clone()
	target.StripHopByHop(out.Header)
	return out, nil
}

// readBody reads the whole body within the body timeout and the deadline.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *protocol.Problem) {
	tooLarge := newRefusal(http.StatusRequestEntityTooLarge, protocol.CodeBodyTooLarge,
		fmt.Sprintf("the body exceeds %d bytes", s.cfg.MaxBodyBytes), "send a smaller body")
	if r.ContentLength > s.cfg.MaxBodyBytes {
		return nil, tooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	end := time.Now().Add(s.cfg.BodyTimeout)
	if deadline.Before(end) {
		end = deadline
	}
	// net/http clears the read deadline at the end of the body. After an error
	// the deadline stays and bounds the reading of the remaining body.
	_ = control.SetReadDeadline(end)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	var over *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &over):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		w.Header().Set("Connection", "close")
		return nil, newRefusal(http.StatusRequestTimeout, protocol.CodeBadRequest,
			"the body did not arrive in time", "send the body faster or use a longer deadline")
	case errors.Is(err, context.Canceled) || errors.Is(r.Context().Err(), context.Canceled):
		return nil, badRequest("the caller disconnected", "send the whole request")
	}
	w.Header().Set("Connection", "close")
	return nil, badRequest("the body is incomplete or malformed", "send the whole body")
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
