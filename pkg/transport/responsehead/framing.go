package responsehead

import (
	"bytes"
	"strconv"
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// framing holds what a head says about the end of its body.
type framing struct {
	oldVersion bool // HTTP/1.0, which has no chunked coding
	hasLength  bool
	length     uint64
	chunked    bool
}

// add checks a field and records it if it says where the body ends.
func (f *framing) add(name, value []byte) (reason string) {
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, contentLength):
		return f.addLength(trimBlanks(value))
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, transferEncoding):
		return f.addCoding(trimBlanks(value))
	}
	return ""
}

func (f *framing) addLength(value []byte) (reason string) {
	length, err := strconv.ParseUint(string(value), 10, 63)
	switch {
	case err != nil:
		return "is no length"
	case f.hasLength && length != f.length:
		return "differs from an earlier length"
	}
	f.hasLength, f.length = true, length
	return ""
}

func (f *framing) addCoding(value []byte) (reason string) {
	switch {
	case !bytes.EqualFold(value, chunked):
		return "has a transfer coding other than chunked"
	case f.chunked:
		return "repeats the transfer coding"
	}
	f.chunked = true
	return ""
}

// check is called at the end of the head.
func (f *framing) check() (reason string) {
	switch {
	case f.chunked && f.hasLength:
		return "ends a head with both a length and a transfer coding"
	case f.chunked && f.oldVersion:
		return "ends a head of HTTP/1.0 with a transfer coding"
	}
	return ""
}
