package scatterer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// Request is one query, or the part of it that this VM runs.
type Request struct {
	ID       modeler.RequestID
	View     *planner.View
	Index    *planner.Index
	Snapshot *planner.Snapshot
	Body     []byte
	Limit    int
	Deadline time.Time
	Forward  *Forward // nil for a search
}

// Forward is what a request on a route needs beyond a search: the caller's message, which is passed on, and how often
// it may run.
type Forward struct {
	Message     *dialer.Message
	Patience    time.Time // from here on the least coverage is enough
	MaxRuns     int       // limit of one shard's attempts that may have run
	AtMostOnce  bool      // no attempt follows one that may have run
	Reserve     float64   // fraction of a limited searcher's burst that is left to more urgent routes
	Fingerprint observer.Fingerprint
}

// Result is the outcome of a request.
type Result struct {
	Snapshot       modeler.SnapshotID
	Hits           []dialer.Hit
	Shards         int
	Answered       int    // shards that answered
	Documents      uint64 // documents searched
	TotalDocuments uint64 // documents of the snapshot
	Missing        []modeler.ShardName
	Sent           int  // attempts that found a connection
	Primaries      int  // first attempts of their shard
	Shed           int  // attempts that searchers refused because of their load
	Lost           int  // attempts that ended by connection loss
	Crashed        bool // the request was found to crash searchers
	NotHeld        bool // the query ended with unanswered shards, and a searcher did not hold the snapshot
	Refused        bool // set by the caller of Run if no snapshot could be pinned

	ShardReplies []ShardReply  // of a route, in the order of their arrival
	Rejection    *dialer.Reply // the last error that a searcher answered with
	MayHaveRun   bool          // a searcher may have run an attempt
	Faults       gatherer.FaultCounts
	SearcherWait time.Duration       // if nothing was sent: until searchers that asked for fewer requests take enough again
	LeftOut      []modeler.ShardName // left out because of overload and unanswered, even if asked after all
}

// ShardReply is the answer of one shard to a request on a route.
type ShardReply struct {
	Shard int32
	Reply dialer.Reply
}
