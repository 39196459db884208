package auditor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

func logOf(from, requests, extras int) string {
	start := time.Date(2026, 1, 1, 0, 0, from, 0, time.UTC)
	var b strings.Builder
	b.WriteString("not a line of JSON\n")
	for i := range requests {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond).Format(time.RFC3339Nano)
		if i < extras {
			_, _ = fmt.Fprintf(&b, `{"time":%q,"msg":"attempt: extra","id":"r-%d-%d","shard":"desk","purpose":"hedge"}`+"\n", at, from, i)
		}
		_, _ = fmt.Fprintf(&b, `{"time":%q,"msg":"request: answered","id":"r-%d-%d","route":"sweep","took-ms":0}`+"\n", at, from, i)
	}
	return b.String()
}

// Two VMs each stay within a share of their own requests, but both send their extra attempts in the same window.
func TestAuditSumsTheExtraAttemptsOfAllVMs(t *testing.T) {
	l := NewLog()
	for vm, from := range map[modeler.VMName]int{"a": 0, "b": 5} {
		if err := l.Read(vm, strings.NewReader(logOf(from, 500, 60))); err != nil {
			t.Fatal(err)
		}
	}
	findings := l.Audit(limiter.Allowance{Ratio: 0.1, Slack: 10, Window: 10 * time.Second})
	if len(findings) != 1 {
		t.Fatalf("%d services, want 1", len(findings))
	}
	f := findings[0]
	if f.Service != "desk" || f.Requests != 1000 || f.Extra != 120 || f.ByVM["a"] != 60 || f.ByVM["b"] != 60 || f.ByPurpose["hedge"] != 120 {
		t.Errorf("worst window is %+v, want 120 hedges, 60 of each VM, for 1,000 requests", f)
	}
	if f.Share() <= 1 {
		t.Errorf("share of the allowance is %.2f, want it exceeded", f.Share())
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	l := NewLog()
	const lines = `{"msg":"log: lines dropped","count":40}` + "\n" + `{"msg":"attempt: extra ones denied","count":7}` + "\n" + `{"msg":"log: lines dropped","count":2}`
	if err := l.Read("a", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	if n := l.Dropped(); n != 42 {
		t.Errorf("%d dropped lines, want 42", n)
	}
}

func TestAuditCountsTheRequestsOfTheWindowBefore(t *testing.T) {
	l := NewLog()
	for _, part := range []string{logOf(0, 900, 0), logOf(10, 60, 60)} {
		if err := l.Read("a", strings.NewReader(part)); err != nil {
			t.Fatal(err)
		}
	}
	f := l.Audit(limiter.Allowance{Ratio: 0.1, Slack: 10, Window: 10 * time.Second})[0]
	if f.Requests != 900 || f.Extra != 60 {
		t.Errorf("worst window is %+v, want 60 extra attempts for the 900 requests before it", f)
	}
}
