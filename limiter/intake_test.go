package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// intakeStart is when the connections of the tests open.
var intakeStart = time.Unix(1_800_000_000, 0)

// evictions counts the evictions of connections by their names.
type evictions map[string]int

func (e evictions) open(i *Intake, name string) *Holding {
	return i.Open(intakeStart, func(bool) { e[name]++ })
}

// The connection that has held most for longest must give way first, and those that hold little must stay.
func TestIntakeEvictsWhoHeldMostForLongest(t *testing.T) {
	i, evicted := NewIntake(1000, 100), evictions{}
	at := func(ms int) time.Time { return intakeStart.Add(time.Duration(ms) * time.Millisecond) }
	small, old, large, late := evicted.open(i, "small"), evicted.open(i, "old"), evicted.open(i, "large"), evicted.open(i, "late")
	small.GrowHead(at(0), 10)
	old.GrowHead(at(0), 300)
	large.GrowHead(at(800), 600)
	if !late.GrowHead(at(1000), 150) {
		t.Error("the connection that held least was told to stop")
	}
	if evicted["old"] != 1 || len(evicted) != 1 {
		t.Errorf("evicted %v, want the old one", evicted)
	}
	if old.Grow(at(1001), 1) {
		t.Error("an evicted connection may go on")
	}
	if conns, bytes := i.Load(); conns != 4 || bytes != 760 {
		t.Errorf("%d connections hold %d bytes, want 4 and 760: an evicted one counts until it has closed", conns, bytes)
	}
	old.Close()
	if conns, _ := i.Load(); conns != 3 {
		t.Errorf("%d connections are open, want 3", conns)
	}
}

// A request that is being served must never be evicted, however much it holds.
func TestIntakeKeepsRequestsThatAreServed(t *testing.T) {
	i, evicted := NewIntake(1000, 100), evictions{}
	served, reading := evicted.open(i, "served"), evicted.open(i, "reading")
	served.Grow(intakeStart, 900)
	if !served.StartRun(intakeStart) {
		t.Fatal("the only request was refused")
	}
	if reading.Grow(intakeStart.Add(time.Second), 200) {
		t.Error("a request that does not fit beside the one that is served may go on")
	}
	if evicted["served"] != 0 || evicted["reading"] != 1 {
		t.Errorf("evicted %v, want the one that is read", evicted)
	}
}

// Large requests must leave room for smaller ones, and a request must be served once nothing else is.
func TestIntakeServesSmallRequestsBesideLargeOnes(t *testing.T) {
	i, evicted := NewIntake(1000, 100), evictions{}
	var served []*Holding
	for {
		h := evicted.open(i, "large")
		h.Grow(intakeStart, 100)
		if !h.StartRun(intakeStart) {
			h.Close()
			break
		}
		served = append(served, h)
	}
	if len(served) == 0 {
		t.Fatal("no large request was served")
	}
	small := evicted.open(i, "small")
	small.Grow(intakeStart, 10)
	if !small.StartRun(intakeStart) {
		t.Errorf("a small request was refused beside %d large ones", len(served))
	}
	small.Finish(intakeStart)
	for _, h := range served {
		h.Finish(intakeStart)
	}
	largest := evicted.open(i, "largest")
	largest.Grow(intakeStart, 999)
	if !largest.StartRun(intakeStart) {
		t.Error("a request was refused while none was served")
	}
}

// With too many connections, those on which nothing comes must give way before ordinary idle ones, the oldest of them
// before others, and one whose request is being served never.
func TestIntakeClosesUnusedConnectionsFirst(t *testing.T) {
	const most = 10
	i, evicted := NewIntake(1000, most), evictions{}
	served, idle, old := evicted.open(i, "served"), evicted.open(i, "idle"), evicted.open(i, "old")
	served.StartBody(intakeStart)
	served.StartRun(intakeStart)
	idle.Finish(intakeStart)
	old.GrowHead(intakeStart, 1)
	for n := range 2 * most {
		i.Open(intakeStart.Add(time.Duration(n)*time.Second), func(bool) { evicted["new"]++ })
		if conns, _ := i.Load(); conns > most {
			t.Fatalf("%d connections are open, want at most %d", conns, most)
		}
	}
	if evicted["old"] != 1 || evicted["idle"]+evicted["served"] != 0 {
		t.Errorf("evicted %v, want no idle or served one", evicted)
	}
	if evicted["new"] == 0 {
		t.Error("none of the unused connections was evicted")
	}
}

// With too many idle connections, a new one must be kept, and the longest idle one give way.
func TestIntakeKeepsNewcomersBesideIdleConnections(t *testing.T) {
	const most = 10
	i, evicted := NewIntake(1000, most), evictions{}
	for n := range most {
		name := "idle"
		if n == 0 {
			name = "longest idle"
		}
		evicted.open(i, name).Finish(intakeStart.Add(time.Duration(n) * time.Second))
	}
	i.Open(intakeStart.Add(most*time.Second), func(bool) { evicted["newcomer"]++ })
	if evicted["longest idle"] != 1 || len(evicted) != 1 {
		t.Errorf("evicted %v, want the longest idle one", evicted)
	}
}

