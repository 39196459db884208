package observer

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const suspect = Fingerprint(7)

func second(n float64) time.Time { return epoch.Add(time.Duration(n * float64(time.Second))) }

// crashAt returns the crash of a searcher that was alive until alive and was lost at lost, in seconds.
func crashAt(searcher byte, alive, lost float64) Crash {
	return Crash{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, searcher}), 80), second(alive), second(lost)}
}

// Guards against requests that are refused although other causes explain their crashes, and against requests that crash
// searcher after searcher. Each case is a request's crashes in the order in which they are recorded.
func TestWhichCrashesLeadToQuarantine(t *testing.T) {
	good := []float64{0}
	for _, tt := range []struct {
		name     string
		answered []float64 // before the crashes, in seconds
		crashes  []Crash
		want     bool
	}{
		{"one crash", nil, []Crash{crashAt(1, 9, 10)}, false},
		{"one crash that two equal requests saw", nil, []Crash{crashAt(1, 9, 10), crashAt(1, 9.5, 10.001)}, false},
		{"all searchers at one moment, seen by many", nil, []Crash{crashAt(1, 9, 10), crashAt(2, 5, 10.002), crashAt(3, 9.99, 10.001), crashAt(2, 9.9, 10.004)}, false},
		{"a searcher that was alive after the first crash", nil, []Crash{crashAt(1, 9, 10), crashAt(2, 10.1, 10.2)}, true},
		{"the same searcher after it started again", nil, []Crash{crashAt(1, 9, 10), crashAt(1, 14, 15)}, true},
		{"recorded in another order", nil, []Crash{crashAt(2, 10.1, 10.2), crashAt(1, 9, 10)}, true},
		{"one moment in another order", nil, []Crash{crashAt(2, 9, 10.2), crashAt(1, 9, 10)}, false},
		{"one crash told by two VMs whose times of day differ", nil, []Crash{ToldCrash(crashAt(1, 0, 0).Searcher, second(10)), ToldCrash(crashAt(1, 0, 0).Searcher, second(12))}, false},
		{"two crashes on two VMs", nil, []Crash{ToldCrash(crashAt(1, 0, 0).Searcher, second(10)), ToldCrash(crashAt(2, 0, 0).Searcher, second(14))}, true},
		{"known good, searchers that fail one after the other", good, []Crash{crashAt(1, 9, 10), crashAt(2, 10.1, 10.2), crashAt(3, 10.3, 10.4)}, false},
		{"known good, two moments", good, []Crash{crashAt(1, 9, 10), crashAt(2, 14, 15)}, false},
		{"known good, but crashes three times since", good, []Crash{crashAt(1, 9, 10), crashAt(2, 14, 15), crashAt(1, 19, 20)}, true},
		{"answered after the crashes", []float64{0, 30}, []Crash{crashAt(1, 9, 10), crashAt(2, 14, 15), crashAt(1, 19, 20)}, false},
		{"crashes longer ago than they count", nil, []Crash{crashAt(1, 9, 10), crashAt(1, 1000, 1001)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQuarantine()
			for _, at := range tt.answered {
				q.RecordGood(suspect, 1, second(at))
			}
			got := false
			for _, c := range tt.crashes {
				got = q.RecordCrashes(suspect, c.At, c)
			}
			if got != tt.want {
				t.Errorf("suffices: %v, want %v", got, tt.want)
			}
			if q.RecordCrashes(suspect, second(1e6)) || q.IsSuspect(suspect) {
				t.Error("the request is still suspect long after its crashes")
			}
		})
	}
}

// However many requests one failure of all searchers ends, in whatever order they are recorded, it is one moment.
func TestOneFailureIsOneMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQuarantine()
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			alive := rapid.Float64Range(0, 10).Draw(t, "alive until")
			lost := rapid.Float64Range(10, 12).Draw(t, "lost at")
			if q.RecordCrashes(suspect, second(13), crashAt(byte(rapid.IntRange(1, 9).Draw(t, "searcher")), alive, lost)) {
				t.Fatal("crashes at one moment suffice")
			}
		}
	})
}

// A request that crashes each searcher that runs it, on many VMs in turn, must be found after few crashes, whatever other
// searchers do.
func TestRequestThatCrashesSearchersIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQuarantine()
		at := 0.0
		for range 2 {
			at += rapid.Float64Range(ToldCrashSpan.Seconds()+0.01, 200).Draw(t, "pause")
			c := crashAt(byte(rapid.IntRange(1, 3).Draw(t, "searcher")), at-0.1, at)
			if rapid.Bool().Draw(t, "told") {
				c = ToldCrash(c.Searcher, c.At)
			}
			q.RecordCrashes(suspect, c.At, c)
		}
		if !q.RecordCrashes(suspect, second(at)) {
			t.Fatal("two crashes at different times do not suffice")
		}
	})
}

// Guards against a quarantine by mistake that lasts: an answer ends it, here and by news, unless it was before.
func TestAnswerEndsAQuarantine(t *testing.T) {
	q := NewQuarantine()
	q.Find(suspect, second(10))
	q.ToldGood(suspect, second(12), second(10-ToldCrashSpan.Seconds()))
	if !q.Contains(suspect, second(12)) {
		t.Error("an answer before the quarantine ended it")
	}
	q.ToldGood(suspect, second(14), second(13))
	if q.Contains(suspect, second(14)) || !q.AnsweredLately(suspect, second(14)) {
		t.Error("news of an answer after the quarantine must end it")
	}
	q.Find(suspect, second(20))
	if !q.RecordGood(suspect, 1, second(21)) || q.Contains(suspect, second(21)) {
		t.Error("an answer must end the quarantine and be reported")
	}
	if q.RecordGood(suspect, 1, second(22)) {
		t.Error("an answer to a request that was not suspect is reported")
	}
}

// Guards against trials that crash more searchers than one: a VM lets one request through, and only if it found the crashes.
func TestQuarantineHasOneTrial(t *testing.T) {
	q := NewQuarantine()
	if _, isNew := q.Find(suspect, epoch); !isNew {
		t.Fatal("the quarantine is not new")
	}
	later := epoch.Add(TrialDelay)
	if q.TakeTrial(suspect, later.Add(-time.Millisecond)) || !q.TakeTrial(suspect, later) || q.TakeTrial(suspect, later) {
		t.Error("want one trial, after TrialDelay")
	}
	if _, isNew := q.Find(suspect, later); isNew || q.TakeTrial(suspect, later.Add(TrialDelay)) {
		t.Error("a crash of the trial begins the quarantine anew")
	}
	told := NewQuarantine()
	told.Add(suspect, epoch, epoch.Add(QuarantinePeriod))
	if told.TakeTrial(suspect, later) {
		t.Error("a VM that was told of the quarantine has a trial")
	}
}
