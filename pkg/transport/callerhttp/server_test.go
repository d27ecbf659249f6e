package callerhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

type fakeBackend struct {
	serve func(ctx context.Context, r *Request) (*Response, *protocol.Problem)
}

func (fakeBackend) Lookup(_ context.Context, r LookupRequest) (*LookupResponse, *protocol.Problem) {
	return &LookupResponse{Service: r.Service, ClientBlock: r.Client.String(), TTLMs: 5000}, nil
}

func (fakeBackend) IssueTickets(_ string, n int) (*TicketsResponse, *protocol.Problem) {
	return &TicketsResponse{Tickets: make([]string, n), Entry: "127.0.0.1:1"}, nil
}

func (s fakeBackend) Serve(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
	return s.serve(ctx, r)
}

func newResponse(status int, body io.Reader, length int64) (*Response, *protocol.Problem) {
	return &Response{Status: status, Header: http.Header{}, ContentLength: length, Body: io.NopCloser(body), Target: "t1"}, nil
}

// echo returns the method, the path and the body of the request.
func echo(_ context.Context, r *Request) (*Response, *protocol.Problem) {
	return newResponse(200, strings.NewReader(r.Method+" "+r.Path+" "+string(r.Body)), -1)
}

func newServer(serve func(context.Context, *Request) (*Response, *protocol.Problem), cfg Config) *Server {
	s := fakeBackend{serve: serve}
	cfg.Lookup, cfg.Tickets, cfg.Router = s, s, s
	return New(cfg)
}

const validTicket = "127.0.0.1:9~1f~1700000000000~1~00112233445566778899aabbccddeeff"

// Guards against invalid requests that are accepted, and against refusals
// without outcome, code, remedy or request id.
func TestRequestValidation(t *testing.T) {
	srv := newServer(echo, Config{MaxBodyBytes: 10, MaxHeaderBytes: 2000})
	for _, c := range []struct {
		name, method, path, body, header, value string
		status                                  int
		code                                    protocol.Code
	}{
		{name: "plain", method: "GET", path: "/v1/services/cluebook/a%2Fb?x=1", status: 200},
		{name: "root", method: "DELETE", path: "/v1/services/cluebook/", status: 200},
		{name: "lookup", method: "GET", path: "/v1/lookup?service=cluebook&client=10.1.2.3&zone=sask-a", status: 200},
		{name: "tickets", method: "POST", path: "/v1/tickets?service=cluebook&count=3", status: 200},
		{name: "no path", method: "GET", path: "/v1/services/cluebook", status: 404, code: protocol.CodeUnknownPath},
		{name: "service name", method: "GET", path: "/v1/services/Clue_book/x", status: 400, code: protocol.CodeBadRequest},
		{name: "escaped name", method: "GET", path: "/v1/services/%63luebook/x", status: 400, code: protocol.CodeBadRequest},
		{name: "unknown method", method: "BREW", path: "/v1/services/cluebook/x", status: 405, code: protocol.CodeMethodNotAllowed},
		{name: "trace", method: "TRACE", path: "/v1/services/cluebook/x", status: 405, code: protocol.CodeMethodNotAllowed},
		{name: "large body", method: "PUT", path: "/v1/services/cluebook/x", body: "01234567890", status: 413, code: protocol.CodeBodyTooLarge},
		{name: "large head", method: "GET", path: "/v1/services/cluebook/x", header: "X", value: strings.Repeat("a", 2000), status: 431, code: protocol.CodeBadRequest},
		{name: "deadline", method: "GET", path: "/v1/services/cluebook/x", header: protocol.HeaderDeadlineMs, value: "30000", status: 200},
		{name: "long deadline", method: "GET", path: "/v1/services/cluebook/x", header: protocol.HeaderDeadlineMs, value: "30001", status: 400, code: protocol.CodeBadRequest},
		{name: "zero deadline", method: "GET", path: "/v1/services/cluebook/x", header: protocol.HeaderDeadlineMs, value: "0", status: 400, code: protocol.CodeBadRequest},
		{name: "signed deadline", method: "GET", path: "/v1/services/cluebook/x", header: protocol.HeaderDeadlineMs, value: "+5", status: 400, code: protocol.CodeBadRequest},
		{name: "ticket", method: "POST", path: "/v1/services/cluebook/x", header: protocol.HeaderIdempotencyKey, value: validTicket, status: 200},
		{name: "malformed ticket", method: "POST", path: "/v1/services/cluebook/x", header: protocol.HeaderIdempotencyKey, value: "abc", status: 400, code: protocol.CodeBadTicket},
		{name: "request id", method: "GET", path: "/v1/services/cluebook/x", header: protocol.HeaderRequestID, value: "a b", status: 400, code: protocol.CodeBadRequest},
		{name: "client", method: "GET", path: "/v1/lookup?service=cluebook&client=nowhere", status: 400, code: protocol.CodeBadRequest},
		{name: "repeated", method: "GET", path: "/v1/lookup?service=a&service=b", status: 400, code: protocol.CodeBadRequest},
		{name: "count", method: "POST", path: "/v1/tickets?service=cluebook&count=101", status: 400, code: protocol.CodeBadRequest},
		{name: "post lookup", method: "POST", path: "/v1/lookup?service=cluebook", status: 405, code: protocol.CodeMethodNotAllowed},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.header != "" {
				req.Header.Set(c.header, c.value)
			}
			rec := httptest.NewRecorder()
			srv.Handler().ServeHTTP(rec, req)
			assert.Equal(t, rec.Code, c.status, rec.Body.String())
			checkResponse(t, rec)
			if c.code != "" {
				var p protocol.Problem
				assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &p))
				assert.Equal(t, p.Code, c.code)
			}
		})
	}
}

