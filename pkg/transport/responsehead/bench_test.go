package responsehead

import (
	"bufio"
	"bytes"
	"testing"
)

// BenchmarkPeek measures the check of a head such as that of a target's response.
func BenchmarkPeek(b *testing.B) {
	head := []byte(ok + "Example-Request-Id: 9c41d07be2a35f68\r\nExample-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Example-Server-Load: 3,0,8,100\r\nContent-Length: 600\r\nKeep-Alive: timeout=10\r\n\r\n")
	source := bytes.NewReader(head)
	r := bufio.NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(head)
		r.Reset(source)
		if _, err := Peek(r); err != nil {
			b.Fatal(err)
		}
	}
}
