package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const ok = "HTTP/1.1 200 OK\r\n"

// peek checks a head that arrives byte by byte.
func peek(text string) (string, error) {
	head, err := Peek(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))))
	return string(head), err
}

// valid are heads that a sound target may send.
var valid = []string{
	ok + "\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 599 \r\n\r\n", "HTTP/1.1 100\r\n\r\n", "HTTP/1.1 404 Not\tF\xf6und\r\n\r\n",
	ok + "A:\r\nB:x\r\nC: \t x y \t\r\nD: \xf6\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
	ok + "content-length: 0\r\nContent-Length:0 \r\n\r\n", ok + "transfer-encoding:\tCHUNKED\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 7\r\n\r\n", ok + "Content-Lengths: x\r\nTransfer-Encodings: y\r\n\r\n",
}

// invalid are heads of targets in trouble.
var invalid = map[string][]string{
	"status": {
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 007 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 20 OK\r\n",
		"HTTP/1.1 2000 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200\tOK\r\n",
		"HTTP/1.1\t200 OK\r\n", "HTTP/1.1 200", "HTTP/1.1 \r\n", "HTTP/1.1\r\n", "\r\n", "\n", "HTTP/1.2 200 OK\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.10 200 OK\r\n", "http/1.1 200 OK\r\n", " HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 O\rK\r\n", "garbage\r\n",
	},
	"names": {
		ok + "X Bad: 1\r\n", ok + "X-Bad : 1\r\n", ok + "X-Bad\t: 1\r\n", ok + "X\x01Bad: 1\r\n", ok + "X\x00: 1\r\n", ok + "X\x7f: 1\r\n", ok + "X\xf6: 1\r\n",
		ok + ": 1\r\n", ok + "X\r\n", ok + "X(1): 1\r\n", ok + "\"X\": 1\r\n", ok + "X\rBad: 1\r\n", ok + "\rX: 1\r\n",
		ok + "A: 1\r\n X-Folded: 2\r\n", ok + " A: 1\r\n", ok + "A: 1\r\n\tfolded\r\n", ok + "A: 1\n", ok + "A: 1\r\n\nB: 2\r\n", ok + "A: 1\r\r\n",
		ok + "A: \x00\r\n", ok + "A: x\x0by\r\n", ok + "A: x\ry\r\n", ok + "A: \x7f\r\n", ok + "Content-Length : 1\r\nContent-Length: 2\r\n\r\n",
	},
	"framing": {
		ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", ok + "Content-Length: 1, 1\r\n\r\n", ok + "Content-Length: +1\r\n\r\n", ok + "Content-Length: -1\r\n\r\n",
		ok + "Content-Length:\r\n\r\n", ok + "Content-Length: 1 2\r\n\r\n", ok + "Content-Length: 0x1\r\n\r\n", ok + "Content-Length: 9223372036854775808\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", ok + "Transfer-Encoding: identity\r\n\r\n", ok + "Transfer-Encoding:\r\n\r\n", ok + "Transfer-Encoding: chunked, chunked\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ok + "Transfer-Encoding: xchunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	},
}

// Guards against heads of targets in trouble that are accepted, and against heads of
// sound targets that are not.
func TestPeekTellsValidHeadsFromOthers(t *testing.T) {
	for _, text := range valid {
		head, err := peek(text + "body\r\n\r\n")
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, head, text)
	}
	for group, texts := range invalid {
		for _, text := range texts {
			_, err := peek(text)
			var invalid *Error
			assert.Assert(t, errors.As(err, &invalid) || errors.Is(err, io.ErrUnexpectedEOF) && !strings.HasSuffix(text, "\n"), "%s: %q: %v", group, text, err)
		}
	}
	for _, cut := range []string{"HTTP/1.1 200 OK", ok, ok + "A: 1", ok + "A: 1\r\n", ok + "\r"} {
		_, err := peek(cut)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", cut)
	}
	_, err := peek("")
	assert.Equal(t, err, io.EOF)
	_, err = peek(ok + "X: " + strings.Repeat("x", 4<<10))
	assert.Equal(t, err, bufio.ErrBufferFull)
}

// Guards against a checked head that net/http understands in another way: in which it
// finds a further field, another end of the head or another end of the body.
func FuzzPeek(f *testing.F) {
	for _, text := range valid {
		f.Add([]byte(text + "body"))
	}
	for _, texts := range invalid {
		for _, text := range texts {
			f.Add([]byte(text + "\r\nbody"))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		head, err := Peek(bufio.NewReaderSize(bytes.NewReader(text), len(text)+16))
		if err != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "%q", head)
		assert.Equal(t, reader.Buffered(), len(text)-len(head), "net/http reads another head than %q", head)
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599)
		fields := bytes.Count(head, []byte("\n")) - 2
		for name, values := range resp.Header {
			fields -= len(values)
			assert.Assert(t, !strings.ContainsAny(name, " \t\r\n\x00"), "%q", name)
		}
		// net/http removes the fields of the framing, and repeated lengths.
		folded := bytes.Count(bytes.ToLower(head), []byte("\ncontent-length:")) + bytes.Count(bytes.ToLower(head), []byte("\ntransfer-encoding:")) +
			bytes.Count(bytes.ToLower(head), []byte("\ntrailer:")) + bytes.Count(bytes.ToLower(head), []byte("\nconnection:"))
		assert.Assert(t, fields >= 0 && fields <= folded, "%q: %d fields", head, fields)
		if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
			assert.Assert(t, resp.ContentLength < 0 && resp.Header.Get("Content-Length") == "", "%q", head)
		}
	})
}