// checkResponse checks the headers and the problem document that every response
// must have.
func checkResponse(t *testing.T, rec *httptest.ResponseRecorder) {
	t.Helper()
	assert.Assert(t, rec.Header().Get(protocol.HeaderRequestID) != "")
	outcome := protocol.Outcome(rec.Header().Get(protocol.HeaderOutcome))
	if rec.Code < 400 {
		assert.Equal(t, outcome, protocol.OutcomeAnswered)
		return
	}
	var p protocol.Problem
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &p))
	assert.Equal(t, p.Outcome, outcome)
	assert.Assert(t, p.Remedy != "" && p.Code != "" && p.RequestID != "")
}

// start runs srv on a loopback listener.
func startServer(t *testing.T, srv *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() {
		srv.Close()
		assert.NilError(t, <-done)
	})
	return l.Addr().String()
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Guards against an incomplete response that the caller takes for a complete
// one: a short one becomes a problem, a long one aborts the connection.
func TestTruncatedResponseNeverEndsCleanly(t *testing.T) {
	broken := errors.New("connection lost")
	size := 0
	length := int64(-1)
	srv := newServer(func(context.Context, *Request) (*Response, *protocol.Problem) {
		part := strings.NewReader(strings.Repeat("x", size))
		return newResponse(200, io.MultiReader(part, iotest.ErrReader(broken)), length)
	}, Config{})
	address := startServer(t, srv)
	for _, declared := range []int64{-1, 300_000} {
		for _, size = range []int{0, 10, 65536, 65537, 200_000} {
			length = declared
			resp, err := newHTTPClient().Get("http://" + address + "/v1/services/cluebook/x")
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if size < bufferedResponseBytes {
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 502)
				assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), "unknown")
				continue
			}
			assert.ErrorContains(t, err, "EOF", "size %d", size)
		}
	}
	// For HTTP/1.0, the end of the connection is the end of a body without a length.
	length, size = -1, 200_000
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /v1/services/cluebook/x HTTP/1.0\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET, "%d bytes look like a whole response", len(got))
}

// Guards against a body that ends cleanly before its declared length.
func TestShortResponseIsRejected(t *testing.T) {
	srv := newServer(func(context.Context, *Request) (*Response, *protocol.Problem) {
		return newResponse(200, strings.NewReader("1234"), 5)
	}, Config{})
	rec := httptest.NewRecorder()
	srv.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/v1/services/cluebook/x", nil))
	assert.Equal(t, rec.Code, 502)
	checkResponse(t, rec)
}

// Guards against complete responses whose body or headers change on the way to
// the caller.
func TestCompleteResponses(t *testing.T) {
	var size int
	srv := newServer(func(context.Context, *Request) (*Response, *protocol.Problem) {
		a, _ := newResponse(200, strings.NewReader(strings.Repeat("y", size)), -1)
		a.Header = http.Header{"X-A": {"1", "2"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, protocol.HeaderNotRun: {"true"}}
		return a, nil
	}, Config{})
	addr := startServer(t, srv)
	for _, size = range []int{0, 1, 65535, 65536, 65537, 1 << 20} {
		resp, err := newHTTPClient().Get("http://" + addr + "/v1/services/cluebook/x")
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), size)
		assert.DeepEqual(t, resp.Header["X-A"], []string{"1", "2"})
		assert.Equal(t, resp.Header.Get("X-Hop")+resp.Header.Get(protocol.HeaderNotRun)+resp.Header.Get("Content-Type"), "")
	}
}

// Guards against callers that hold a request open by sending its body slowly.
func TestSlowBodyIsRefusedAsNotRun(t *testing.T) {
	srv := newServer(echo, Config{BodyTimeout: 30 * time.Millisecond})
	conn, err := net.Dial("tcp", startServer(t, srv))
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/services/cluebook/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 408)
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), "not_run")
}

