package observer

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newSlowTestSearcher returns a searcher of a service that usually answers in 10 ms.
func newSlowTestSearcher() *Searcher {
	o := NewObserver(WithPauses())
	service := o.Service("desk")
	for range 30 {
		service.Record(10 * time.Millisecond)
	}
	return o.Join(netip.MustParseAddrPort("10.0.0.9:80"), "desk-1", time.Time{}, service)
}

func TestTakeSlow(t *testing.T) {
	const half = 10 * time.Millisecond
	type answer struct{ at, serviceTime time.Duration }
	tests := []struct {
		name    string
		answers []answer
		want    bool
	}{
		{"two slow answers, one after the other", []answer{{100 * time.Millisecond, 80 * time.Millisecond}, {300 * time.Millisecond, 90 * time.Millisecond}}, true},
		{"one slow answer", []answer{{100 * time.Millisecond, 80 * time.Millisecond}}, false},
		{"a pause delays three attempts", []answer{{200 * time.Millisecond, 190 * time.Millisecond}, {200 * time.Millisecond, 150 * time.Millisecond}, {201 * time.Millisecond, 90 * time.Millisecond}}, false},
		{"a usual answer in between", []answer{{100 * time.Millisecond, 80 * time.Millisecond}, {150 * time.Millisecond, 9 * time.Millisecond}, {300 * time.Millisecond, 90 * time.Millisecond}}, false},
		{"an answer that shows nothing in between", []answer{{100 * time.Millisecond, 80 * time.Millisecond}, {150 * time.Millisecond, 25 * time.Millisecond}, {300 * time.Millisecond, 90 * time.Millisecond}}, true},
		{"two pauses, far apart", []answer{{200 * time.Millisecond, 190 * time.Millisecond}, {4700 * time.Millisecond, 150 * time.Millisecond}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSlowTestSearcher()
			now := epoch
			for _, a := range tt.answers {
				now = epoch.Add(a.at)
				s.CompareServiceTime(now, now.Add(-a.serviceTime), a.serviceTime, half)
			}
			until, slow := s.TakeSlow(now)
			if slow != tt.want {
				t.Fatalf("searcher is taken for slow: %v, want %v", slow, tt.want)
			}
			if slow && until.Sub(now) > MaxReportValidity {
				t.Errorf("announced for %s, want at most %s", until.Sub(now), MaxReportValidity)
			}
			if _, again := s.TakeSlow(now); again {
				t.Error("the same finding was announced twice")
			}
		})
	}
}

// A report counts until a usual answer, and at the latest until the end of its validity.
func TestReportedSearcherCostsMore(t *testing.T) {
	s := newSlowTestSearcher()
	usual := s.Cost(epoch, 2, 0)
	s.ReportSlow(epoch, epoch.Add(time.Hour), 1)
	if got := s.Cost(epoch, 2, 0); got < 5*usual {
		t.Errorf("a reported searcher costs %.1f times as much as before, want at least 5 times", got/usual)
	}
	s.CompareServiceTime(epoch, epoch.Add(-90*time.Millisecond), 90*time.Millisecond, 10*time.Millisecond)
	if got := s.Cost(epoch, 2, 0); got < 5*usual {
		t.Error("a slow answer ended the report")
	}
	if got := s.Cost(epoch.Add(MaxReportValidity), 2, 0); got > 2*usual {
		t.Errorf("a report outlived its validity: cost is %.1f times the usual", got/usual)
	}
	s.CompareServiceTime(epoch.Add(time.Second), epoch.Add(time.Second), 9*time.Millisecond, 10*time.Millisecond)
	if got := s.Cost(epoch.Add(time.Second), 2, 0); got > 2*usual {
		t.Error("a usual answer of its own did not end the report")
	}
}

// A VM that asks a service often finds out by itself which of its searchers are slow, and ignores reports.
func TestBusyVMIgnoresReports(t *testing.T) {
	s := newSlowTestSearcher()
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 40 * time.Millisecond)
		s.Begin(now)
		s.Answered(now.Add(10*time.Millisecond), 10*time.Millisecond)
	}
	now := epoch.Add(800 * time.Millisecond)
	usual := s.Cost(now, 2, 0)
	s.ReportSlow(now, now.Add(MaxReportValidity), 1)
	if got := s.Cost(now, 2, 0); got > 1.1*usual {
		t.Errorf("a report raised the cost %.1f times although this VM asks the service 25 times a second", got/usual)
	}
	now = now.Add(3 * time.Second)
	usual = s.Cost(now, 2, 0)
	s.ReportSlow(now, now.Add(MaxReportValidity), 1)
	if got := s.Cost(now, 2, 0); got < 5*usual {
		t.Errorf("a report raised the cost only %.1f times although this VM no longer asks the service", got/usual)
	}
}

// Whatever is observed and reported: a report is used for at most MaxReportValidity after it came, announcements of one
// searcher are at least MaxReportValidity less ReportRenewal apart, and a searcher stays usable at a finite cost.
func TestReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSlowTestSearcher()
		now, lastReport, lastAnnounced := epoch, time.Time{}, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "report") {
				s.ReportSlow(now, now.Add(time.Duration(rapid.IntRange(-1000, 3_600_000).Draw(t, "validity"))*time.Millisecond), rapid.Float64Range(0, 1).Draw(t, "fraction"))
				lastReport = now
			} else {
				service := time.Duration(rapid.IntRange(-20, 900).Draw(t, "service")) * time.Millisecond
				s.CompareServiceTime(now, now.Add(-service), service, time.Duration(rapid.IntRange(0, 40).Draw(t, "reference"))*time.Millisecond)
			}
			if until, slow := s.TakeSlow(now); slow {
				if now.Sub(lastAnnounced) < MaxReportValidity-ReportRenewal {
					t.Fatalf("announced again after %s", now.Sub(lastAnnounced))
				}
				if until.Sub(now) > MaxReportValidity {
					t.Fatalf("announced for %s", until.Sub(now))
				}
				lastAnnounced, lastReport = now, now
			}
			cost := s.Cost(now, 2, 0)
			if cost <= 0 || cost > float64(time.Minute) {
				t.Fatalf("cost %g is not usable", cost)
			}
			if now.Sub(lastReport) > MaxReportValidity && s.reportedLatency(now) > 0 {
				t.Fatalf("a report is in use %s after it came", now.Sub(lastReport))
			}
		}
	})
}
