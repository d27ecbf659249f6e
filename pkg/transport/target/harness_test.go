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

// Fixes the seed, so that each run gives the same verdict.
func init() { _ = flag.Set("rapid.seed", "1") }

// script plays the target on the n-th connection, counted from 1.
type script func(n int, c net.Conn)

// pipeClient returns a client whose connections are pipes to play.
func pipeClient(cfg Config, play script) *Client {
	var dials atomic.Int64
	cfg.Dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		n := int(dials.Add(1))
		go func() {
			defer far.Close()
			play(n, far)
		}()
		return near, nil
	}
	return New(cfg)
}

// listen runs play for each TCP connection and returns the address.
func listen(t *testing.T, play script) string {
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
				play(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

// counter is a target that counts the requests it has read as a whole.
type counter struct{ runs atomic.Int64 }

// read reads one whole request and counts it as run.
func (k *counter) read(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	k.runs.Add(1)
	return req, nil
}

// reply makes an answer that echoes the id of req.
func reply(req *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		protocol.HeaderRequestID, req.Header.Get(protocol.HeaderRequestID), len(body), body)
}

// serve answers all requests of a connection with their ids.
func (k *counter) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := k.read(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, reply(req, req.Header.Get(protocol.HeaderRequestID))); err != nil {
			return
		}
	}
}

// reset closes a TCP connection with RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func post(address, id, body string) *Request {
	return &Request{
		Target: protocol.TargetRef{Address: address, Region: "sask"}, LocalRegion: "sask",
		Method: http.MethodPost, Path: "/x", RequestID: id, Ticket: "ticket",
		Body: strings.NewReader(body), ContentLength: int64(len(body)),
	}
}

// fetch returns the whole body of the answer.
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
