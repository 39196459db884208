package server

import (
	"context"
	"net/http"
)

// announceClose adds "Connection: close" to the answers that h begins to write after the end of the context, that is,
// while the server stops.
func announceClose(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, ctxErr: ctx.Err}, r)
	})
}

// closingWriter adds "Connection: close" to an answer if the context has ended by the time its headers are written.
type closingWriter struct {
	http.ResponseWriter
	ctxErr      func() error
	wroteHeader bool
}

// WriteHeader writes the status and headers, with the announcement if the context has ended.
func (w *closingWriter) WriteHeader(status int) {
	w.announceOnce()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body; the first call also writes the headers if WriteHeader was not called.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.announceOnce()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceOnce sets the header before the first write; afterwards headers can no longer change.
func (w *closingWriter) announceOnce() {
	if !w.wroteHeader && w.ctxErr() != nil {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
}
