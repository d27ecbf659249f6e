package netconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures a request on a kept connection, with the work of the
// caller, and one of two that are sent together.
func BenchmarkRequest(b *testing.B) {
	const response = "HTTP/1.1 204 No Content\r\n\r\n"
	for name, count := range map[string]int{"alone": 1, "two together": 2} {
		b.Run(name, func(b *testing.B) {
			_, dial := serveCallers(b, false, func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Date"] = nil
				w.WriteHeader(http.StatusNoContent)
			})
			conn := dial()
			requests, responses := strings.Repeat(shortRequest, count), make([]byte, count*len(response))
			b.ReportAllocs()
			for range b.N / count {
				_, _ = io.WriteString(conn, requests)
				if _, err := io.ReadFull(conn, responses); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
