package server

import (
	"context"
	"net/http"
)

// announceClose tells callers with each answer that its connection is closed, once the context has ended.
func announceClose(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, ended: ctx.Err}, r)
	})
}

// closingWriter adds to an answer that its connection is closed, if the context has ended by the time of its head.
type closingWriter struct {
	http.ResponseWriter
	ended  func() error
	headed bool
}

// WriteHeader sends the head of the answer.
func (w *closingWriter) WriteHeader(status int) {
	w.head()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the head.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.head()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) head() {
	if !w.headed && w.ended() != nil {
		w.Header().Set("Connection", "close")
	}
	w.headed = true
}
