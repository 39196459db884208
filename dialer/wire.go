package dialer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Hit is one document that a search found.
type Hit struct {
	Document string  `json:"document"`
	Score    float64 `json:"score"`
	Title    string  `json:"title,omitempty"`
}

// CompareHits orders hits by descending score, then by document.
func CompareHits(a, b Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
}

// MergeHits adds hits to a sorted list, keeps the better hit of a document that occurs twice,
// and truncates the list to limit.
func MergeHits(into, more []Hit, limit int) []Hit {
	into = append(into, more...)
	slices.SortFunc(into, CompareHits)
	seen := make(map[string]bool, len(into))
	into = slices.DeleteFunc(into, func(h Hit) bool {
		duplicate := seen[h.Document]
		seen[h.Document] = true
		return duplicate
	})
	return into[:min(limit, len(into))]
}

// SearchAnswer is a searcher's answer to one sub-query.
type SearchAnswer struct {
	Request   modeler.RequestID  `json:"request-id"`
	Attempt   string             `json:"attempt-id"`
	Shard     modeler.ShardName  `json:"shard"`
	Snapshot  modeler.SnapshotID `json:"snapshot"`
	Documents uint64             `json:"documents-searched"`
	Hits      []Hit              `json:"hits"`
}

// Check validates the fields of the answer and returns their problems.
func (a *SearchAnswer) Check() modeler.Problems {
	var p modeler.Problems
	if a.Request == "" {
		p.Add("is empty", "request-id")
	}
	if a.Attempt == "" {
		p.Add("is empty", "attempt-id")
	}
	for i, h := range a.Hits {
		if h.Document == "" {
			p.Add("is empty", "hits", i, "document")
		}
	}
	return p
}

// RefusalKind is the reason why a searcher refused a request without running it.
type RefusalKind string

// Reasons of refusals. RefusedLimit refuses the connection, not the request.
const (
	RefusedDraining RefusalKind = "draining"
	RefusedShedding RefusalKind = "shedding"
	RefusedNotHeld  RefusalKind = "snapshot-not-held"
	RefusedLate     RefusalKind = "deadline-passed"
	RefusedLimit    RefusalKind = "connection-limit"
)

// SearcherRefusal is the body of a refusal.
type SearcherRefusal struct {
	Kind RefusalKind `json:"kind"`
}

// Check validates the fields of the refusal and returns their problems.
func (r *SearcherRefusal) Check() modeler.Problems {
	var p modeler.Problems
	if r.Kind == "" {
		p.Add("is empty", "kind")
	}
	return p
}

// Load is the answer of a searcher's load endpoint.
type Load struct {
	InFlight int                                        `json:"in-flight"`
	Slots    int                                        `json:"slots"`
	Draining bool                                       `json:"draining"`
	Held     map[modeler.IndexName][]modeler.SnapshotID `json:"snapshots-held"`
}

// Check validates the fields of the load and returns their problems. A negative value is reported at in-flight, also
// if it is that of slots.
func (l *Load) Check() modeler.Problems {
	var p modeler.Problems
	if l.InFlight < 0 || l.Slots < 0 {
		p.Add("must not be negative", "in-flight")
	}
	return p
}

// CheckValue returns the checksum of a body, as sent in HeaderCheck: its 64-bit xxHash in 16 hexadecimal digits.
func CheckValue(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// OrderAnswer is a searcher's answer to a non-idempotent request that it ran.
type OrderAnswer struct {
	Request modeler.RequestID `json:"request-id"`
	Attempt string            `json:"attempt-id"`
	Result  json.RawMessage   `json:"result"`
}

// Check validates the fields of the answer and returns their problems.
func (a *OrderAnswer) Check() modeler.Problems {
	var p modeler.Problems
	if a.Request == "" {
		p.Add("is empty", "request-id")
	}
	if len(a.Result) == 0 {
		p.Add("is empty", "result")
	}
	return p
}
