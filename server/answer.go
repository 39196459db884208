package server

import (
	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Coverage says how much of the snapshot an answer covers.
type Coverage struct {
	ShardsTotal       int                 `json:"shards-total"`
	ShardsAnswered    int                 `json:"shards-answered"`
	DocumentsTotal    uint64              `json:"documents-total"`
	DocumentsSearched uint64              `json:"documents-searched"`
	Missing           []modeler.ShardName `json:"missing,omitempty"`
}

// Outcome says whether an answer covers all shards.
type Outcome string

// The outcomes of an answered search.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
)

// SearchAnswer is the answer to a search.
type SearchAnswer struct {
	Request  modeler.RequestID  `json:"request-id"`
	Snapshot modeler.SnapshotID `json:"snapshot"`
	Hits     []dialer.Hit       `json:"hits"`
	Coverage Coverage           `json:"coverage"`
	Complete bool               `json:"complete"`
	Outcome  Outcome            `json:"outcome"`
	Attempts int                `json:"attempts"`
	VM       modeler.VMName     `json:"vm"`
}

// Check returns the problems of a received answer.
func (a *SearchAnswer) Check() modeler.Problems {
	var p modeler.Problems
	if a.Coverage.ShardsAnswered > a.Coverage.ShardsTotal {
		p.Add("exceeds shards-total", "coverage", "shards-answered")
	}
	return p
}

func (h *SearchHandler) answer(in searchInput, res *scatterer.Result) SearchAnswer {
	a := SearchAnswer{
		Request: in.id, Snapshot: res.Snapshot, Hits: res.Hits, VM: h.Name, Attempts: res.Sent,
		Coverage: Coverage{res.Shards, res.Answered, res.TotalDocuments, res.Documents, res.Missing},
		Complete: res.Answered == res.Shards, Outcome: Partial,
	}
	if a.Complete {
		a.Outcome = Complete
	}
	if a.Hits == nil {
		a.Hits = []dialer.Hit{}
	}
	return a
}
