package server

import (
	"context"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

func TestStopAdmitsWhatItCanAnswer(t *testing.T) {
	route := func(idempotent bool, objective, timeout time.Duration) *planner.Route {
		r := modeler.Route{Idempotent: idempotent, Timeout: modeler.Duration{Duration: timeout}}
		r.Objective.Duration = objective
		return &planner.Route{Route: r}
	}
	const objective, timeout = 200 * time.Millisecond, 2 * time.Second
	tests := []struct {
		name  string
		route *planner.Route
		left  time.Duration // until the stop
		want  bool
	}{
		{"twice its objective", route(true, objective, timeout), 2*objective + AnswerMargin, true},
		{"less than twice its objective", route(true, objective, timeout), 2*objective + AnswerMargin - 1, false},
		{"an order with twice its objective", route(false, objective, timeout), 2*objective + AnswerMargin, false},
		{"an order with four times its objective", route(false, objective, timeout), 4*objective + AnswerMargin, true},
		{"a long objective and a short timeout", route(true, time.Minute, timeout), timeout + AnswerMargin, true},
		{"no objective", route(true, 0, timeout), timeout, false},
	}
	now := time.Now()
	for _, tt := range tests {
		s := NewStop()
		if !s.Admits(now, tt.route) {
			t.Errorf("%s: refused before the stop began", tt.name)
		}
		s.at = now.Add(tt.left)
		if got := s.Admits(now, tt.route); got != tt.want {
			t.Errorf("%s: admitted: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestStopEndsRequestsBeforeTheyAreCutOff(t *testing.T) {
	s := NewStop()
	ctx, cancel := s.Limit(t.Context())
	defer cancel()
	at := time.Now().Add(AnswerMargin + 50*time.Millisecond)
	s.Begin(at)
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the context of a request did not end")
	}
	if now := time.Now(); now.After(at) {
		t.Errorf("the context ended %v after the cut-off, want before it", now.Sub(at))
	}
	if late, cancel := s.Limit(context.Background()); late.Err() == nil {
		defer cancel()
		<-late.Done()
	}
}
