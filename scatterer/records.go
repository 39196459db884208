package scatterer

import (
	"bytes"
	"slices"
)

// MergeRecords returns the greatest limit records of the parts, greatest first; a record has size bytes, and a shorter remainder of a part is none.
func MergeRecords(parts []Part, size, limit int) []byte {
	var records [][]byte
	for _, p := range parts {
		for body := p.Reply.Body; len(body) >= size; body = body[size:] {
			records = append(records, body[:size])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, min(limit, len(records))*size)
	for _, r := range records[:min(limit, len(records))] {
		out = append(out, r...)
	}
	return out
}
