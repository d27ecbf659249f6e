package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/checkedhttp"
)

const (
	// DefaultCallTimeout bounds each call of an HTTPClient.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchWait is the longest time that the store holds a watch open. It
	// determines the call rate of an idle watch.
	DefaultWatchWait = 30 * time.Second

	// maxReplyBytes limits one reply, which may be a list of many values.
	maxReplyBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept to the platform.
	maxIdleConns = 16
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 90 * time.Second
)

// HTTPClientConfig configures an HTTPClient.
type HTTPClientConfig struct {
	// BaseURL is the address of the platform, such as "http://127.0.0.1:7000".
	BaseURL string
	// CallTimeout bounds each call, not counting the wait of a watch. A shorter
	// timeout detects outages sooner and loses more replies when the store is
	// slow. Zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchWait is the longest time that the store holds a watch open. A longer
	// time needs fewer calls. Zero means DefaultWatchWait.
	WatchWait time.Duration
	// Transport sends the requests. Nil means a new http.Transport without
	// proxy and HTTP/2. The transport must not resend writes.
	Transport http.RoundTripper
}

// HTTPClient is a client of the platform's HTTP JSON interface. It implements
// Store and VMList and is safe for concurrent use.
type HTTPClient struct {
	base        url.URL
	client      *http.Client
	callTimeout time.Duration
	watchWait   time.Duration
}

var (
	_ Store  = (*HTTPClient)(nil)
	_ VMList = (*HTTPClient)(nil)
)

// RequestError reports a call that the platform rejected as invalid. Repeating
// it without a change does not help.
type RequestError struct {
	Op      string
	Status  int
	Message string
}

// Error describes the rejected call.
func (e *RequestError) Error() string {
	return fmt.Sprintf("platform rejected %s with status %d: %s; correct the call before repeating it",
		e.Op, e.Status, e.Message)
}

// NewHTTPClient returns a client for the platform at cfg.BaseURL.
func NewHTTPClient(cfg HTTPClientConfig) (*HTTPClient, error) {
	base, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "parse platform URL")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, fmt.Errorf("platform URL %q is invalid; use the form http://HOST:PORT", cfg.BaseURL)
	}
	base.Path = strings.TrimSuffix(base.Path, "/")
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.Transport == nil {
		cfg.Transport = newTransport()
	}
	client := &http.Client{
		Transport: cfg.Transport,
		// Following a redirect would send a write twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTPClient{base: *base, client: client, callTimeout: cfg.CallTimeout, watchWait: cfg.WatchWait}, nil
}

// newTransport returns a transport that never resends a PUT, POST or DELETE
// after a byte of it was written: http.Transport treats only GET, HEAD, OPTIONS
// and TRACE as replayable, unless an Idempotency-Key header is set, which this
// package never sets.
func newTransport() http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return checkedhttp.NewTransport(&http.Transport{
		Protocols:           protocols,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
}

// apiCall describes one request to the platform.
type apiCall struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	write  bool
	wait   time.Duration // longest time that the platform may hold the call open
	key    string        // key of the write, for a ConflictError
}

// Get implements Store.
func (h *HTTPClient) Get(ctx context.Context, key string) (Entry, error) {
	data, err := h.do(ctx, apiCall{op: "get", method: http.MethodGet, path: "/v1/kv/" + key})
	if err != nil {
		return Entry{}, err
	}
	entry, err := decodeEntry(data, key)
	return entry, replyError(err, false)
}

// List implements Store.
func (h *HTTPClient) List(ctx context.Context, prefix string) ([]Entry, error) {
	query := url.Values{"prefix": {prefix}}
	data, err := h.do(ctx, apiCall{op: "list", method: http.MethodGet, path: "/v1/kv/", query: query})
	if err != nil {
		return nil, err
	}
	entries, err := decodeEntries(data)
	return entries, replyError(err, false)
}

// CompareAndSwap implements Store.
func (h *HTTPClient) CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, &RequestError{Op: "cas", Status: http.StatusRequestEntityTooLarge,
			Message: fmt.Sprintf("value has %d bytes and the limit is %d", len(value), MaxValueBytes)}
	}
	query := url.Values{"cas": {strconv.FormatInt(expect, 10)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatInt(int64(lease), 10))
	}
	data, err := h.do(ctx, apiCall{op: "cas", method: http.MethodPut, path: "/v1/kv/" + key, query: query,
		body: value, write: true, key: key})
	if err != nil {
		return 0, err
	}
	revision, err := decodeRevision(data)
	return revision, replyError(err, true)
}

