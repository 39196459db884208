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

// Constants of the stand-in searchers. serviceTimeSigma is the standard deviation of the logarithm of the service time.
const (
	HitsPerShard       = 3
	QueueLengthPerSlot = 4
	searcherGrace      = 50 * time.Millisecond // not used
	crashDelay         = time.Millisecond
	serviceTimeSigma   = 0.35
)

// Behaviour is how a searcher behaves. The zero value of each field after ServiceTime means no fault.
type Behaviour struct {
	ServiceTime         time.Duration // median
	ExtraLatency        time.Duration // added to every service time
	Draining            bool          // refuses /health and reports itself draining in /load
	DrainHeader         bool          // while draining, adds the header Draining to the answers to searches
	HideDraining        bool          // while draining, /health and /load look as if it were not
	RefuseWhileDraining bool          // while draining, refuses searches and orders
	Shed                bool          // sheds all searches and orders, i.e. refuses them as overloaded
	RetryAfter          time.Duration // with Shed: asks the senders of searches for no requests during this time
	CrashText           string        // crashes on a search whose body contains this text
	RestartAfter        time.Duration // time from such a crash to the restart; 0 means no restart
	SwapAnswers         bool          // answers a search with the answer to the previous search
	WrongSnapshot       bool          // names the snapshot after the requested one, with hits of its own
	Truncate            bool          // claims to have searched half of the documents and returns one hit
	RepeatBody          bool          // writes the body of the answer twice
	FlipBit             bool          // flips a bit of the body after computing its check value
	CloseAfter          bool          // closes the connection after running a request, without an answer
}

// Searcher is a stand-in for one upstream: a replica of a service that answers searches and orders over HTTP.
type Searcher struct {
	Service      modeler.Service
	Searcher     modeler.Searcher
	record       *Record
	networkDelay func(from netip.Addr) time.Duration

	mu             sync.Mutex
	behaviour      Behaviour
	heldSnapshots  map[modeler.IndexName][]modeler.Snapshot
	listener       *faultListener
	slots          chan struct{}
	queued         int
	drainingSince  time.Time
	previousAnswer []byte
	random         *rand.Rand
	crashes        int
	backoffs       map[netip.Addr]time.Time // when the sender was last asked for no requests
	unwanted       int                      // requests that came although their sender was asked for none
	cancel         context.CancelFunc
	done           <-chan error
}

// Start listens on the searcher's address and serves until the context ends or Stop is called.
func (s *Searcher) Start(ctx context.Context) error {
	tcp, err := net.Listen("tcp", s.Searcher.Address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = &faultListener{Listener: tcp, limit: s.Service.Contract.Connections, setUpDelay: s.Service.Contract.SetUp.Duration, openConns: map[*faultConn]bool{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/search", s.handleSearch)
	m.HandleFunc("POST /v1/order", s.handleOrder)
	m.HandleFunc("GET /load", s.handleLoad)
	m.HandleFunc("GET /health", s.handleHealth)
	hs := &http.Server{Handler: m}
	l := s.listener
	ctx, s.cancel = context.WithCancel(ctx)
	s.done = spawner.Go(ctx, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
		defer stop()
		_ = hs.Serve(l)
		return ctx.Err()
	})
	return nil
}

// Stop closes the searcher's listener and connections, and waits for its server to end.
func (s *Searcher) Stop() {
	s.mu.Lock()
	cancel, done := s.cancel, s.done
	s.mu.Unlock()
	cancel()
	<-done
}

// Crash resets all connections and stops listening. After restartAfter the searcher listens again;
// if restartAfter is 0 or less, it stays down.
func (s *Searcher) Crash(ctx context.Context, restartAfter time.Duration) {
	s.mu.Lock()
	l := s.listener
	s.crashes++
	s.mu.Unlock()
	l.reset()
	if restartAfter <= 0 {
		return
	}
	time.AfterFunc(restartAfter, func() {
		if ctx.Err() == nil {
			_ = s.Start(ctx)
		}
	})
}

// Silence makes all open connections silent: they stay open, but their requests get no answer.
func (s *Searcher) Silence() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	l.silence()
}

// Change applies f to the searcher's behaviour.
func (s *Searcher) Change(f func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDraining := s.behaviour.Draining
	f(&s.behaviour)
	if s.behaviour.Draining && !wasDraining {
		s.drainingSince = time.Now()
	}
}

// SetSnapshots sets which snapshots of an index the searcher holds.
func (s *Searcher) SetSnapshots(index modeler.IndexName, snapshots []modeler.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldSnapshots[index] = snapshots
}

// Crashes returns the number of the searcher's crashes.
func (s *Searcher) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Connections returns the highest number of connections that were open at once since the last start,
// and the number of refused ones.
func (s *Searcher) Connections() (peak, refused int) {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakOpen, l.refusedConns
}

// currentBehaviour returns the searcher's behaviour, and for how long it has been draining (0 if it is not).
func (s *Searcher) currentBehaviour() (Behaviour, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drainingFor := time.Duration(0)
	if s.behaviour.Draining {
		drainingFor = time.Since(s.drainingSince)
	}
	return s.behaviour, drainingFor
}
