package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// OrderAnswer is the answer to an order that ran.
type OrderAnswer struct {
	Ticket string          `json:"ticket"`
	Result json.RawMessage `json:"result"`
}

// Check returns the problems of a received answer.
func (a *OrderAnswer) Check() modeler.Problems {
	var p modeler.Problems
	if a.Ticket == "" {
		p.Add("is empty", "ticket")
	}
	return p
}

// OrderHandler answers orders, that is, non-idempotent requests, on one VM.
type OrderHandler struct {
	Orderer *orderer.Orderer
	OnDone  func(kind string, took time.Duration) // called after every submission with the error kind, empty on success
}

// issue answers a request without a ticket with a redirect to the same path with a new ticket; it runs nothing.
func (h *OrderHandler) issue(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderKey) != "" {
		Refuse(w, r, refuser.New(refuser.UnsupportedKey, "follow the redirect to the ticket in place of header %s", HeaderKey))
		return
	}
	if _, err := timeBudget(r); err != nil {
		Refuse(w, r, err)
		return
	}
	service := mux.Vars(r)["service"]
	ticket, err := h.Orderer.Issue(modeler.ServiceName(service))
	if err != nil {
		Refuse(w, r, err)
		return
	}
	w.Header().Set("Location", "/v1/order/"+service+"/"+ticket)
	w.WriteHeader(http.StatusTemporaryRedirect)
}

func (h *OrderHandler) decode(r *http.Request) (orderer.Submission, error) {
	budget, err := timeBudget(r)
	if err != nil {
		return orderer.Submission{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return orderer.Submission{}, bodyRefusal(err, BodyTimeout)
	}
	if !json.Valid(body) {
		return orderer.Submission{}, refuser.New(refuser.MalformedRequest, "order is not JSON")
	}
	vars := mux.Vars(r)
	return orderer.Submission{
		Service: modeler.ServiceName(vars["service"]), Ticket: vars["ticket"], Body: body, Deadline: time.Now().Add(budget),
	}, nil
}

func (h *OrderHandler) serve(ctx context.Context, s orderer.Submission) (OrderAnswer, error) {
	start := time.Now()
	out := h.Orderer.Submit(ctx, s)
	h.OnDone(string(out.Kind), time.Since(start))
	if out.Kind != "" {
		return OrderAnswer{}, &refuser.Refusal{Kind: out.Kind, Detail: out.Detail}
	}
	return OrderAnswer{s.Ticket, out.Result}, nil
}
