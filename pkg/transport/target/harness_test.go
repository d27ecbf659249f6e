package target

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Fixes the seed of rapid, so that each run checks the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// connHandler acts as the target on the n-th connection, counted from 1.
type connHandler func(n int, c net.Conn)

// pipeClient returns a client whose connections are pipes to handle.
func pipeClient(cfg Config, handle connHandler) *Client {
	var dials atomic.Int64
	cfg.Dial = func(context.Context, string) (net.Conn, error) {
		clientEnd, targetEnd := net.Pipe()
		n := int(dials.Add(1))
		go func() {
			defer targetEnd.Close()
			handle(n, targetEnd)
		}()
		return clientEnd, nil
	}
	return New(cfg)
}

// listen runs handle for each TCP connection and returns the address.
func listen(t *testing.T, handle connHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

// countingTarget counts the requests that it has read completely.
type countingTarget struct{ runs atomic.Int64 }

// readRequest reads one whole request and counts it as run.
func (counter *countingTarget) readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	counter.runs.Add(1)
	return req, nil
}

// echoResponse returns a response that echoes the id of req.
func echoResponse(req *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		protocol.HeaderRequestID, req.Header.Get(protocol.HeaderRequestID), len(body), body)
}

// serve responds to all requests of a connection with their ids as bodies.
func (counter *countingTarget) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := counter.readRequest(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, echoResponse(req, req.Header.Get(protocol.HeaderRequestID))); err != nil {
			return
		}
	}
}

// closeWithRST closes a TCP connection with RST.
func closeWithRST(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func newPost(address, id, body string) *Request {
	return &Request{
		Target: protocol.TargetRef{Address: address, Region: "sask"}, LocalRegion: "sask",
		Method: http.MethodPost, Path: "/x", RequestID: id, Ticket: "ticket",
		Body: strings.NewReader(body), ContentLength: int64(len(body)),
	}
}

// fetch returns the whole body of the response.
func fetch(ctx context.Context, c *Client, r *Request) (string, *Failure) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return "", asFailure(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(body), asFailure(err)
	}
	return string(body), nil
}

func asFailure(err error) *Failure {
	var f *Failure
	if !errors.As(err, &f) {
		panic(fmt.Sprintf("error %v is not a *Failure", err))
	}
	return f
}

// dialOnly returns a Config.Dial that opens conn.
func dialOnly(conn net.Conn) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) { return conn, nil }
}
