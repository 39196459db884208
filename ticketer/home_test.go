package ticketer

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/refuser"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func TestHome(t *testing.T) {
	h := NewHome(1)
	ticket, _ := h.Issue(epoch, "desk")
	if d, _, _ := h.Begin(epoch, ticket, 5); d != Run {
		t.Fatal("a fresh ticket must run")
	}
	if d, _, _ := h.Begin(epoch, ticket, 5); d != Wait {
		t.Error("a resend while it runs must wait")
	}
	if _, o, _ := h.Begin(epoch, ticket, 6); o.Kind != refuser.TicketMismatch {
		t.Error("another body must be refused")
	}
	if _, ok := h.Close(); ok {
		t.Error("a home with a running ticket must not hand over")
	}
	h.End(ticket, Outcome{Result: []byte("done")})
	handover, ok := h.Close()
	if !ok || h.Owns(1) {
		t.Fatal("a closed home must hand over and own nothing")
	}
	heir := NewHome(2)
	heir.Adopt(handover)
	if d, o, _ := heir.Begin(epoch, ticket, 5); d != Answer || string(o.Result) != "done" {
		t.Error("the heir must give the same answer")
	}
}

func TestHomeForgetsTruthfully(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		used  bool
		want  refuser.Kind
	}{
		{"never begun, expired", BeginWithin + time.Second, false, refuser.TicketExpired},
		{"never begun, long ago", BeginWithin + ResendWindow + time.Second, false, refuser.OutcomeUnknown},
		{"used, within the window", ResendWindow, true, ""},
		{"used, long ago", 2*BeginWithin + ResendWindow + time.Second, true, refuser.OutcomeUnknown},
	}
	for _, tt := range tests {
		h := NewHome(1)
		ticket, _ := h.Issue(epoch, "desk")
		if tt.used {
			h.Begin(epoch, ticket, 1)
			h.End(ticket, Outcome{Result: []byte("done")})
		}
		h.Sweep(epoch.Add(tt.after))
		if _, o, _ := h.Begin(epoch.Add(tt.after), ticket, 1); o.Kind != tt.want {
			t.Errorf("%s: %q, not %q", tt.name, o.Kind, tt.want)
		}
	}
}

// runs plays random uses of one ticket at a home and its heir, and returns how often it ran and whether a not-run answer was false.
func runs(t *rapid.T, h *Home) (ran int, lied bool) {
	ticket, _ := h.Issue(epoch, "desk")
	now := epoch
	heir := NewHome(2)
	running := false
	for range rapid.IntRange(1, 30).Draw(t, "uses") {
		now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0, 1:
			d, o, _ := h.Begin(now, ticket, 1)
			if d == Run {
				ran++
				running = true
			}
			if d == Answer && o.Kind != "" && refuser.Lookup(o.Kind).NotRun == refuser.Yes && ran > 0 {
				lied = true
			}
		case 2:
			if running {
				running = false
				h.End(ticket, Outcome{Result: []byte("done")})
			}
		case 3:
			h.Sweep(now)
			if handover, ok := h.Close(); ok && heir.Adopt(handover) {
				h, heir = heir, NewHome(Incarnation(rapid.Uint64Range(3, 1<<40).Draw(t, "next")))
			}
		}
	}
	return ran, lied
}

func TestTicketRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if ran, lied := runs(t, NewHome(1)); ran > 1 || lied {
			t.Fatalf("ran %d times, lied %v", ran, lied)
		}
	})
	twice := false
	rapid.Check(t, func(t *rapid.T) {
		ran, _ := runs(t, WithoutRecords(NewHome(1)))
		twice = twice || ran > 1
	})
	if !twice {
		t.Error("without records no ticket ran twice: the check cannot fail")
	}
}

func TestSigner(t *testing.T) {
	s := NewSigner([][]byte{[]byte("a key"), []byte("an old key")})
	old := NewSigner([][]byte{[]byte("an old key")})
	want := Ticket{7, "desk-01", 3, epoch}
	got, err := s.Parse(old.Format(want))
	if err != nil || got.Home != 7 || got.Service != "desk-01" || got.Serial != 3 || !got.Expiry.Equal(epoch) {
		t.Errorf("parsed %+v, %v", got, err)
	}
	text := s.Format(want)
	for i := range text {
		b := []byte(text)
		b[i] ^= 1
		if _, err := s.Parse(string(b)); err == nil {
			t.Errorf("accepted %s", b)
		}
	}
}

func FuzzParse(f *testing.F) {
	s := NewSigner([][]byte{[]byte("a key")})
	f.Add(s.Format(Ticket{7, "desk-01", 3, epoch}))
	f.Fuzz(func(t *testing.T, text string) {
		if ticket, err := s.Parse(text); err == nil && s.Format(ticket) != text {
			t.Errorf("%q parses as another ticket", text)
		}
	})
}

// BenchmarkHome measures one order's state: time for a ticket, memory for a remembered one.
func BenchmarkHome(b *testing.B) {
	h := NewHome(1)
	s := NewSigner([][]byte{[]byte("a key")})
	for b.Loop() {
		ticket, _ := h.Issue(epoch, "desk-01")
		got, err := s.Parse(s.Format(ticket))
		if err != nil {
			b.Fatal(err)
		}
		if d, _, _ := h.Begin(epoch, got, 1); d == Run {
			h.End(got, Outcome{Result: []byte(`{"booked":true}`)})
		}
	}
}
