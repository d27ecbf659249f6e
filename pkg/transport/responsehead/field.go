package responsehead

import "bytes"

// isToken tells the bytes of a token (RFC 9110, section 5.6.2).
var isToken = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()

// checkField checks a line such as "Name: value".
func (c *checker) checkField(line []byte) (reason string) {
	colon := 0
	for colon < len(line) && isToken[line[colon]] {
		colon++
	}
	switch {
	case colon == len(line) || line[colon] != ':':
		return "does not begin with a name and a colon"
	case colon == 0:
		return "has no name"
	}
	value := line[colon+1:]
	if reason := checkText(value); reason != "" {
		return reason
	}
	return c.framing.add(line[:colon], value)
}

// checkText checks a value or a reason, which hold no control bytes but tabs.
func checkText(text []byte) (reason string) {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return "holds a control byte"
		}
	}
	return ""
}

// trimBlanks removes the blanks around a value.
func trimBlanks(value []byte) []byte { return bytes.Trim(value, " \t") }
