// Package badinput sends malformed requests to a server under test.
package badinput

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fields are lines that make the head of a request invalid. A folded line is not one of
// them: a server may join it with a blank (RFC 9112, section 5.2), as net/http does.
var fields = []string{
	"X Bad: 1\r\n", "X-Bad : 1\r\n", "X\x01Bad: 1\r\n", "X\xf6: 1\r\n", ": 1\r\n", "X\r\n",
	"A: a\x00b\r\n", "A: a\rb\r\n", "A: \x7f\r\n",
	"Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: 2, 2\r\n", "Content-Length: +2\r\n", "Content-Length: -2\r\n",
	"Content-Length : 1\r\nContent-Length: 2\r\n", "Transfer-Encoding : chunked\r\n", "Host: other\r\n",
}

// timeout bounds one request.
const timeout = 5 * time.Second

// Check sends requests whose head begins with start, each with one malformed field and
// with what may be a further request as its body. Each must get status 400 alone, and
// the end of the connection.
func Check(t *testing.T, address, start string) {
	t.Helper()
	for _, field := range fields {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(timeout)))
		_, err = io.WriteString(conn, start+field+"\r\n"+start+"Content-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "%q", field)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "%q", field)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err, "%q", field)
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil, "%q: the rest of the malformed request was answered", field)
		_ = conn.Close()
	}
}