// A connection that can't be added beside requests that are being served must be closed itself.
func TestIntakeClosesNewcomersBesideServedRequests(t *testing.T) {
	i, evicted := NewIntake(1000, 1), evictions{}
	served := evicted.open(i, "served")
	served.StartBody(intakeStart)
	served.StartRun(intakeStart)
	evicted.open(i, "newcomer")
	if evicted["newcomer"] != 1 || len(evicted) != 1 {
		t.Errorf("evicted %v, want the newcomer", evicted)
	}
}

// A connection must be closed when it has been idle, or has sent a head, for longer than its timeout, and not earlier.
func TestIntakeClosesOverdueConnections(t *testing.T) {
	timeouts := Timeouts{Idle: 15 * time.Second, Head: 3 * time.Second, Read: 10 * time.Second}
	finish := func(h *Holding, now time.Time) { h.Finish(now) }
	tests := []struct {
		name  string
		start func(h *Holding, now time.Time)
		after time.Duration
		want  int
	}{
		{"unused", func(*Holding, time.Time) {}, timeouts.Idle, 0},
		{"unused for too long", func(*Holding, time.Time) {}, timeouts.Idle + 1, 1},
		{"idle", finish, timeouts.Idle, 0},
		{"idle for too long", finish, timeouts.Idle + 1, 1},
		{"head", func(h *Holding, now time.Time) { h.GrowHead(now, 1) }, timeouts.Head, 0},
		{"head for too long", func(h *Holding, now time.Time) { h.GrowHead(now, 1) }, timeouts.Head + 1, 1},
		{"answer", func(h *Holding, now time.Time) { h.StartWrite(now, 1) }, timeouts.Read, 0},
		{"answer that is not read", func(h *Holding, now time.Time) { h.StartWrite(now, 1) }, timeouts.Read + 1, 1},
		{"answer that is read slowly", func(h *Holding, now time.Time) {
			h.StartWrite(now.Add(-timeouts.Read), 1)
			h.StartWrite(now, 1)
		}, timeouts.Read, 0},
		{"request that is served", func(h *Holding, now time.Time) { h.StartRun(now) }, time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i, evicted := NewIntake(1000, 10), evictions{}
			h := evicted.open(i, tt.name)
			tt.start(h, intakeStart)
			i.CloseOverdue(intakeStart.Add(tt.after), timeouts)
			if evicted[tt.name] != tt.want {
				t.Errorf("closed %d times, want %d", evicted[tt.name], tt.want)
			}
		})
	}
	i, evicted := NewIntake(1000, 10), evictions{}
	evicted.open(i, "unlimited").GrowHead(intakeStart, 1)
	i.CloseOverdue(intakeStart.Add(time.Hour), Timeouts{})
	if len(evicted) != 0 {
		t.Error("a connection was closed without a timeout")
	}
}

// Whatever connections do, those that may be evicted never hold more than the bound leaves, no connection is evicted
// twice or while it is served, and nothing is left when all have closed.
func TestIntakeKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound, most = 1000, 5
		i := NewIntake(bound, most)
		now := intakeStart
		phases := map[*Holding]Phase{}
		evicted := map[*Holding]int{}
		var all []*Holding
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				var h *Holding
				h = i.Open(now, func(refuse bool) {
					if refuse {
						evicted[h]++
					}
					if phases[h] == PhaseRunning {
						t.Fatal("a request that is served was evicted")
					}
				})
				all = append(all, h)
				continue
			}
			h := rapid.SampledFrom(all).Draw(t, "holding")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if phases[h] != PhaseRunning && phases[h] != PhaseWriting {
					phases[h] = PhaseBody
					h.Grow(now, int64(rapid.IntRange(0, bound/2).Draw(t, "bytes")))
				}
			case 2:
				if phases[h] == PhaseBody && h.StartRun(now) {
					phases[h] = PhaseRunning
				}
			case 3:
				phases[h] = PhaseIdle
				h.Finish(now)
			case 4:
				if phases[h] == PhaseRunning {
					phases[h] = PhaseWriting
					h.StartWrite(now, int64(rapid.IntRange(0, bound/2).Draw(t, "answer")))
				}
			case 5:
				phases[h] = PhaseUnused
				h.Close()
			}
			running := 0
			for _, p := range phases {
				if p == PhaseRunning {
					running++
				}
			}
			if conns, _ := i.Load(); conns > max(most, running) {
				t.Fatalf("%d connections are open, %d of them with requests that are served", conns, running)
			}
			if i.bytes > bound && i.bytes > i.running {
				t.Fatalf("connections hold %d bytes, %d of them for requests that are served", i.bytes, i.running)
			}
		}
		for h, n := range evicted {
			if n > 1 {
				t.Fatalf("a request was refused %d times", n)
			}
			if h.Grow(now, 1) {
				t.Fatal("an evicted connection may go on")
			}
		}
		for _, h := range all {
			h.Close()
		}
		if conns, bytes := i.Load(); conns != 0 || bytes != 0 || i.running != 0 {
			t.Fatalf("%d connections, %d bytes and %d for requests that are served are left", conns, bytes, i.running)
		}
	})
}