// Delete implements Store. It returns ErrNotFound if the key does not exist.
func (h *HTTPClient) Delete(ctx context.Context, key string, expect int64) error {
	query := url.Values{"cas": {strconv.FormatInt(expect, 10)}}
	_, err := h.do(ctx, apiCall{op: "delete", method: http.MethodDelete, path: "/v1/kv/" + key, query: query,
		write: true, key: key})
	return err
}

// Grant implements Store.
func (h *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(LeaseDocument{TTLMs: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	data, err := h.do(ctx, apiCall{op: "grant", method: http.MethodPost, path: "/v1/leases", body: body, write: true})
	if err != nil {
		return 0, err
	}
	id, err := decodeLease(data)
	return id, replyError(err, true)
}

// KeepAlive implements Store.
func (h *HTTPClient) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := h.do(ctx, apiCall{op: "keepalive", method: http.MethodPost, path: leasePath(id) + "/keepalive", write: true})
	return err
}

// Revoke implements Store.
func (h *HTTPClient) Revoke(ctx context.Context, id LeaseID) error {
	_, err := h.do(ctx, apiCall{op: "revoke", method: http.MethodDelete, path: leasePath(id), write: true})
	return err
}

// Watch implements Store.
func (h *HTTPClient) Watch(ctx context.Context, prefix string, after int64) ([]Entry, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatInt(after, 10)},
		"wait":   {h.watchWait.String()},
	}
	data, err := h.do(ctx, apiCall{op: "watch", method: http.MethodGet, path: "/v1/watch", query: query, wait: h.watchWait})
	if err != nil {
		return nil, err
	}
	entries, err := decodeEntries(data)
	return entries, replyError(err, false)
}

// VMs implements VMList.
func (h *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	data, err := h.do(ctx, apiCall{op: "vms", method: http.MethodGet, path: "/v1/vms"})
	if err != nil {
		return nil, err
	}
	vms, err := decodeVMs(data)
	return vms, replyError(err, false)
}

func leasePath(id LeaseID) string {
	return "/v1/leases/" + strconv.FormatInt(int64(id), 10)
}

// do sends one call and returns the body of a successful reply.
func (h *HTTPClient) do(ctx context.Context, c apiCall) ([]byte, error) {
	metrics.GetOrCreateCounter(`hickory_platform_calls_total{op="` + c.op + `"}`).Inc()
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout+c.wait)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := h.newRequest(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, callError(err, c.write && connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, callError(err, c.write)
	}
	if len(data) > maxReplyBytes {
		return nil, replyError(fmt.Errorf("reply is longer than %d bytes", maxReplyBytes), c.write)
	}
	return data, statusError(c, resp.StatusCode, data)
}

func (h *HTTPClient) newRequest(ctx context.Context, c apiCall) (*http.Request, error) {
	address := h.base
	address.Path += c.path
	address.RawQuery = c.query.Encode()
	req, err := http.NewRequestWithContext(ctx, c.method, address.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "build platform request")
	}
	return req, nil
}

// callError wraps cause in ErrReplyLost if the platform may have executed a
// write, and in ErrUnavailable otherwise.
func callError(cause error, mayHaveRun bool) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", ErrReplyLost, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// replyError converts an error of reading or decoding a reply to an error of
// Store. It returns nil if err is nil.
func replyError(err error, write bool) error {
	if err == nil {
		return nil
	}
	return callError(errors.Wrap(err, "invalid platform reply"), write)
}

// statusError converts the status of a reply to an error of Store.
func statusError(c apiCall, status int, data []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		conflict, err := decodeConflict(data, c.key)
		if err != nil {
			return replyError(err, c.write)
		}
		return conflict
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return &RequestError{Op: c.op, Status: status, Message: errorMessage(data)}
	}
	return callError(fmt.Errorf("status %d: %s", status, errorMessage(data)), c.write)
}

// errorMessage returns the message of an error reply.
func errorMessage(data []byte) string {
	var d ErrorDocument
	if json.Unmarshal(data, &d) == nil && d.Error != "" {
		return d.Error
	}
	return "no message"
}
