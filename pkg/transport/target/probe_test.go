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
