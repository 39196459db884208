package scatterer

import (
	"bytes"
	"slices"
)

// MergeRecords returns the limit greatest records of the shards' answers in descending byte order. A record has size
// bytes; a shorter remainder at the end of an answer is ignored.
func MergeRecords(replies []ShardReply, size, limit int) []byte {
	var records [][]byte
	for _, p := range replies {
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
