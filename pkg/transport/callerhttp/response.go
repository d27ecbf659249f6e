package callerhttp

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/pkg/transport/target"
)

// bufferedResponseBytes is the size up to which a response is read completely
// before its head is sent.
const bufferedResponseBytes = 64 << 10

var responseBuffers = sync.Pool{New: func() any {
	b := make([]byte, bufferedResponseBytes)
	return &b
}}

// reservedHeaders are set only by the entry VM and never copied from the
// response of a target.
var reservedHeaders = []string{
	protocol.HeaderOutcome, protocol.HeaderTarget, protocol.HeaderRevision, protocol.HeaderEntryLeaving,
	protocol.HeaderNotRun, protocol.HeaderDraining, protocol.HeaderRequestID, protocol.HeaderTicket,
}

// responseWriter records the status and marks the responses of a leaving VM.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	caller context.Context // ends when the caller leaves
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
		if w.server.Leaving() {
			w.Header().Set(protocol.HeaderEntryLeaving, "true")
		}
		if w.server.Leaving() || w.caller.Err() != nil { // requests behind it must not be run
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeResponse sends the response. It returns a problem if the response is
// incomplete and nothing was sent, and aborts the connection if a part was sent.
func (s *Server) writeResponse(x *requestState, resp *Response) *protocol.Problem {
	buffer := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(buffer)
	n, complete, err := fillBuffer(resp.Body, *buffer)
	hasBody := bodyAllowed(x.r.Method, resp.Status)
	short := complete && hasBody && resp.ContentLength >= 0 && resp.ContentLength != int64(n)
	if err != nil || short {
		return incompleteResponseProblem()
	}
	copyHeaders(x, resp)
	if complete && hasBody {
		x.w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	x.w.WriteHeader(resp.Status)
	_, err = x.w.Write((*buffer)[:n])
	if !complete && err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{x.w}, resp.Body, *buffer)
	}
	if err != nil && hasBody {
		s.cfg.Log.Log(eventAborted, eventlog.Fields{"request_id": x.id, "target": resp.Target, "cause": err.Error()})
		netconn.AbortResponse(x.w, x.r)
	}
	return nil
}

// fillBuffer reads until buffer is full or body ends. complete reports that body
// ended without an error.
func fillBuffer(body io.Reader, buffer []byte) (n int, complete bool, err error) {
	for n < len(buffer) {
		m, err := body.Read(buffer[n:])
		n += m
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

func incompleteResponseProblem() *protocol.Problem {
	return protocol.NewProblem(http.StatusBadGateway, protocol.CodeBadResponse, protocol.OutcomeUnknown,
		"the response of the target is incomplete", "repeat the request if it is idempotent, or send it again with the same ticket")
}

func copyHeaders(x *requestState, resp *Response) {
	h := x.w.Header()
	header := resp.Header.Clone()
	target.StripHopByHop(header)
	for _, name := range reservedHeaders {
		header.Del(name)
	}
	for name, values := range header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from setting a detected type
	}
	if bodyAllowed(x.r.Method, resp.Status) {
		h.Del("Content-Length")
		if resp.ContentLength >= 0 {
			h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
		}
	}
	h.Set(protocol.HeaderOutcome, string(protocol.OutcomeAnswered))
	if resp.Target != "" {
		h.Set(protocol.HeaderTarget, resp.Target)
	}
	if resp.Revision > 0 {
		h.Set(protocol.HeaderRevision, strconv.FormatInt(resp.Revision, 10))
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
