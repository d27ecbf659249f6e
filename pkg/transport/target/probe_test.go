package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against a probe that takes the late copy of the refusal of a request for
// its own response, so that a healthy target gets no more requests.
func TestProbeTakesNoResponseToARequest(t *testing.T) {
	client := pipeClient(Config{}, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		counter := &countingTarget{}
		request, err := counter.readRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get(protocol.HeaderRequestID)
		refusal := fmt.Sprintf("HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nHickory-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		_, _ = c.Write([]byte(refusal))
		if _, err := counter.readRequest(r); err != nil {
			return
		}
		_, _ = c.Write([]byte(refusal + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	})
	defer client.Close()
	_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
	assert.Assert(t, f != nil && f.NotRun)
	health, err := (&Prober{Client: client, LocalRegion: "sask"}).Health(context.Background(), protocol.TargetRef{Address: "target", Region: "sask"})
	var mismatched *Failure
	assert.Assert(t, errors.As(err, &mismatched) && mismatched.Reused, "%+v, %v", health, err)
	assert.Equal(t, mismatched.Kind, KindMismatched)
}

// Guards against a probe that takes the late copy of the response to an earlier
// probe for its own.
func TestProbeTakesNoResponseToAnEarlierProbe(t *testing.T) {
	client := pipeClient(Config{}, func(_ int, c net.Conn) {
		earlier := ""
		counter := &countingTarget{}
		for r := bufio.NewReader(c); ; {
			probe, err := counter.readRequest(r)
			if err != nil {
				return
			}
			response := echoResponse(probe, `{"state":"ready"}`)
			if _, err := c.Write([]byte(earlier + response)); err != nil {
				return
			}
			earlier = response
		}
	})
	defer client.Close()
	p := &Prober{Client: client, LocalRegion: "sask"}
	target := protocol.TargetRef{Address: "target", Region: "sask"}
	_, err := p.Health(context.Background(), target)
	assert.NilError(t, err)
	_, err = p.Health(context.Background(), target)
	var mismatched *Failure
	assert.Assert(t, errors.As(err, &mismatched) && mismatched.Reused, "%v", err)
	assert.Equal(t, mismatched.Kind, KindMismatched)
}

// Guards against a request without an id that takes the late response to another
// request. A target may give an id of its own to such a request, so one is accepted
// on a new connection.
func TestRequestWithoutIDTakesNoResponseToAnotherRequest(t *testing.T) {
	const withID = "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nContent-Length: 2\r\n\r\nok"
	client := pipeClient(Config{}, respondWith(withID, withID))
	defer client.Close()
	_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
	assert.Assert(t, f == nil, "%v", f)
	_, f = fetch(context.Background(), client, newPost("target", "", "body"))
	assert.Assert(t, f != nil && f.Reused && f.Kind == KindMismatched, "%v", f)
	_, f = fetch(context.Background(), client, newPost("target", "", "body"))
	assert.Assert(t, f == nil, "on a new connection: %v", f)
}

// Guards against a cut or malformed response to a probe that is taken for a sign of
// health, of load or of draining.
func TestBadResponseToAProbeIsNoSign(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"state\":\"ready\",\"slots\":3}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n{\"state\":\"ready\",\"slots\":3}\r\n",
		"HTTP/1.1 200 OK\r\n\r\n{\"state\":\"ready\",\"slots\":3}",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 27\r\n\r\n{\"state\":\"ready\",\"slots\":3}",
		"HTTP/1.1 299 OK\r\nContent-Length : 9\r\nContent-Length: 27\r\n\r\n{\"state\":\"ready\",\"slots\":3}",
		"HTTP/1.1 000 OK\r\nHickory-Draining: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nHickory-Draining: true\r\nContent-Length: 9\r\n\r\n",
	} {
		client := pipeClient(Config{}, func(_ int, c net.Conn) {
			if _, err := (&countingTarget{}).readRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(response))
			}
		})
		p, ref := &Prober{Client: client, LocalRegion: "sask"}, protocol.TargetRef{Address: "target", Region: "sask"}
		health, err := p.Health(context.Background(), ref)
		assert.Assert(t, err != nil && health == Health{}, "%.40q: %+v", response, health)
		load, err := p.Load(context.Background(), ref)
		assert.Assert(t, err != nil && load == LoadReport{}, "%.40q: %+v", response, load)
		client.Close()
	}
}
