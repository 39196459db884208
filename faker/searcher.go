package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Bounds of the stand-in searchers.
const (
	HitsPerShard  = 3
	QueuePerSlot  = 4
	searcherGrace = 50 * time.Millisecond
	poisonDelay   = time.Millisecond
	serviceSpread = 0.35
)

// Conduct is how a searcher behaves.
type Conduct struct {
	Service       time.Duration
	Extra         time.Duration
	Draining      bool
	InBand        bool
	LieHealth     bool
	Refuse        bool
	Shed          bool
	CrashOn       string
	RestartAfter  time.Duration
	Cross         bool
	WrongSnapshot bool
	Truncate      bool
	Repeat        bool
	FlipBit       bool
	CloseAfter    bool
}

// Searcher is a stand-in for one upstream.
type Searcher struct {
	Service  modeler.Service
	Searcher modeler.Searcher
	record   *Record
	delay    func(from netip.Addr) time.Duration

	mu       sync.Mutex
	conduct  Conduct
	held     map[modeler.IndexName][]modeler.Snapshot
	gate     *gate
	slots    chan struct{}
	queued   int
	drained  time.Time
	previous []byte
	random   *rand.Rand
	crashes  int
	end      context.CancelFunc
	done     <-chan error
}

// Start listens on the searcher's address.
func (s *Searcher) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Searcher.Address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = &gate{Listener: l, limit: s.Service.Contract.Connections, setUp: s.Service.Contract.SetUp.Duration, open: map[*line]bool{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/search", s.search)
	m.HandleFunc("POST /v1/order", s.order)
	m.HandleFunc("GET /load", s.load)
	m.HandleFunc("GET /health", s.health)
	hs := &http.Server{Handler: m}
	g := s.gate
	ctx, s.end = context.WithCancel(ctx)
	s.done = spawner.Go(ctx, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
		defer stop()
		_ = hs.Serve(g)
		return ctx.Err()
	})
	return nil
}

// Stop closes the searcher and its connections.
func (s *Searcher) Stop() {
	s.mu.Lock()
	end, done := s.end, s.done
	s.mu.Unlock()
	end()
	<-done
}

// Crash resets all connections and stops listening, for good or for the time.
func (s *Searcher) Crash(ctx context.Context, restartAfter time.Duration) {
	s.mu.Lock()
	g := s.gate
	s.crashes++
	s.mu.Unlock()
	g.reset()
	if restartAfter <= 0 {
		return
	}
	time.AfterFunc(restartAfter, func() {
		if ctx.Err() == nil {
			_ = s.Start(ctx)
		}
	})
}

// Silence makes all open connections go silent.
func (s *Searcher) Silence() {
	s.mu.Lock()
	g := s.gate
	s.mu.Unlock()
	g.silence()
}

// Change changes how the searcher behaves.
func (s *Searcher) Change(f func(*Conduct)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.conduct.Draining
	f(&s.conduct)
	if s.conduct.Draining && !was {
		s.drained = time.Now()
	}
}

// Hold sets the snapshots of an index that the searcher holds.
func (s *Searcher) Hold(index modeler.IndexName, snapshots []modeler.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[index] = snapshots
}

// Crashes returns how often the searcher crashed.
func (s *Searcher) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Connections returns the most connections that were ever open, and how many were refused.
func (s *Searcher) Connections() (most, refused int) {
	s.mu.Lock()
	g := s.gate
	s.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most, g.refused
}

func (s *Searcher) state() (Conduct, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Duration(0)
	if s.conduct.Draining {
		since = time.Since(s.drained)
	}
	return s.conduct, since
}

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

// enter takes a slot, or refuses when the queue is full or the deadline passes.
func (s *Searcher) enter(ctx context.Context, budget time.Duration) bool {
	s.mu.Lock()
	if s.queued >= QueuePerSlot*cap(s.slots) {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) leaveSlot() { <-s.slots }

// work takes a service time that spreads log-normally round its median.
func (s *Searcher) work(ctx context.Context, c Conduct) {
	s.mu.Lock()
	spread := math.Exp(serviceSpread * s.random.NormFloat64())
	s.mu.Unlock()
	spawner.Sleep(ctx, time.Duration(float64(c.Service)*spread)+c.Extra)
}