// Guards against a read deadline of the body that cancels the request after the
// body was read.
func TestBodyTimeoutDoesNotEndTheRequest(t *testing.T) {
	srv := newServer(func(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
		select {
		case <-ctx.Done():
			return nil, badRequest("context ended", "none")
		case <-time.After(100 * time.Millisecond):
			return echo(ctx, r)
		}
	}, Config{BodyTimeout: 30 * time.Millisecond})
	resp, err := newHTTPClient().Post("http://"+startServer(t, srv)+"/v1/services/cluebook/x", "text/plain", strings.NewReader("abc"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// startSlowServer starts a server whose path /slow closes entered and responds
// once release is closed.
func startSlowServer(t *testing.T) (srv *Server, addr string, entered, release chan struct{}) {
	entered, release = make(chan struct{}), make(chan struct{})
	srv = newServer(func(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
		if r.Path == "/slow" {
			close(entered)
			<-release
		}
		return echo(ctx, r)
	}, Config{})
	return srv, startServer(t, srv), entered, release
}

// Guards against a planned stop that interrupts a request or refuses one that
// arrives while another is in flight.
func TestShutdownFinishesRequests(t *testing.T) {
	srv, addr, entered, release := startSlowServer(t)
	get := func(path string) (*http.Response, error) {
		return newHTTPClient().Get("http://" + addr + "/v1/services/cluebook" + path)
	}
	slow := make(chan *http.Response, 1)
	go func() {
		resp, _ := get("/slow")
		slow <- resp
	}()
	<-entered
	assert.Equal(t, len(srv.InFlight()), 1)
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Shutdown(context.Background()) }()
	for !srv.Leaving() {
		time.Sleep(time.Millisecond)
	}
	resp, err := get("/quick")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(protocol.HeaderEntryLeaving), "true")
	close(release)
	resp = <-slow
	assert.Assert(t, resp != nil)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get(protocol.HeaderEntryLeaving), "true")
	assert.NilError(t, <-stopped)
	_, err = get("/late")
	assert.Assert(t, err != nil)
}

// Guards against a panic in a handler that ends the process or is not reported
// as outcome unknown, and against requests above MaxInFlight.
func TestPanicAndLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	srv := newServer(func(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
		if r.Path == "/panic" {
			panic("fault")
		}
		close(entered)
		<-release
		return echo(ctx, r)
	}, Config{MaxInFlight: 1})
	send := func(path string) *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		srv.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/v1/services/cluebook"+path, nil))
		checkResponse(t, rec)
		return rec
	}
	rec := send("/panic")
	assert.Equal(t, rec.Code, 500)
	assert.Equal(t, rec.Header().Get(protocol.HeaderOutcome), "unknown")
	done := make(chan struct{})
	go func() { send("/slow"); close(done) }()
	<-entered
	rec = send("/second")
	assert.Equal(t, rec.Code, 503)
	assert.Equal(t, rec.Header().Get(protocol.HeaderOutcome), "not_run")
	close(release)
	<-done
}

// Guards against metrics that omit requests, and against series for service
// names that callers made up.
func TestMetrics(t *testing.T) {
	srv := newServer(func(_ context.Context, r *Request) (*Response, *protocol.Problem) {
		return nil, newRefusal(404, protocol.CodeUnknownService, "no such service", "check the name")
	}, Config{})
	srv.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/v1/services/made-up/x", nil))
	srv.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/v1/lookup?service=cluebook", nil))
	var out strings.Builder
	srv.cfg.Metrics.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `hickory_requests_total{service="",outcome="not_run",code="unknown_service"} 1`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `hickory_requests_total{service="cluebook",outcome="answered",code="200"} 1`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `hickory_request_duration_seconds_count{service="cluebook"} 1`), out.String())
}

// Guards against a planned stop that interrupts a request which it accepted when
// too little time was left: such a request is refused as not run, and one whose
// deadline lies before the end of the stop is served.
func TestShutdownRefusesRequestsItWouldInterrupt(t *testing.T) {
	srv, addr, entered, release := startSlowServer(t)
	get := func(path, deadlineMs string) (int, string) {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/services/cluebook"+path, nil)
		assert.Check(t, err)
		req.Header.Set(protocol.HeaderDeadlineMs, deadlineMs)
		resp, err := newHTTPClient().Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get(protocol.HeaderOutcome)
	}
	slow := make(chan int, 1)
	go func() {
		status, _ := get("/slow", "20000")
		slow <- status
	}()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Shutdown(ctx) }()
	for !srv.Leaving() {
		time.Sleep(time.Millisecond)
	}
	status, outcome := get("/late", "20000")
	assert.Equal(t, status, 503)
	assert.Equal(t, outcome, "not_run")
	status, _ = get("/short", "2000")
	assert.Equal(t, status, 200)
	close(release)
	assert.Equal(t, <-slow, 200)
	assert.NilError(t, <-stopped)
}
