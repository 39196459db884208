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

func TestTicketLifecycle(t *testing.T) {
	r := NewRegistry(1)
	ticket, _ := r.Issue(epoch, "desk")
	if d, _, _ := r.Begin(epoch, ticket, 5); d != Run {
		t.Fatal("the first request with a ticket does not run")
	}
	if d, _, _ := r.Begin(epoch, ticket, 5); d != Wait {
		t.Error("a resend does not wait while the request is running")
	}
	if _, o, _ := r.Begin(epoch, ticket, 6); o.Kind != refuser.TicketMismatch {
		t.Error("a resend with a different body is not refused as a mismatch")
	}
	if _, ok := r.Close(); ok {
		t.Error("Close returned a handover while a request was running")
	}
	r.End(ticket, Outcome{Result: []byte("done")})
	handover, ok := r.Close()
	if !ok || r.Owns(1) {
		t.Fatal("Close returned no handover, or the closed issuer still owns its tickets")
	}
	successor := NewRegistry(2)
	successor.Adopt(handover)
	if d, o, _ := successor.Begin(epoch, ticket, 5); d != Answer || string(o.Result) != "done" {
		t.Error("the successor does not answer a resend with the recorded result")
	}
}

func TestTicketsAreRefusedAfterTheirWindows(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		used  bool
		want  refuser.Kind
	}{
		{"unused, expired", BeginWithin + time.Second, false, refuser.TicketExpired},
		{"unused, resend window passed", BeginWithin + ResendWindow + time.Second, false, refuser.OutcomeUnknown},
		{"used, within the resend window", ResendWindow, true, ""},
		// Sweep removes a record BeginWithin+ResendWindow after its request began. The second BeginWithin allows for a
		// request that begins as late as possible; this one begins at the issue.
		{"used, resend window passed", 2*BeginWithin + ResendWindow + time.Second, true, refuser.OutcomeUnknown},
	}
	for _, tt := range tests {
		r := NewRegistry(1)
		ticket, _ := r.Issue(epoch, "desk")
		if tt.used {
			r.Begin(epoch, ticket, 1)
			r.End(ticket, Outcome{Result: []byte("done")})
		}
		r.Sweep(epoch.Add(tt.after))
		if _, o, _ := r.Begin(epoch.Add(tt.after), ticket, 1); o.Kind != tt.want {
			t.Errorf("ticket %s: refusal kind %q, want %q", tt.name, o.Kind, tt.want)
		}
	}
}

// useTicketRandomly sends random requests with one ticket to r, or to the successor that has adopted its tickets.
// It returns how often the ticket ran, and whether an answer said that it did not run although it had.
func useTicketRandomly(t *rapid.T, r *Registry) (ran int, falseNotRun bool) {
	ticket, _ := r.Issue(epoch, "desk")
	now := epoch
	successor := NewRegistry(2)
	running := false
	for range rapid.IntRange(1, 30).Draw(t, "uses") {
		now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0, 1:
			d, o, _ := r.Begin(now, ticket, 1)
			if d == Run {
				ran++
				running = true
			}
			if d == Answer && o.Kind != "" && refuser.Lookup(o.Kind).NotRun == refuser.Yes && ran > 0 {
				falseNotRun = true
			}
		case 2:
			if running {
				running = false
				r.End(ticket, Outcome{Result: []byte("done")})
			}
		case 3:
			r.Sweep(now)
			if handover, ok := r.Close(); ok && successor.Adopt(handover) {
				r, successor = successor, NewRegistry(Incarnation(rapid.Uint64Range(3, 1<<40).Draw(t, "next")))
			}
		}
	}
	return ran, falseNotRun
}

func TestTicketRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if ran, falseNotRun := useTicketRandomly(t, NewRegistry(1)); ran > 1 || falseNotRun {
			t.Fatalf("the ticket ran %d times, want at most 1; false not-run answer: %v, want false", ran, falseNotRun)
		}
	})
	ranTwice := false
	rapid.Check(t, func(t *rapid.T) {
		ran, _ := useTicketRandomly(t, WithoutRecords(NewRegistry(1)))
		ranTwice = ranTwice || ran > 1
	})
	if !ranTwice {
		t.Error("no ticket ran twice without records, so the check above detects nothing")
	}
}

func TestSigner(t *testing.T) {
	s := NewSigner([][]byte{[]byte("a key"), []byte("an old key")})
	oldSigner := NewSigner([][]byte{[]byte("an old key")})
	want := Ticket{7, "desk-01", 3, epoch}
	got, err := s.Parse(oldSigner.Format(want))
	if err != nil || got.Issuer != 7 || got.Service != "desk-01" || got.Serial != 3 || !got.Expiry.Equal(epoch) {
		t.Errorf("a ticket signed with the second key parses as %+v, error %v", got, err)
	}
	text := s.Format(want)
	for i := range text {
		b := []byte(text)
		b[i] ^= 1
		if _, err := s.Parse(string(b)); err == nil {
			t.Errorf("a ticket with a changed byte was accepted: %s", b)
		}
	}
}

func FuzzParse(f *testing.F) {
	s := NewSigner([][]byte{[]byte("a key")})
	f.Add(s.Format(Ticket{7, "desk-01", 3, epoch}))
	f.Fuzz(func(t *testing.T, text string) {
		if ticket, err := s.Parse(text); err == nil && s.Format(ticket) != text {
			t.Errorf("%q is accepted, but its ticket formats as a different text", text)
		}
	})
}

// BenchmarkTicket measures one ticket from issue to recorded outcome: time, and memory per recorded ticket.
func BenchmarkTicket(b *testing.B) {
	r := NewRegistry(1)
	s := NewSigner([][]byte{[]byte("a key")})
	for b.Loop() {
		ticket, _ := r.Issue(epoch, "desk-01")
		got, err := s.Parse(s.Format(ticket))
		if err != nil {
			b.Fatal(err)
		}
		if d, _, _ := r.Begin(epoch, got, 1); d == Run {
			r.End(got, Outcome{Result: []byte(`{"booked":true}`)})
		}
	}
}
