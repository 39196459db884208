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
	for _, name := range r.Missing {
		out.Missing = append(out.Missing, string(name))
	}
	return out
}

func resultFromWire(msg *messenger.SearchResult) scatterer.Result {
	r := scatterer.Result{
		Snapshot: modeler.SnapshotID(msg.GetSnapshot()), Documents: msg.GetDocuments(), Answered: int(msg.GetAnswered()),
		Sent: int(msg.GetSent()), Primaries: int(msg.GetPrimaries()), Shed: int(msg.GetShed()), Lost: int(msg.GetLost()),
		Crashed: msg.GetCrashed(), NotHeld: msg.GetNotHeld(), Refused: msg.GetRefused(),
	}
	for _, h := range msg.GetHits() {
		r.Hits = append(r.Hits, dialer.Hit{Document: h.GetDocument(), Score: h.GetScore(), Title: h.GetTitle()})
	}
	for _, name := range msg.GetMissing() {
		r.Missing = append(r.Missing, modeler.ShardName(name))
	}
	return r
}

// HandoverToWire returns the message that hands tickets over to a successor.
func HandoverToWire(h ticketer.Handover) *messenger.AdoptRequest {
	out := &messenger.AdoptRequest{Incarnation: uint64(h.From)}
	for _, i := range h.Adopted {
		out.Adopted = append(out.Adopted, uint64(i))
	}
	for _, r := range h.Records {
		out.Records = append(out.Records, &messenger.Record{
			Home: uint64(r.Issuer), Serial: r.Serial, Body: r.Record.BodyHash, Kind: string(r.Record.Outcome.Kind),
			Detail: r.Record.Outcome.Detail, Result: r.Record.Outcome.Result, BegunMillis: r.Record.BegunAt.UnixMilli(),
		})
	}
	return out
}

func handoverFromWire(msg *messenger.AdoptRequest) (ticketer.Handover, error) {
	h := ticketer.Handover{From: ticketer.Incarnation(msg.GetIncarnation())}
	if h.From == 0 {
		return h, errors.New("handover names no incarnation")
	}
	for _, i := range msg.GetAdopted() {
		h.Adopted = append(h.Adopted, ticketer.Incarnation(i))
	}
	for _, r := range msg.GetRecords() {
		h.Records = append(h.Records, ticketer.HandoverRecord{
			Issuer: ticketer.Incarnation(r.GetHome()), Serial: r.GetSerial(),
			Record: ticketer.Record{
				BodyHash: r.GetBody(), BegunAt: time.UnixMilli(r.GetBegunMillis()),
				Outcome: ticketer.Outcome{Kind: refuser.Kind(r.GetKind()), Detail: r.GetDetail(), Result: r.GetResult()},
			},
		})
	}
	return h, nil
}
