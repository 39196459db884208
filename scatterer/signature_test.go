package scatterer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// signedWire reads the whole body of an answer as its signature.
func signedWire() dialer.Wire {
	return dialer.Wire{
		Fill: func(req *fasthttp.Request, call *dialer.Call, _ time.Duration) { req.SetRequestURI("http://searcher/") },
		Read: func(res *fasthttp.Response, _ *dialer.Call) dialer.Reply {
			return dialer.Reply{Status: http.StatusOK, Signature: string(res.Body())}
		},
	}
}

// Guards against a complete answer that holds one shard twice, whatever confusion brings it about: a part with the signature
// of another shard's part counts as missing.
func TestPartWithAnotherShardsSignatureIsMissing(t *testing.T) {
	for _, tt := range []struct {
		name       string
		signatures []string // by shard
		answered   int
	}{
		{"signatures of their own", []string{"a", "b", "c"}, 3},
		{"one signature twice", []string{"a", "b", "a"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var c modeler.Configuration
			s := &planner.Snapshot{}
			for i, signature := range tt.signatures {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, signature) }))
				t.Cleanup(server.Close)
				name := modeler.ServiceName("shard-" + string(rune('1'+i)))
				address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
				c.Services = append(c.Services, modeler.Service{Name: name, Searchers: []modeler.Searcher{{Name: modeler.SearcherName(name), Address: address, FailureDomain: "north"}}})
				s.Shards = append(s.Shards, planner.Shard{Name: modeler.ShardName(name), Service: int32(i)})
			}
			o := observer.NewObserver()
			v := planner.NewView(modeler.Position{Revision: 1}, "north", nil, []modeler.Configuration{c}, o)
			d := dialer.NewDialer(netip.MustParseAddr("127.0.0.1"), dialer.WithWire(signedWire()))
			t.Cleanup(d.Close)
			x := NewScatterer(d, o, observer.NewQuarantine(), recorder.NewRecorder("vm-1", recorder.NewClock(time.Now)))
			x.Windows = limiter.NewWindows(limiter.Allowance{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, func() int { return 1 })
			res := x.Run(t.Context(), Request{
				ID: "r", View: v, Index: &planner.Index{Policy: modeler.Policy{LeastCoverage: 0.1}}, Snapshot: s, Deadline: time.Now().Add(time.Second),
				Forward: &Forward{Message: &dialer.Message{}, Patience: time.Now().Add(time.Second), MaxRuns: 1},
			})
			if len(res.ShardReplies) != tt.answered || len(res.Missing) != len(tt.signatures)-tt.answered {
				t.Errorf("%d parts and %v missing, want %d parts", len(res.ShardReplies), res.Missing, tt.answered)
			}
			if res.Faults[gatherer.FaultCrossed] != len(tt.signatures)-tt.answered {
				t.Errorf("faults %s, want crossed for each part with another shard's signature", res.Faults)
			}
		})
	}
}
