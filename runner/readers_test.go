package runner

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against a fleet in which each VM waits for others to read the store when it is back, because all have failed to
// read it and each has heard of the failures of the others at another time.
func TestVMsThatLostTheStoreTryItAgainWhileItIsUnconfirmed(t *testing.T) {
	now := time.Now()
	self, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	members := []gossiper.Member{{Name: "a", Address: self}, {Name: "b", Address: other}}
	tests := []struct {
		name        string
		unconfirmed time.Duration
		want        []modeler.VMName
	}{
		{"another VM reads it", 0, []modeler.VMName{"b"}},
		{"confirmed a while ago", configurer.ConfirmLimit - 1, []modeler.VMName{"b"}},
		{"unconfirmed", configurer.ConfirmLimit, []modeler.VMName{"a", "b"}},
	}
	for _, tt := range tests {
		l := &storeLosses{}
		l.record(other, now.Add(-StoreLostPeriod)) // heard long ago
		l.record(self, now.Add(-StoreLostPeriod/2))
		if got := l.storeCandidates(members, now, tt.unconfirmed); !slices.Equal(got, tt.want) {
			t.Errorf("%s: candidates %v, want %v", tt.name, got, tt.want)
		}
	}
}
