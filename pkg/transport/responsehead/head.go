// Package responsehead checks the heads of HTTP/1 responses before they are parsed.
// net/http accepts names of fields with blanks, some statuses that do not exist and
// framing that can be understood in two ways. A process in trouble sends such heads,
// and its response must not be taken for an answer.
//
// A head is checked against RFC 9112, sections 4, 5.1, 5.2 and 6.3: the status is a
// number from 100 to 599, all lines end with CRLF and none is folded, names are
// tokens directly followed by a colon, values hold no control bytes, and at most one
// field says where the body ends.
package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxShownBytes limits the part of a line that an error shows.
const maxShownBytes = 60

// Error says why a head is not valid.
type Error struct {
	Line   int    // counted from 1, which is the status line
	Text   string // the start of the line
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d of the head of the response, %q, %s", e.Line, e.Text, e.Reason)
}

// Peek waits for the next head in r and checks each line as it arrives. It returns
// the head, which stays in the buffer of r. Errors about the head are of type *Error;
// bufio.ErrBufferFull means that it is longer than the buffer.
func Peek(r *bufio.Reader) ([]byte, error) {
	var c checker
	for at := 0; ; {
		buffered, _ := r.Peek(r.Buffered()) // cannot fail for what is buffered
		for {
			n := bytes.IndexByte(buffered[at:], '\n') + 1
			if n == 0 {
				break
			}
			end, err := c.check(buffered[at : at+n])
			if err != nil {
				return nil, err
			}
			at += n
			if end {
				return buffered[:at], nil
			}
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			if errors.Is(err, io.EOF) && len(buffered) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// checker checks one head, line by line.
type checker struct {
	line   int // the number of lines so far
	status int
	framing
}

// check checks the next line with its line feed. It reports whether the line ends the
// head.
func (c *checker) check(line []byte) (end bool, err error) {
	c.line++
	reason := ""
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		reason = "does not end with CRLF"
	case c.line == 1:
		reason = c.checkStatusLine(text)
	case len(text) == 0:
		end, reason = true, c.framing.check()
	default:
		reason = c.checkField(text)
	}
	if reason != "" {
		return false, &Error{Line: c.line, Text: string(line[:min(len(line), maxShownBytes)]), Reason: reason}
	}
	return end, nil
}

const (
	versionPrefix = "HTTP/1."
	// statusAt is the place of the status in a status line, and reasonAt that of the
	// blank after it.
	statusAt, reasonAt = len(versionPrefix) + 2, len(versionPrefix) + 5
)

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". It returns why the line is
// not valid, or "".
func (c *checker) checkStatusLine(line []byte) (reason string) {
	if len(line) < reasonAt || string(line[:len(versionPrefix)]) != versionPrefix || line[statusAt-1] != ' ' {
		return "is no status line of HTTP/1"
	}
	minor := line[statusAt-2]
	if minor != '0' && minor != '1' {
		return "states an unknown version"
	}
	c.framing.oldVersion = minor == '0'
	for _, digit := range line[statusAt:reasonAt] {
		if digit < '0' || digit > '9' {
			return "has a status that is no number of three digits"
		}
		c.status = 10*c.status + int(digit-'0')
	}
	if c.status < 100 || c.status > 599 {
		return "has a status outside of 100 to 599"
	}
	if len(line) == reasonAt {
		return "" // net/http and others leave out the blank of an empty reason
	}
	if line[reasonAt] != ' ' {
		return "has a status that is no number of three digits"
	}
	return checkText(line[reasonAt:])
}
