package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// hopByHop lists the hop-by-hop fields (RFC 9110, section 7.6.1). Proxy-*
// fields are removed by prefix.
var hopByHop = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// StripHopByHop removes the hop-by-hop fields from h, including those that a
// Connection field names.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, "Proxy-") {
			delete(h, name)
		}
	}
}

// restoreConnectionField restores the Connection field, which
// http.ReadResponse removes if it contains "close", although it may name other
// fields as well.
func restoreConnectionField(h http.Header, head []byte) {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	_, lineErr := r.ReadLine()
	fields, err := r.ReadMIMEHeader()
	if lineErr == nil && err == nil && len(fields["Connection"]) > 0 {
		h["Connection"] = fields["Connection"]
	}
}

var (
	errMethod = errors.New("the method is not a valid token or is CONNECT")
	errPath   = errors.New("the path does not start with \"/\" or is not valid")
)

// buildRequest returns the HTTP request without its body.
func buildRequest(ctx context.Context, r *Request, cfg Config, now time.Time) (*http.Request, error) {
	if !validToken(r.Method) || r.Method == http.MethodConnect {
		return nil, errMethod
	}
	if !strings.HasPrefix(r.Path, "/") {
		return nil, errPath
	}
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, errors.Join(errPath, err)
	}
	u.Scheme, u.Host = "http", r.Target.Address
	if !strings.HasPrefix(r.Path, "//") { // url.URL would take it for a host
		// Keeps the path as the caller wrote it, such as "a|b" or "a%2Fb".
		u.Opaque, _, _ = strings.Cut(r.Path, "?")
	}
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	setRequestFields(ctx, header, r, cfg.Dialect, now)
	if r.Ticket != "" {
		header.Set(cfg.TicketHeader, r.Ticket)
	}
	host := r.Host
	if host == "" {
		host = r.Target.Address
	}
	out := &http.Request{
		Method: r.Method, URL: u, Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	return out, nil
}

func setRequestFields(ctx context.Context, h http.Header, r *Request, d Dialect, now time.Time) {
	StripHopByHop(h)
	for _, name := range []string{"Content-Length", "Expect", "Host", d.DeadlineHeader, d.RequestIDHeader} {
		h.Del(name)
	}
	for _, name := range d.ReservedHeaders {
		h.Del(name)
	}
	if d.AccountHeader != "" {
		h.Del(d.AccountHeader)
		if r.Account != "" {
			h.Set(d.AccountHeader, r.Account)
		}
	}
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = []string{""} // keeps Request.Write from adding a default
	}
	if r.RequestID != "" {
		h.Set(d.RequestIDHeader, r.RequestID)
	}
	if d.ExpectTargetHeader != "" && r.Target.Name != "" {
		h.Set(d.ExpectTargetHeader, r.Target.Name)
	}
	if end, ok := ctx.Deadline(); ok {
		remaining := end.Add(-r.ResponseGrace).Sub(now)
		h.Set(d.DeadlineHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	}
}

func validToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
