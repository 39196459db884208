package faker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
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
