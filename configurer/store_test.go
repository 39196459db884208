package configurer

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var now = time.Unix(1_800_000_000, 0)

// at returns the position of a revision in epoch 0.
func at(rev int) modeler.Position { return modeler.Position{Revision: modeler.Revision(rev)} }

// value returns a valid value with one team.
func value(key string, rev int, team string) Value {
	return Value{key, at(rev), []byte(fmt.Sprintf(`{"teams": [{"name": %q, "share": 0.5}]}`, team))}
}

func TestStore(t *testing.T) {
	broken := Value{"a", at(5), []byte(`{"teams": [{"name": "?"}]}`)}
	tests := []struct {
		name          string
		offers        []Value
		wantTeam      string
		wantRefusals  int
		revisionOrder func(offered, held modeler.Position) bool
	}{
		{name: "newer revision replaces the older one", offers: []Value{value("a", 1, "one"), value("a", 2, "two")}, wantTeam: "two"},
		{name: "older revision is ignored", offers: []Value{value("a", 2, "two"), value("a", 1, "one")}, wantTeam: "two"},
		{name: "refused value leaves the last accepted value in force", offers: []Value{value("a", 4, "four"), broken}, wantTeam: "four", wantRefusals: 1},
		{name: "accepted value clears an older refusal", offers: []Value{value("a", 4, "four"), broken, value("a", 6, "six")}, wantTeam: "six"},
		{name: "older valid value is accepted after a newer one was refused", offers: []Value{broken, value("a", 4, "four")}, wantTeam: "four", wantRefusals: 1},
		{
			name: "any different revision replaces the held one when the revision order is switched off", offers: []Value{value("a", 2, "two"), value("a", 1, "one")}, wantTeam: "one",
			revisionOrder: func(offered, held modeler.Position) bool { return offered != held },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var options []Option
			if tt.revisionOrder != nil {
				options = append(options, WithOrder(tt.revisionOrder))
			}
			s := NewStore(options...)
			for _, v := range tt.offers {
				s.Offer(now, v.Position, []Value{v})
			}
			_, configurations := s.InForce()
			if got := string(configurations[0].Teams[0].Name); got != tt.wantTeam {
				t.Errorf("team in force is %q, want %q", got, tt.wantTeam)
			}
			if got := len(s.State().Refused); got != tt.wantRefusals {
				t.Errorf("State lists %d refusals, want %d", got, tt.wantRefusals)
			}
		})
	}
}

// Stores that receive the same values in another order, directly or from a peer, must reach the same state.
func TestStoresAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Value
		for rev := 1; rev <= rapid.IntRange(1, 20).Draw(t, "values"); rev++ {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			v := value(key, rev, fmt.Sprintf("team-%d", rev))
			if rapid.IntRange(0, 3).Draw(t, "broken") == 0 {
				v.Text = []byte("{")
			}
			all = append(all, v)
		}
		want := NewStore()
		want.Offer(now, all[len(all)-1].Position, all)
		direct, peer := NewStore(), NewStore()
		var highest modeler.Revision
		for _, i := range rapid.Permutation(slices.Collect(indexes(len(all)))).Draw(t, "order") {
			direct.Offer(now, at(0), all[i:i+1])
			peer.Apply(now, direct.Delta(peer.Head()))
			if st := peer.State(); st.Revision < highest {
				t.Fatalf("head revision went back from %d to %d", highest, st.Revision)
			}
			highest = max(highest, peer.State().Revision)
		}
		for _, s := range []*Store{direct, peer} {
			if s.State().Digest != want.State().Digest || len(s.State().Refused) != len(want.State().Refused) {
				t.Fatalf("state is %+v, want %+v", s.State(), want.State())
			}
		}
	})
}

// indexes iterates over the numbers from 0 to n-1.
func indexes(n int) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}

func TestReadRateIsBounded(t *testing.T) {
	const platformReads = 2000 // reads per second
	for _, n := range []int{9, 300, 3100} {
		perSecond := float64(n) / PollPeriod(n).Seconds()
		if perSecond > FleetPollRate+1 {
			t.Errorf("%d VMs read %.0f times per second, which exceeds FleetPollRate", n, perSecond)
		}
	}
	if FleetPollRate > platformReads/10 {
		t.Error("FleetPollRate is more than a tenth of the reads that the platform allows per second")
	}
	for n := range 100 {
		if b := Backoff(n, 1); b > MaxBackoff {
			t.Errorf("backoff of %s after %d failures exceeds MaxBackoff", b, n)
		}
	}
}

func TestReadersPerDomain(t *testing.T) {
	var vms []modeler.VMName
	for i := range 300 {
		vms = append(vms, modeler.VMName(fmt.Sprintf("entry-%d", i)))
	}
	readers := 0
	for _, v := range vms {
		if IsReader(v, "seoul", vms) {
			readers++
		}
	}
	if readers != ReadersPerDomain {
		t.Errorf("a failure domain of 300 VMs has %d readers, want ReadersPerDomain", readers)
	}
}

// BenchmarkChange measures how long a store takes to parse and accept one changed value, the services of one team with
// the given number of searchers. It also reports the bytes per searcher of the value's text and of the store's memory.
func BenchmarkChange(b *testing.B) {
	for _, searchers := range []int{85, 850, 8500} {
		b.Run(fmt.Sprintf("searchers-%d", searchers), func(b *testing.B) {
			text := []byte(`{"services": [`)
			for i := range searchers / 3 {
				if i > 0 {
					text = append(text, ',')
				}
				text = fmt.Appendf(text, `{"name":"s-%d","team":"t","contract":{"slots":2,"connections":25,"set-up":"6ms"},"searchers":[`, i)
				for k := range 3 {
					if k > 0 {
						text = append(text, ',')
					}
					text = fmt.Appendf(text, `{"name":"s-%d-%d","address":"10.%d.%d.%d:70","failure-domain":"d"}`, i, k, k, i/250, i%250)
				}
				text = append(text, "]}"...)
			}
			text = append(text, "]}"...)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := NewStore()
			rev := 1
			s.Offer(now, at(rev), []Value{{"k", at(rev), slices.Clone(text)}})
			runtime.GC()
			runtime.ReadMemStats(&after)
			defer b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(searchers), "held-bytes/searcher")
			defer b.ReportMetric(float64(len(text))/float64(searchers), "text-bytes/searcher")
			for b.Loop() {
				rev++
				if res := s.Offer(now, at(rev), []Value{{"k", at(rev), text}}); len(res.Refused) > 0 {
					b.Fatal(res.Refused)
				}
			}
		})
	}
}

// Guards against log lines as long as the value that they quote.
func TestReasonsOfRefusalsAreShort(t *testing.T) {
	long := strings.Repeat("\u00e9", 100_000)
	for _, decode := range []func(string, []byte) (modeler.Configuration, error){
		func(string, []byte) (modeler.Configuration, error) { return modeler.Configuration{Ignored: long}, nil },
		func(string, []byte) (modeler.Configuration, error) { return modeler.Configuration{}, errors.New(long) },
	} {
		refused := NewStore(WithDecode(decode)).Offer(time.Now(), at(1), []Value{{"k", at(1), []byte("x")}}).Refused
		if len(refused) != 1 || len(refused[0].Reason) > 400 || !utf8.ValidString(refused[0].Reason) {
			t.Errorf("the value is refused %d times, want once with a short reason of valid UTF-8", len(refused))
		}
	}
}
