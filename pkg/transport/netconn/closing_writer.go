package netconn

import (
	"io"
	"net/http"
)

// ClosingWriter is an http.ResponseWriter that decides whether the response
// closes its connection when the head of the response is written. What requires
// that, such as a planned stop, may begin while the request is served.
type ClosingWriter struct {
	http.ResponseWriter
	// MustClose reports whether the connection may carry no further request.
	MustClose func() bool

	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *ClosingWriter) WriteHeader(status int) {
	w.headWritten = w.headWritten || status >= http.StatusOK
	if w.MustClose() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *ClosingWriter) Write(p []byte) (int, error) {
	w.writeHead()
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, which copies with the buffers of the
// server.
func (w *ClosingWriter) ReadFrom(r io.Reader) (int64, error) {
	w.writeHead()
	return io.Copy(w.ResponseWriter, r)
}

func (w *ClosingWriter) writeHead() {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *ClosingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
