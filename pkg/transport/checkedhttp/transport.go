// Package checkedhttp sends requests with net/http and accepts only responses whose
// head is valid and whose end is known. The calls to the platform's store and to the
// operator interface go through it; requests to targets go through package target,
// which checks responses in the same way.
//
// A response with a head that package responsehead refuses, and one that ends with
// its connection without proof that it is complete, is an error of the call or of
// the reading of its body.
package checkedhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/transport/netconn"
)

// handshakeTimeout bounds a TLS handshake, which a call that has ended does not end.
const handshakeTimeout = 10 * time.Second

// errUncheckedHead means that net/http read a response on a connection on which none
// was due, such as the second response to an earlier request.
var errUncheckedHead = errors.New("the response arrived before its request was sent")

// Transport is an http.RoundTripper.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that dials and keeps connections as base does.
// It takes over base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return netconn.DialWithReset(ctx, &net.Dialer{}, address)
		}
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, raw, base.TLSClientConfig, address)
	}
	return &Transport{base: base}
}

func handshake(ctx context.Context, raw net.Conn, config *tls.Config, address string) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure := tls.Client(raw, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &conn{Conn: secure}, nil
}

// CloseIdleConnections closes the connections without a call.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var current atomic.Pointer[exchange] // of the latest attempt
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { current.Store(info.Conn.(*conn).begin()) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// The connection records its own errors, and this may be the end of an
			// earlier attempt.
			if x := current.Load(); x != nil && info.Err == nil {
				x.endRequest(nil)
			}
		},
	}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if x := current.Load(); x == nil || !x.headChecked() {
		_ = resp.Body.Close()
		return nil, errUncheckedHead
	}
	return resp, nil
}
