package dialer

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// Wire encodes requests to searchers and decodes their answers.
type Wire struct {
	// Fill writes the call into the request; remaining is the time to the call's deadline.
	Fill func(req *fasthttp.Request, call *Call, remaining time.Duration)
	// Read decodes the answer to the call.
	Read    func(res *fasthttp.Response, call *Call) Reply
	HasLoad bool // whether searchers have a load endpoint
	// SharedID says that answers name their request, and so all attempts for it, in place of their attempt. A late second
	// copy of one attempt's answer can't be told from the answer to the next one then, so a connection that has
	// carried a request is not used for it again.
	SharedID bool
}

// NativeWire returns the query tier's own searcher protocol: JSON bodies and the Header constants.
func NativeWire() Wire {
	return Wire{HasLoad: true, Fill: encodeNative, Read: decodeNative}
}

func encodeNative(req *fasthttp.Request, call *Call, remaining time.Duration) {
	req.SetRequestURI(call.Path)
	h := &req.Header
	h.SetMethod(fasthttp.MethodPost)
	h.SetHost(call.Address.String())
	h.SetUserAgent(userAgent)
	h.SetContentType("application/json")
	h.Set(HeaderRequest, string(call.Request))
	h.Set(HeaderAttempt, call.Attempt)
	h.Set(HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	h.Set(HeaderDeadlineAt, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	if call.Shard != "" {
		h.Set(HeaderIndex, string(call.Index))
		h.Set(HeaderShard, string(call.Shard))
		h.Set(HeaderSnapshot, strconv.FormatUint(uint64(call.Snapshot), 10))
	}
	req.SetBodyRaw(call.Body)
}

// decodeNative decodes an answer. An answer that names another attempt says nothing about the call. One with status 200
// names its attempt in its body too, which the caller of Do checks.
func decodeNative(res *fasthttp.Response, call *Call) Reply {
	attempt := string(res.Header.Peek(HeaderAttempt))
	if attempt != "" && attempt != call.Attempt {
		return Reply{Fault: gatherer.FaultCrossed}
	}
	r := Reply{
		Body:     TakeBody(res),
		Draining: string(res.Header.Peek(HeaderDraining)) == "true",
		Held:     parseHeld(string(res.Header.Peek(HeaderHeld))),
	}
	if check := res.Header.Peek(HeaderCheck); len(check) > 0 && string(check) != CheckValue(r.Body) {
		r.Fault = gatherer.FaultCorrupt
		return r
	}
	if res.StatusCode() == fasthttp.StatusOK {
		return r
	}
	refusal, err := parser.DecodeStrict[SearcherRefusal](r.Body)
	if err != nil {
		r.Fault = gatherer.FaultRejected
		return r
	}
	// Only on a new connection can a refusal that names no attempt not be a late copy of an earlier one.
	if attempt == "" && (refusal.Kind != RefusedLimit || !call.onNewConn) {
		return Reply{Fault: gatherer.FaultCrossed}
	}
	return withRefusal(r, refusal.Kind, &res.Header)
}

// withRefusal returns the reply with what the refusal of its call says.
func withRefusal(r Reply, kind RefusalKind, h *fasthttp.ResponseHeader) Reply {
	r.Fault = gatherer.FaultRejected
	switch kind {
	case RefusedDraining:
		r.Fault, r.Draining = gatherer.FaultDraining, true
	case RefusedShedding, RefusedLate:
		r.Fault, r.Late = gatherer.FaultShed, kind == RefusedLate
		r.RetryAfter = ReadRetryAfter(h)
	case RefusedNotHeld:
		r.Fault = gatherer.FaultNotHeld
	case RefusedLimit:
		r.Fault = gatherer.FaultNotSent
	}
	return r
}

// parseHeld parses a comma-separated list of snapshot ids. It returns nil if one is invalid.
func parseHeld(s string) []modeler.SnapshotID {
	if s == "" {
		return nil
	}
	var ids []modeler.SnapshotID
	for part := range strings.SplitSeq(s, ",") {
		id, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return nil
		}
		ids = append(ids, modeler.SnapshotID(id))
	}
	return ids
}
