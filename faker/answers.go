package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// writeRefusal writes a refusal with the status and header that the searchers' protocol gives to its kind.
func writeRefusal(w http.ResponseWriter, kind dialer.RefusalKind) {
	if kind == dialer.RefusedDraining {
		w.Header().Set(dialer.HeaderDraining, "true")
	}
	status := http.StatusServiceUnavailable
	if kind == dialer.RefusedNotHeld {
		status = http.StatusConflict
	}
	server.WriteJSON(w, status, dialer.SearcherRefusal{Kind: kind})
}

func (s *Searcher) handleSearch(w http.ResponseWriter, r *http.Request) {
	from := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	body, _ := io.ReadAll(r.Body)
	behaviour, _ := s.currentBehaviour()
	index := modeler.IndexName(r.Header.Get(dialer.HeaderIndex))
	w.Header().Set(dialer.HeaderAttempt, r.Header.Get(dialer.HeaderAttempt))
	w.Header().Set(dialer.HeaderHeld, s.heldIDs(index))
	if behaviour.Draining && behaviour.RefuseWhileDraining {
		writeRefusal(w, dialer.RefusedDraining)
		return
	}
	if behaviour.Draining && behaviour.DrainHeader {
		w.Header().Set(dialer.HeaderDraining, "true")
	}
	id, _ := strconv.ParseUint(r.Header.Get(dialer.HeaderSnapshot), 10, 64)
	shard, ok := s.findShard(index, modeler.SnapshotID(id), modeler.ShardName(r.Header.Get(dialer.HeaderShard)))
	if !ok {
		writeRefusal(w, dialer.RefusedNotHeld)
		return
	}
	if behaviour.Shed || !s.acquireSlot(r.Context(), timeBudget(r)) {
		s.shed(w, from, behaviour)
		return
	}
	s.record.Add(s.newRun(r, shard.Name, modeler.SnapshotID(id), false, body))
	if behaviour.CrashText != "" && strings.Contains(string(body), behaviour.CrashText) {
		time.Sleep(crashDelay)
		s.releaseSlot()
		s.Crash(context.WithoutCancel(r.Context()), behaviour.RestartAfter)
		return
	}
	s.sleepServiceTime(r.Context(), behaviour)
	s.releaseSlot()
	spawner.Sleep(r.Context(), s.networkDelay(from))
	s.writeAnswer(w, r, behaviour, s.searchAnswer(r, index, shard, modeler.SnapshotID(id), body))
}

func (s *Searcher) newRun(r *http.Request, shard modeler.ShardName, snapshot modeler.SnapshotID, isOrder bool, body []byte) Run {
	_, drainingFor := s.currentBehaviour()
	return Run{
		StartedAt: time.Now(), Service: s.Service.Name, Searcher: s.Searcher.Name,
		RequestID: modeler.RequestID(r.Header.Get(dialer.HeaderRequest)), Attempt: r.Header.Get(dialer.HeaderAttempt),
		Shard: shard, Snapshot: snapshot, IsOrder: isOrder, Body: string(body), DrainingFor: drainingFor,
	}
}

func (s *Searcher) searchAnswer(r *http.Request, index modeler.IndexName, shard modeler.Shard, id modeler.SnapshotID, body []byte) dialer.SearchAnswer {
	var q server.Query
	_ = json.Unmarshal(body, &q)
	return dialer.SearchAnswer{
		Request: modeler.RequestID(r.Header.Get(dialer.HeaderRequest)), Attempt: r.Header.Get(dialer.HeaderAttempt),
		Shard: shard.Name, Snapshot: id, Documents: shard.Documents, Hits: HitsOf(index, id, shard.Name, q.Text),
	}
}

