package checkedhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveRaw answers each request on its own listener with the bytes of response, and
// ends the connection with end.
func serveRaw(t *testing.T, response string, end func(*net.TCPConn)) (url string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer raw.Close()
				if r, err := http.ReadRequest(bufio.NewReaderSize(raw, 1<<10)); err == nil {
					_, _ = io.WriteString(raw, response)
					end(raw.(*net.TCPConn))
					_ = r
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func properEnd(*net.TCPConn) {}

// post sends a request with a body and returns the whole response.
func post(t *testing.T, client *http.Client, url string, body io.Reader) (string, error) {
	resp, err := client.Post(url, "text/plain", body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against heads that net/http accepts and package responsehead does not.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for _, c := range []struct {
		response string
		accepted bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\n\r\nok", true},
		{"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 103 Early\r\nX-Bad : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
	} {
		text, err := post(t, client, serveRaw(t, c.response, properEnd), strings.NewReader("x"))
		assert.Equal(t, err == nil, c.accepted, "%.60q: %v", c.response, err)
		assert.Equal(t, text == "ok", c.accepted, "%.60q", c.response)
	}
}

// Guards against a part of a reply that is taken for the whole, because the writer of
// the request has got the error of the reset.
func TestResetDuringUploadIsNoProperEnd(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	url := serveRaw(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", func(c *net.TCPConn) {
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	})
	for n := range 100 {
		text, err := post(t, client, url, strings.NewReader(strings.Repeat("x", 3<<20)))
		assert.Assert(t, err != nil, "play %d: %q was taken for a whole reply", n, text)
	}
}

// Guards against connections that are checked only once, or not at all over TLS, and
// against a check that one call disturbs for another.
func TestEachResponseOfAConnectionIsChecked(t *testing.T) {
	var bad atomic.Bool
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if bad.Load() {
			raw, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok")
				_ = raw.Close()
			}
		}
	})
	for _, server := range []*httptest.Server{httptest.NewServer(handler), httptest.NewTLSServer(handler)} {
		defer server.Close()
		base := &http.Transport{MaxIdleConnsPerHost: 2}
		if server.TLS != nil {
			base.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
		}
		client := &http.Client{Transport: NewTransport(base)}
		bad.Store(false)
		failures := make(chan error, 8)
		for range cap(failures) {
			go func() {
				var err error
				for n := 0; n < 50 && err == nil; n++ {
					_, err = post(t, client, server.URL, strings.NewReader(fmt.Sprint(n)))
				}
				failures <- err
			}()
		}
		for range cap(failures) {
			assert.NilError(t, <-failures)
		}
		bad.Store(true)
		_, err := post(t, client, server.URL, strings.NewReader("x"))
		assert.ErrorContains(t, err, "does not begin with a name and a colon")
		client.CloseIdleConnections()
	}
}
