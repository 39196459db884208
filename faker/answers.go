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

func refuse(w http.ResponseWriter, kind dialer.RefusalKind) {
	if kind == dialer.RefusedDraining {
		w.Header().Set(dialer.HeaderDraining, "true")
	}
	status := http.StatusServiceUnavailable
	if kind == dialer.RefusedNotHeld {
		status = http.StatusConflict
	}
	server.Write(w, status, dialer.SearcherRefusal{Kind: kind})
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	from := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	body, _ := io.ReadAll(r.Body)
	conduct, _ := s.state()
	index := modeler.IndexName(r.Header.Get(dialer.HeaderIndex))
	w.Header().Set(dialer.HeaderHeld, s.heldIDs(index))
	if conduct.Draining && conduct.Refuse {
		refuse(w, dialer.RefusedDraining)
		return
	}
	if conduct.Draining && conduct.InBand {
		w.Header().Set(dialer.HeaderDraining, "true")
	}
	id, _ := strconv.ParseUint(r.Header.Get(dialer.HeaderSnapshot), 10, 64)
	shard, ok := s.shard(index, modeler.SnapshotID(id), modeler.ShardName(r.Header.Get(dialer.HeaderShard)))
	if !ok {
		refuse(w, dialer.RefusedNotHeld)
		return
	}
	if conduct.Shed || !s.enter(r.Context(), deadlineOf(r)) {
		refuse(w, dialer.RefusedShedding)
		return
	}
	s.record.Add(s.run(r, shard.Name, modeler.SnapshotID(id), false, body))
	if conduct.CrashOn != "" && strings.Contains(string(body), conduct.CrashOn) {
		time.Sleep(poisonDelay)
		s.leaveSlot()
		s.Crash(context.WithoutCancel(r.Context()), conduct.RestartAfter)
		return
	}
	s.work(r.Context(), conduct)
	s.leaveSlot()
	spawner.Sleep(r.Context(), s.delay(from))
	s.answer(w, r, conduct, s.found(r, index, shard, modeler.SnapshotID(id), body))
}

func (s *Searcher) run(r *http.Request, shard modeler.ShardName, snapshot modeler.SnapshotID, order bool, body []byte) Run {
	_, since := s.state()
	return Run{
		At: time.Now(), Service: s.Service.Name, Searcher: s.Searcher.Name,
		Request: modeler.RequestID(r.Header.Get(dialer.HeaderRequest)), Attempt: r.Header.Get(dialer.HeaderAttempt),
		Shard: shard, Snapshot: snapshot, Order: order, Body: string(body), Draining: since,
	}
}

func (s *Searcher) found(r *http.Request, index modeler.IndexName, shard modeler.Shard, id modeler.SnapshotID, body []byte) dialer.SearchAnswer {
	var q server.Query
	_ = json.Unmarshal(body, &q)
	return dialer.SearchAnswer{
		Request: modeler.RequestID(r.Header.Get(dialer.HeaderRequest)), Attempt: r.Header.Get(dialer.HeaderAttempt),
		Shard: shard.Name, Snapshot: id, Documents: shard.Documents, Hits: HitsOf(index, id, shard.Name, q.Text),
	}
}

// answer writes an answer, or what the conduct makes of it.
func (s *Searcher) answer(w http.ResponseWriter, r *http.Request, c Conduct, a dialer.SearchAnswer) {
	switch {
	case c.WrongSnapshot:
		a.Snapshot++
		a.Hits = HitsOf("", a.Snapshot, a.Shard, "another snapshot")
	case c.Truncate:
		a.Documents /= 2
		a.Hits = a.Hits[:1]
	}
	body, _ := json.Marshal(a)
	check := dialer.CheckValue(body)
	switch {
	case c.Cross:
		body, check = s.swap(body)
	case c.FlipBit:
		body[len(body)/2] ^= 1
	case c.Repeat:
		body = append(body, body...)
		check = dialer.CheckValue(body)
	case c.CloseAfter:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(dialer.HeaderCheck, check)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	_ = r
}

// swap gives the answer of the request before, and keeps this one for the next.
func (s *Searcher) swap(body []byte) ([]byte, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.previous
	s.previous = body
	if before == nil {
		before = body
	}
	return before, dialer.CheckValue(before)
}

// HitsOf returns what a searcher finds: the caller's side computes the same to check an answer.
func HitsOf(index modeler.IndexName, id modeler.SnapshotID, shard modeler.ShardName, text string) []dialer.Hit {
	hits := make([]dialer.Hit, HitsPerShard)
	for i := range hits {
		document := fmt.Sprintf("%s-%d-%d", shard, id, i)
		score := xxhash.Sum64String(string(index)+document+text) >> 11
		hits[i] = dialer.Hit{Document: document, Score: float64(score) / (1 << 53), Title: text}
	}
	return hits
}

func (s *Searcher) order(w http.ResponseWriter, r *http.Request) {
	from := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	body, _ := io.ReadAll(r.Body)
	conduct, _ := s.state()
	at, _ := strconv.ParseInt(r.Header.Get(dialer.HeaderDeadlineAt), 10, 64)
	switch {
	case conduct.Draining && conduct.Refuse:
		refuse(w, dialer.RefusedDraining)
		return
	case conduct.Shed:
		refuse(w, dialer.RefusedShedding)
		return
	case time.Now().UnixMilli() > at:
		refuse(w, dialer.RefusedLate)
		return
	}
	s.record.Add(s.run(r, "", 0, true, body))
	spawner.Sleep(context.WithoutCancel(r.Context()), conduct.Service+conduct.Extra+s.delay(from))
	if conduct.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(dialer.HeaderRequest)
	result, _ := json.Marshal(map[string]string{"booked": id})
	answer, _ := json.Marshal(dialer.OrderAnswer{Request: modeler.RequestID(id), Attempt: r.Header.Get(dialer.HeaderAttempt), Result: result})
	w.Header().Set(dialer.HeaderCheck, dialer.CheckValue(answer))
	_, _ = w.Write(answer)
}

func (s *Searcher) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := dialer.Load{
		InFlight: len(s.slots), Slots: cap(s.slots), Draining: s.conduct.Draining && !s.conduct.LieHealth,
		Held: map[modeler.IndexName][]modeler.SnapshotID{},
	}
	for x, snapshots := range s.held {
		for _, v := range snapshots {
			l.Held[x] = append(l.Held[x], v.ID)
		}
	}
	s.mu.Unlock()
	server.Write(w, http.StatusOK, l)
}

func (s *Searcher) health(w http.ResponseWriter, _ *http.Request) {
	conduct, _ := s.state()
	if conduct.Draining && !conduct.LieHealth {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Searcher) heldIDs(index modeler.IndexName) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.held[index]))
	for _, v := range s.held[index] {
		ids = append(ids, strconv.FormatUint(uint64(v.ID), 10))
	}
	return strings.Join(ids, ",")
}

func (s *Searcher) shard(index modeler.IndexName, id modeler.SnapshotID, name modeler.ShardName) (modeler.Shard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.held[index] {
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

func deadlineOf(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(dialer.HeaderDeadline), 10, 64)
	return time.Duration(ms) * time.Millisecond
}
