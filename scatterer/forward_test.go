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

// The typical latency of a service is 60 ms. It is asked as a single shard and as one of two shards.
func TestStallLimit(t *testing.T) {
	c := modeler.Configuration{Services: []modeler.Service{{Name: "portal"}, {Name: "desk"}}}
	v := planner.NewView(modeler.Position{Revision: 1}, "d", nil, []modeler.Configuration{c}, observer.NewObserver())
	for range 50 {
		v.Services[0].Health.Record(60 * time.Millisecond)
	}
	single := &planner.Snapshot{Shards: []planner.Shard{{Service: 0}}}
	if got := stallLimit(v, single); got < 140*time.Millisecond || got > 160*time.Millisecond {
		t.Errorf("stall limit of a single-shard request is %s, want 140 to 160 ms (StallFactor times 60 ms)", got)
	}
	two := &planner.Snapshot{Shards: []planner.Shard{{Service: 0}, {Service: 1}}}
	if got := stallLimit(v, two); got != StallLimit {
		t.Errorf("stall limit of a two-shard request is %s, want StallLimit", got)
	}
	unknown := &planner.Snapshot{Shards: []planner.Shard{{Service: -1}}}
	if got := stallLimit(v, unknown); got != StallLimit {
		t.Errorf("stall limit of a shard without service is %s, want StallLimit", got)
	}
}

func TestMergeRecords(t *testing.T) {
	reply := func(body string) ShardReply {
		p := ShardReply{}
		p.Reply.Body = []byte(body)
		return p
	}
	got := string(MergeRecords([]ShardReply{reply("aabbcc"), reply("bbdd"), reply("zzx"), reply("")}, 2, 4))
	if got != "zzddccbb" {
		t.Errorf("merged records %q, want zzddccbb: equal records are all kept, a shorter remainder is ignored", got)
	}
	if got := MergeRecords(nil, 2, 4); len(got) != 0 {
		t.Errorf("merging no answers returned %q, want nothing", got)
	}
}

func TestWhichAttemptsNeedAProvenConnection(t *testing.T) {
	tests := []struct {
		purpose       gatherer.Purpose
		atMostOnce    bool
		provenOnly    bool
		newConnection bool
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
		call := dialer.Call{NewConnection: a.Purpose == gatherer.Probe}
		r.forwardCall(&call, a)
		if call.ProvenOnly != tt.provenOnly || call.NewConnection != tt.newConnection {
			t.Errorf("call of a %s attempt, at most once %t: ProvenOnly %t, NewConnection %t; want ProvenOnly exactly for retries, probes and at-most-once requests, NewConnection exactly for probes", tt.purpose, tt.atMostOnce, call.ProvenOnly, call.NewConnection)
		}
	}
}
