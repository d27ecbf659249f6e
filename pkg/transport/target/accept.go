package target

import (
	"io"
)

const (
	maxRefusalBodyBytes = 4 << 10 // after a longer refusal the connection is closed
	maxSurplusResponses = 2       // responses to earlier requests that are discarded
	maxSurplusBytes     = 1 << 20 // a longer one closes the connection
)

// acceptResponse checks that the response belongs to the request and that its
// end is known.
func (x *exchange) acceptResponse() (*Response, *Failure) {
	h := x.resp.Header
	d := x.dialect()
	id := h.Get(d.RequestIDHeader)
	x.echoed = id != "" && id == x.req.RequestID
	if id != "" && id != x.req.RequestID && (x.req.RequestID != "" || x.conn.reused) {
		return nil, x.fail(KindMismatched, errMismatchedID)
	}
	if d.IsNotRun(x.resp.StatusCode, h) {
		return nil, x.acceptRefusal()
	}
	if d.RequireEchoedID && !x.echoed {
		return nil, x.fail(KindMismatched, errNotEchoed)
	}
	if !d.AllowCloseDelimited && endsWithConnection(x.resp) {
		return nil, x.fail(KindTruncated, errUnknownEnd)
	}
	x.conn.setIdleLimit(h)
	StripHopByHop(h)
	resp := &Response{
		Status: x.resp.StatusCode, Header: h, ContentLength: x.resp.ContentLength,
		Draining: d.IsDraining(h), Trace: x.trace(),
	}
	resp.Body = &responseBody{x: x}
	return resp, nil
}

// acceptRefusal returns the Failure for a response that states that the target
// did not run the request. Without the id of the request, the response may be the
// second copy of an earlier refusal, unless the connection has carried no other
// request. An idempotent request may run again in any case.
func (x *exchange) acceptRefusal() *Failure {
	if !x.echoed && x.conn.reused && !x.req.Idempotent {
		return x.fail(KindMismatched, errNotEchoed)
	}
	return x.readRefusal()
}

// readRefusal reads the body of a refusal. One that was cut is not believed: a target
// that breaks off its responses may have run the request.
func (x *exchange) readRefusal() *Failure {
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxRefusalBodyBytes+1))
	whole := n <= maxRefusalBodyBytes
	if err == nil && whole && endsWithConnection(x.resp) {
		err = x.confirmEnd()
	}
	if err != nil {
		f := x.fail(KindTruncated, err)
		f.NotRun = false
		return f
	}
	f := &Failure{Kind: KindRefused, NotRun: true, Status: x.resp.StatusCode, Header: x.resp.Header, Err: errNotRunResponse}
	f.Draining = x.dialect().IsDraining(x.resp.Header)
	reusable := whole && x.reusable()
	if !reusable {
		x.abort()
	}
	f.Trace = x.trace()
	f.Written, _ = x.conn.sent()
	x.finish(reusable)
	return f
}

// discardSurplusResponse discards a response to an earlier request. A target
// may respond to a request twice, and the second response then precedes the
// response to the next request. Only a response of a known and limited length on
// a reused connection is discarded, because the next response then starts at a
// known place.
func (x *exchange) discardSurplusResponse() bool {
	id := x.resp.Header.Get(x.dialect().RequestIDHeader)
	if !x.dialect().SkipSurplusResponses || !x.conn.reused || id == "" || id == x.req.RequestID ||
		x.resp.Close || x.resp.ContentLength < 0 || x.resp.ContentLength > maxSurplusBytes {
		return false
	}
	n, err := io.Copy(io.Discard, x.resp.Body)
	if err != nil || n != x.resp.ContentLength {
		return false
	}
	x.conn.headLeft = int64(x.client.cfg.MaxHeaderBytes)
	x.readSurplus = true
	return true
}
