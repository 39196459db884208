package scatterer

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// The load: a service whose requests usually take 60 ms, alone and as one shard of two.
func TestStallLimit(t *testing.T) {
	c := modeler.Configuration{Services: []modeler.Service{{Name: "portal"}, {Name: "desk"}}}
	v := planner.NewView(1, "d", nil, []modeler.Configuration{c}, observer.NewObserver())
	for range 50 {
		v.Services[0].Health.Record(60 * time.Millisecond)
	}
	single := &planner.Snapshot{Shards: []planner.Shard{{Service: 0}}}
	if got := stallLimit(v, single); got < 140*time.Millisecond || got > 160*time.Millisecond {
		t.Errorf("a single request may stall for %s", got)
	}
	parts := &planner.Snapshot{Shards: []planner.Shard{{Service: 0}, {Service: 1}}}
	if got := stallLimit(v, parts); got != StallLimit {
		t.Errorf("a part may stall for %s", got)
	}
	unknown := &planner.Snapshot{Shards: []planner.Shard{{Service: -1}}}
	if got := stallLimit(v, unknown); got != StallLimit {
		t.Errorf("a request to no service may stall for %s", got)
	}
}

func TestMergeRecords(t *testing.T) {
	part := func(body string) Part {
		p := Part{}
		p.Reply.Body = []byte(body)
		return p
	}
	got := string(MergeRecords([]Part{part("aabbcc"), part("bbdd"), part("zzx"), part("")}, 2, 4))
	if got != "zzddccbb" {
		t.Errorf("merged %q: equal records all count, and a remainder is no record", got)
	}
	if got := MergeRecords(nil, 2, 4); len(got) != 0 {
		t.Errorf("nothing merges to %q", got)
	}
}

func TestWhichAttemptsNeedAProvenConnection(t *testing.T) {
	tests := []struct {
		purpose    gatherer.Purpose
		atMostOnce bool
		proven     bool
		fresh      bool
	}{
		{gatherer.Primary, false, false, false},
		{gatherer.Primary, true, true, false},
		{gatherer.Hedge, false, false, false},
		{gatherer.LateHedge, false, false, false},
		{gatherer.Retry, false, true, false},
		{gatherer.Retry, true, true, false},
		{gatherer.Probe, false, true, true},
	}
	for _, tt := range tests {
		a := gatherer.Action{Purpose: tt.purpose}
		r := &run{req: Request{
			View: &planner.View{Searchers: make([]planner.Searcher, 1)}, Snapshot: &planner.Snapshot{Shards: make([]planner.Shard, 2)},
			Forward: &Forward{AtMostOnce: tt.atMostOnce},
		}}
		call := dialer.Call{Fresh: a.Purpose == gatherer.Probe}
		r.forwardCall(&call, a)
		if call.Proven != tt.proven || call.Fresh != tt.fresh {
			t.Errorf("%s, at most once %t: proven %t, fresh %t", tt.purpose, tt.atMostOnce, call.Proven, call.Fresh)
		}
	}
}
