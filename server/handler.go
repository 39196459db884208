package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Kind       refuser.Kind      `json:"kind"`
	Detail     string            `json:"detail"`
	Request    modeler.RequestID `json:"request-id,omitempty"`
	NotRun     refuser.Tristate  `json:"not-run"`
	MayRetry   bool              `json:"may-retry"`
	RetryAfter modeler.Duration  `json:"retry-after"`
	Harm       refuser.Harm      `json:"harm"`
}

// Check returns the problems of a received body.
func (b *RefusalBody) Check() modeler.Problems {
	var p modeler.Problems
	if b.Kind == "" {
		p.Add("is empty", "kind")
	}
	return p
}

// Handle returns a handler that decodes a request, serves it and writes the answer, or the refusal if either fails.
func Handle[In, Out any](decode func(*http.Request) (In, error), serve func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, err := decode(r)
		if err != nil {
			Refuse(w, r, err)
			return
		}
		out, err := serve(r.Context(), in)
		if err != nil {
			Refuse(w, r, err)
			return
		}
		WriteJSON(w, http.StatusOK, out)
	}
}

// WriteJSON writes a value as JSON, with a checksum of the body in the header dialer.HeaderCheck.
func WriteJSON[T any](w http.ResponseWriter, status int, v T) {
	b, err := json.Marshal(v)
	if err != nil {
		klog.Errorf("server: cannot encode the answer as JSON: %v", err)
		status, b = http.StatusInternalServerError, []byte(`{"kind":"internal"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)+1))
	h.Set(dialer.HeaderCheck, dialer.CheckValue(append(b, '\n')))
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// Refuse writes the refusal within err as JSON, with the status and fields that its error kind has in refuser's table.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	refusal := refuser.From(err)
	row := refuser.Lookup(refusal.Kind)
	if row.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(row.RetryAfter/time.Second)))
	}
	id, _ := modeler.ParseRequestID(r.Header.Get(HeaderRequest))
	WriteJSON(w, row.Status, RefusalBody{
		refusal.Kind, refusal.Detail, id, row.NotRun, row.MayRetry, modeler.Duration{Duration: row.RetryAfter}, row.Harm,
	})
}

// limitBody reads the body of a request within a time limit and a size limit, and refuses requests that cannot be held.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := receiveBody(w, r, MaxBodyBytes, BodyTimeout)
		if err == nil {
			err = startRun(r)
		}
		if err != nil {
			Refuse(w, r, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
