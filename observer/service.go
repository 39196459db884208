package observer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Service holds the recent latency of one service's answers.
type Service struct {
	name           modeler.ServiceName
	mu             sync.Mutex
	latency        *hdrhistogram.WindowedHistogram
	samples        int
	quantile       float64
	hedgeDelay     time.Duration
	computedAt     time.Time
	typicalLatency atomic.Uint64 // float64 bits, in nanoseconds
	noSamples      atomic.Bool
	attempts       decayingCount
}

// NewService makes a service without samples. The histogram is allocated with the first sample.
func NewService() *Service {
	s := &Service{hedgeDelay: InitialHedge}
	s.noSamples.Store(true)
	s.typicalLatency.Store(math.Float64bits(float64(InitialLatency)))
	return s
}

// TypicalLatency returns the typical latency of the service's answers, in nanoseconds.
func (s *Service) TypicalLatency() float64 { return math.Float64frombits(s.typicalLatency.Load()) }

// countAttempt counts an attempt at one of the service's searchers.
func (s *Service) countAttempt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.add(now)
}

// attemptRate returns how many attempts were counted in about the last RateDecay.
func (s *Service) attemptRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts.value(now)
}

// HedgeAfterTypical returns a hedge delay that is a multiple of the typical latency.
// Pauses of searchers raise a high quantile, but hardly the typical latency.
func (s *Service) HedgeAfterTypical() time.Duration {
	if s.noSamples.Load() {
		return UnknownHedge
	}
	return max(MinTypicalHedge, time.Duration(TypicalHedge*s.TypicalLatency()))
}

// Record adds the latency of one answer.
func (s *Service) Record(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.NewWindowed(LatencyWindows, 1, int64(MaxLatency/time.Microsecond), 1)
	}
	_ = s.latency.Current.RecordValue(min(int64(latency/time.Microsecond), int64(MaxLatency/time.Microsecond)))
	typical := s.TypicalLatency()
	if s.samples == 0 {
		typical = float64(latency)
		s.noSamples.Store(false)
	}
	typical += max(TypicalWeight, 1/float64(s.samples+1)) * (min(float64(latency), PeakFactor*typical) - typical)
	s.typicalLatency.Store(math.Float64bits(typical))
	s.samples++
	if s.samples%WindowSamples == 0 {
		s.latency.Rotate()
	}
}

// HedgeDelay returns the quantile of the recent latency, at least MinHedgeDelay, computed at most HedgeRefresh ago.
// With fewer than MinHedgeSamples answers it returns InitialHedge.
func (s *Service) HedgeDelay(now time.Time, quantile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < MinHedgeSamples {
		return s.hedgeDelay
	}
	if now.Sub(s.computedAt) < HedgeRefresh && s.quantile == quantile {
		return s.hedgeDelay
	}
	v := s.latency.Merge().ValueAtQuantile(quantile * 100)
	s.hedgeDelay = max(MinHedgeDelay, time.Duration(v)*time.Microsecond)
	s.computedAt, s.quantile = now, quantile
	return s.hedgeDelay
}
