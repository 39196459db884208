package observer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Service is the recent latency of the answers of one service.
type Service struct {
	mu       sync.Mutex
	latency  *hdrhistogram.WindowedHistogram
	samples  int
	quantile float64
	delay    time.Duration
	computed time.Time
	typical  atomic.Uint64
	unknown  atomic.Bool
}

// NewService makes a service without samples; it takes memory for them only once there are some.
func NewService() *Service {
	s := &Service{delay: InitialHedge}
	s.unknown.Store(true)
	s.typical.Store(math.Float64bits(float64(InitialLatency)))
	return s
}

// Typical returns the usual latency of the service's answers in nanoseconds.
func (s *Service) Typical() float64 { return math.Float64frombits(s.typical.Load()) }

// HedgeAfterTypical returns a multiple of the usual latency, which pauses of searchers do not raise as they do a quantile.
func (s *Service) HedgeAfterTypical() time.Duration {
	if s.unknown.Load() {
		return UnknownHedge
	}
	return max(MinTypicalHedge, time.Duration(TypicalHedge*s.Typical()))
}

// Record adds the latency of one answer.
func (s *Service) Record(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.NewWindowed(LatencyWindows, 1, int64(MaxLatency/time.Microsecond), 1)
	}
	_ = s.latency.Current.RecordValue(min(int64(latency/time.Microsecond), int64(MaxLatency/time.Microsecond)))
	typical := s.Typical()
	if s.samples == 0 {
		typical = float64(latency)
		s.unknown.Store(false)
	}
	typical += max(TypicalWeight, 1/float64(s.samples+1)) * (min(float64(latency), PeakFactor*typical) - typical)
	s.typical.Store(math.Float64bits(typical))
	s.samples++
	if s.samples%WindowSamples == 0 {
		s.latency.Rotate()
	}
}

// HedgeDelay returns the quantile of the recent latency, at least MinHedgeDelay.
func (s *Service) HedgeDelay(now time.Time, quantile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < MinHedgeSamples {
		return s.delay
	}
	if now.Sub(s.computed) < HedgeRefresh && s.quantile == quantile {
		return s.delay
	}
	v := s.latency.Merge().ValueAtQuantile(quantile * 100)
	s.delay = max(MinHedgeDelay, time.Duration(v)*time.Microsecond)
	s.computed, s.quantile = now, quantile
	return s.delay
}
