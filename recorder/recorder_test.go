package recorder

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

func TestClock(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewClock(func() time.Time { return now })
	a := c.Now()
	now = now.Add(-time.Hour)
	if b := c.Now(); !a.Before(b) {
		t.Error("a stamp taken after the wall time was set back does not come after an earlier stamp")
	}
	// The observed stamp lies before the stamps above, because the wall time was set back by an hour. So this check also
	// passes if Observe does nothing.
	observed := Stamp{Wall: now.Add(2 * time.Minute).UnixMicro()}
	c.Observe(observed)
	if b := c.Now(); !observed.Before(b) {
		t.Error("a stamp taken after Observe does not come after the observed stamp")
	}
	last := c.Now()
	c.Observe(Stamp{Wall: now.Add(2 * MaxSkew).UnixMicro()})
	if b := c.Now(); b.Wall != last.Wall {
		t.Error("a stamp more than MaxSkew ahead was not ignored")
	}
}

// An event caused by a message from a VM whose clock is a minute ahead must still be merged after its cause.
func TestMergeKeepsCausalOrderDespiteSkew(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	behind := NewRecorder("behind", NewClock(func() time.Time { return wall.Add(-time.Minute) }))
	ahead := NewRecorder("ahead", NewClock(func() time.Time { return wall }))
	ahead.Record(Event{Kind: OrderForwarded, Request: "x"})
	sent, _ := ahead.Events(0, "x")
	behind.Clock().Observe(sent[0].At)
	behind.Record(Event{Kind: OrderDone, Request: "x"})
	got, _ := behind.Events(0, "x")
	merged := Merge(got, sent)
	if merged[0].Kind != OrderForwarded || merged[1].Kind != OrderDone {
		t.Errorf("Merge returned %v, want order-forwarded before order-done", merged)
	}
}

func TestRingIsBounded(t *testing.T) {
	r := NewRecorder("vm", NewClock(time.Now), WithCapacity(10))
	for range 25 {
		r.Record(Event{Kind: ProcessStarted})
	}
	events, next := r.Events(0, "")
	if len(events) != 10 || next != 25 {
		t.Errorf("ring holds %d events and the next position is %d, want 10 and 25", len(events), next)
	}
	if events, _ := r.Events(24, ""); len(events) != 1 {
		t.Errorf("%d events from position 24 on, want 1", len(events))
	}
}

func TestVMsSampleTheSameRequests(t *testing.T) {
	a := NewRecorder("a", NewClock(time.Now), WithSample(0.3))
	b := NewRecorder("b", NewClock(time.Now), WithSample(0.3))
	kept := 0
	for _, id := range strings.Fields("a b c d e f g h i j k l m n o p q r s t u v w x y z") {
		if a.Sampled("request-"+modeler.RequestID(id)) != b.Sampled("request-"+modeler.RequestID(id)) {
			t.Error("two VMs decided differently about the same request")
		}
		if a.Sampled("request-" + modeler.RequestID(id)) {
			kept++
		}
	}
	if kept == 0 || kept == 26 {
		t.Errorf("%d of 26 requests are sampled, want some but not all", kept)
	}
}

func TestDocsNameEveryEvent(t *testing.T) {
	b, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range EventKinds() {
		if !strings.Contains(string(b), "`"+string(k)+"`") {
			t.Errorf("docs/OPERATIONS.md does not name the event kind %s", k)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	r := NewRecorder("vm", NewClock(time.Now))
	e := []Event{r.Stamp(Event{Kind: AttemptSent, Request: "x"})}
	for b.Loop() {
		r.Append(e)
	}
}
