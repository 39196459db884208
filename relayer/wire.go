package relayer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

func resultToWire(id string, r scatterer.Result) *messenger.SearchResult {
	out := &messenger.SearchResult{
		RequestId: id, Snapshot: uint64(r.Snapshot), Documents: r.Documents, Answered: int32(r.Answered),
		Sent: int32(r.Sent), Primaries: int32(r.Primaries), Shed: int32(r.Shed), Lost: int32(r.Lost),
		Crashed: r.Crashed, NotHeld: r.NotHeld, Refused: r.Refused,
	}
	for _, h := range r.Hits {
		out.Hits = append(out.Hits, &messenger.Hit{Document: h.Document, Score: h.Score, Title: h.Title})
	}
	for _, n := range r.Missing {
		out.Missing = append(out.Missing, string(n))
	}
	return out
}

func resultFromWire(w *messenger.SearchResult) scatterer.Result {
	r := scatterer.Result{
		Snapshot: modeler.SnapshotID(w.GetSnapshot()), Documents: w.GetDocuments(), Answered: int(w.GetAnswered()),
		Sent: int(w.GetSent()), Primaries: int(w.GetPrimaries()), Shed: int(w.GetShed()), Lost: int(w.GetLost()),
		Crashed: w.GetCrashed(), NotHeld: w.GetNotHeld(), Refused: w.GetRefused(),
	}
	for _, h := range w.GetHits() {
		r.Hits = append(r.Hits, dialer.Hit{Document: h.GetDocument(), Score: h.GetScore(), Title: h.GetTitle()})
	}
	for _, n := range w.GetMissing() {
		r.Missing = append(r.Missing, modeler.ShardName(n))
	}
	return r
}

// HandoverToWire returns the wire form of a handover.
func HandoverToWire(h ticketer.Handover) *messenger.AdoptRequest {
	out := &messenger.AdoptRequest{Incarnation: uint64(h.From)}
	for _, i := range h.Adopted {
		out.Adopted = append(out.Adopted, uint64(i))
	}
	for _, r := range h.Records {
		out.Records = append(out.Records, &messenger.Record{
			Home: uint64(r.Home), Serial: r.Serial, Body: r.Record.Body, Kind: string(r.Record.Outcome.Kind),
			Detail: r.Record.Outcome.Detail, Result: r.Record.Outcome.Result, BegunMillis: r.Record.Begun.UnixMilli(),
		})
	}
	return out
}

func handoverFromWire(w *messenger.AdoptRequest) (ticketer.Handover, error) {
	h := ticketer.Handover{From: ticketer.Incarnation(w.GetIncarnation())}
	if h.From == 0 {
		return h, errors.New("handover names no incarnation")
	}
	for _, i := range w.GetAdopted() {
		h.Adopted = append(h.Adopted, ticketer.Incarnation(i))
	}
	for _, r := range w.GetRecords() {
		h.Records = append(h.Records, ticketer.HandedRecord{
			Home: ticketer.Incarnation(r.GetHome()), Serial: r.GetSerial(),
			Record: ticketer.Record{
				Body: r.GetBody(), Begun: time.UnixMilli(r.GetBegunMillis()),
				Outcome: ticketer.Outcome{Kind: refuser.Kind(r.GetKind()), Detail: r.GetDetail(), Result: r.GetResult()},
			},
		})
	}
	return h, nil
}
