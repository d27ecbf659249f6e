package callerhttp

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/target"
)

// wholeAnswerBytes is the size up to which an answer is read as a whole before
// its head is sent.
const wholeAnswerBytes = 64 << 10

var answerBuffers = sync.Pool{New: func() any {
	b := make([]byte, wholeAnswerBytes)
	return &b
}}

// ownHeaders are set by the entry VM and never taken from a target.
var ownHeaders = []string{
	protocol.HeaderOutcome, protocol.HeaderTarget, protocol.HeaderRevision, protocol.HeaderEntryLeaving,
	protocol.HeaderNotRun, protocol.HeaderDraining, protocol.HeaderRequestID, protocol.HeaderTicket,
}

// responseWriter remembers the status and marks responses of a leaving VM.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
		if w.server.Leaving() {
			w.Header().Set(protocol.HeaderEntryLeaving, "true")
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeAnswer sends a whole answer, a problem, or aborts the connection.
func (s *Server) writeAnswer(x *call, a *Response) *protocol.Problem {
	buffer := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(buffer)
	n, whole, err := fill(a.Body, *buffer)
	hasBody := bodyAllowed(x.r.Method, a.Status)
	short := whole && hasBody && a.ContentLength >= 0 && a.ContentLength != int64(n)
	if err != nil || short {
		return brokenAnswer()
	}
	copyHeader(x, a)
	if whole && hasBody {
		x.w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	x.w.WriteHeader(a.Status)
	_, err = x.w.Write((*buffer)[:n])
	if !whole && err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{x.w}, a.Body, *buffer)
	}
	if err != nil && hasBody {
		s.cfg.Log.Log(eventAborted, eventlog.Fields{"request_id": x.id, "target": a.Target, "cause": err.Error()})
		panic(http.ErrAbortHandler)
	}
	return nil
}

// fill reads until buffer is full or body ends. whole reports a clean end.
func fill(body io.Reader, buffer []byte) (n int, whole bool, err error) {
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

func brokenAnswer() *protocol.Problem {
	return protocol.NewProblem(http.StatusBadGateway, protocol.CodeBadAnswer, protocol.OutcomeUnknown,
		"the answer of the target is incomplete", "repeat the request if it is idempotent, or ask again with the same ticket")
}

func copyHeader(x *call, a *Response) {
	h := x.w.Header()
	answer := a.Header.Clone()
	target.StripHopByHop(answer)
	for _, name := range ownHeaders {
		answer.Del(name)
	}
	for name, values := range answer {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if bodyAllowed(x.r.Method, a.Status) {
		h.Del("Content-Length")
		if a.ContentLength >= 0 {
			h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
		}
	}
	h.Set(protocol.HeaderOutcome, string(protocol.OutcomeAnswered))
	if a.Target != "" {
		h.Set(protocol.HeaderTarget, a.Target)
	}
	if a.Revision > 0 {
		h.Set(protocol.HeaderRevision, strconv.FormatInt(a.Revision, 10))
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