// writeAnswer writes an answer with the faults of the behaviour.
func (s *Searcher) writeAnswer(w http.ResponseWriter, r *http.Request, b Behaviour, a dialer.SearchAnswer) {
	switch {
	case b.WrongSnapshot:
		a.Snapshot++
		a.Hits = HitsOf("", a.Snapshot, a.Shard, "another snapshot")
	case b.Truncate:
		a.Documents /= 2
		a.Hits = a.Hits[:1]
	}
	body, _ := json.Marshal(a)
	check := dialer.CheckValue(body)
	switch {
	case b.SwapAnswers:
		body, check = s.swapAnswer(body)
	case b.FlipBit:
		body[len(body)/2] ^= 1
	case b.RepeatBody:
		body = append(body, body...)
		check = dialer.CheckValue(body)
	case b.CloseAfter:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(dialer.HeaderCheck, check)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	_ = r // writeAnswer does not use the request
}

// swapAnswer returns the body and check value of the previous answer, and keeps this body for the next request. The first
// request gets its own answer.
func (s *Searcher) swapAnswer(body []byte) ([]byte, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previousAnswer
	s.previousAnswer = body
	if previous == nil {
		previous = body
	}
	return previous, dialer.CheckValue(previous)
}

// HitsOf returns the hits of a shard for a query text. They depend on the arguments alone, so that CheckAnswer can
// compute the expected hits of an answer.
func HitsOf(index modeler.IndexName, id modeler.SnapshotID, shard modeler.ShardName, text string) []dialer.Hit {
	hits := make([]dialer.Hit, HitsPerShard)
	for i := range hits {
		document := fmt.Sprintf("%s-%d-%d", shard, id, i)
		score := xxhash.Sum64String(string(index)+document+text) >> 11
		hits[i] = dialer.Hit{Document: document, Score: float64(score) / (1 << 53), Title: text}
	}
	return hits
}

func (s *Searcher) handleOrder(w http.ResponseWriter, r *http.Request) {
	from := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	body, _ := io.ReadAll(r.Body)
	behaviour, _ := s.currentBehaviour()
	deadline, _ := strconv.ParseInt(r.Header.Get(dialer.HeaderDeadlineAt), 10, 64)
	w.Header().Set(dialer.HeaderAttempt, r.Header.Get(dialer.HeaderAttempt))
	switch {
	case behaviour.Draining && behaviour.RefuseWhileDraining:
		writeRefusal(w, dialer.RefusedDraining)
		return
	case behaviour.Shed:
		writeRefusal(w, dialer.RefusedShedding)
		return
	case time.Now().UnixMilli() > deadline:
		writeRefusal(w, dialer.RefusedLate)
		return
	}
	s.record.Add(s.newRun(r, "", 0, true, body))
	spawner.Sleep(context.WithoutCancel(r.Context()), behaviour.ServiceTime+behaviour.ExtraLatency+s.networkDelay(from))
	if behaviour.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(dialer.HeaderRequest)
	result, _ := json.Marshal(map[string]string{"booked": id})
	answer, _ := json.Marshal(dialer.OrderAnswer{Request: modeler.RequestID(id), Attempt: r.Header.Get(dialer.HeaderAttempt), Result: result})
	w.Header().Set(dialer.HeaderCheck, dialer.CheckValue(answer))
	_, _ = w.Write(answer)
}

func (s *Searcher) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := dialer.Load{
		InFlight: len(s.slots), Slots: cap(s.slots), Draining: s.behaviour.Draining && !s.behaviour.HideDraining,
		Held: map[modeler.IndexName][]modeler.SnapshotID{},
	}
	for x, snapshots := range s.heldSnapshots {
		for _, v := range snapshots {
			l.Held[x] = append(l.Held[x], v.ID)
		}
	}
	s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, l)
}

func (s *Searcher) handleHealth(w http.ResponseWriter, _ *http.Request) {
	behaviour, _ := s.currentBehaviour()
	if behaviour.Draining && !behaviour.HideDraining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// heldIDs returns the comma-separated ids of the index's snapshots that the searcher holds.
func (s *Searcher) heldIDs(index modeler.IndexName) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.heldSnapshots[index]))
	for _, v := range s.heldSnapshots[index] {
		ids = append(ids, strconv.FormatUint(uint64(v.ID), 10))
	}
	return strings.Join(ids, ",")
}

// findShard returns a shard of a snapshot if the searcher holds the snapshot and its service serves the shard.
func (s *Searcher) findShard(index modeler.IndexName, id modeler.SnapshotID, name modeler.ShardName) (modeler.Shard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.heldSnapshots[index] {
		if v.ID != id {
			continue
		}
		for _, h := range v.Shards {
			if h.Name == name && h.Service == s.Service.Name {
				return h, true
			}
		}
	}
	return modeler.Shard{}, false
}

// timeBudget returns the time budget in the request's deadline header, or 0 if the header has no number.
func timeBudget(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(dialer.HeaderDeadline), 10, 64)
	return time.Duration(ms) * time.Millisecond
}
