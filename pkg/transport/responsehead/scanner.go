package responsehead

import "bytes"

// maxLineBytes limits a line of which the end has not arrived.
const maxLineBytes = 64 << 10

// Scanner checks a head that arrives in parts of any size, with the interim responses
// before it. The zero value awaits a head.
type Scanner struct {
	checker
	partial []byte // the start of a line whose end has not arrived
}

// Scan checks the next bytes. It reports whether the head of the final response has
// ended; what follows it is not looked at. An error is of type *Error.
func (s *Scanner) Scan(p []byte) (done bool, err error) {
	for len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			return false, s.keep(p)
		}
		line := p[:n]
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = s.partial[:0]
		}
		end, err := s.check(line)
		if err != nil {
			return false, err
		}
		if end && s.status >= 200 {
			return true, nil
		}
		if end {
			s.checker = checker{}
		}
		p = p[n:]
	}
	return false, nil
}

func (s *Scanner) keep(part []byte) error {
	s.partial = append(s.partial, part...)
	if len(s.partial) > maxLineBytes {
		return &Error{Line: s.line + 1, Text: string(s.partial[:maxShownBytes]), Reason: "has no end"}
	}
	return nil
}
