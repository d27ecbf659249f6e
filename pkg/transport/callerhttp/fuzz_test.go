package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"hickoryroute/pkg/protocol"
)

// FuzzLookupQuery guards against queries that crash the server or get a
// response without outcome or remedy.
func FuzzLookupQuery(f *testing.F) {
	srv := newServer(echo, Config{})
	for _, query := range []string{"service=cluebook&client=10.0.0.1&zone=sask-a", "service=a&service=b", "client=fe80::1%25eth0&service=a", "%zz", ";"} {
		f.Add(query)
	}
	f.Fuzz(func(t *testing.T, query string) {
		req := httptest.NewRequest(http.MethodGet, "/v1/lookup", nil)
		req.URL.RawQuery = query
		rec := httptest.NewRecorder()
		srv.Handler().ServeHTTP(rec, req)
		checkResponse(t, rec)
	})
}

// FuzzRequestHeaders guards against paths and headers that crash the server or
// get a response without outcome or remedy.
func FuzzRequestHeaders(f *testing.F) {
	srv := newServer(echo, Config{})
	f.Add("POST", "/v1/services/cluebook/x", "1000", validTicket, "id-1", "X-Hop", "body")
	f.Add("GET", "/v1/services/%63/..//x", "-1", "~~~~", "", "close", "")
	f.Fuzz(func(t *testing.T, method, path, deadline, ticket, id, connection, body string) {
		u, err := url.ParseRequestURI(path)
		if err != nil || method == "" {
			return
		}
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.Method, req.URL, req.RequestURI = method, u, path
		req.Header = http.Header{
			protocol.HeaderDeadlineMs: {deadline}, protocol.HeaderIdempotencyKey: {ticket},
			protocol.HeaderRequestID: {id}, "Connection": {connection}, "X-Body": {body},
		}
		rec := httptest.NewRecorder()
		srv.Handler().ServeHTTP(rec, req)
		checkResponse(t, rec)
	})
}
