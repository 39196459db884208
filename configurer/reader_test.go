package configurer

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against a fleet that goes on without changes while all its readers have lost the store.
func TestMoreVMsReadTheStoreTheLongerItIsUnconfirmed(t *testing.T) {
	var vms []modeler.VMName
	for i := range 100 {
		vms = append(vms, modeler.VMName(fmt.Sprint("vm-", i)))
	}
	for _, tt := range []struct {
		unconfirmed time.Duration
		want        int
	}{{0, 3}, {ConfirmLimit - 1, 3}, {ConfirmLimit, 6}, {ConfirmLimit + ConfirmStep, 12}, {time.Hour, MaxStoreReaders}} {
		n := 0
		for _, v := range vms {
			if IsStoreReader(v, vms, tt.unconfirmed) {
				n++
			}
		}
		if n != tt.want {
			t.Errorf("unconfirmed for %v: %d VMs read the store, want %d", tt.unconfirmed, n, tt.want)
		}
	}
}

// Guards against searchers that are used too long by VMs that learn late of their leave: the hold begins when the
// registration may have changed. Registrations that may have lapsed while the store was out of reach are held from now.
func TestHoldBeginsWhenTheRegistrationMayHaveChanged(t *testing.T) {
	const hold, lapse = 2 * time.Second, 3 * time.Second
	now := time.Now()
	tests := []struct {
		name        string
		next        string
		unconfirmed time.Duration
		want        time.Duration // that the searcher stays in use, 0 if it doesn't
	}{
		{"leaving, learned at once", "leaving", 0, hold},
		{"leaving, learned late", "leaving", time.Second, hold - time.Second},
		{"leaving, learned later than the hold", "leaving", 2500 * time.Millisecond, 0},
		{"leaving, after the store was out of reach", "leaving", time.Minute, 0},
		{"deleted, learned late", "", time.Second, hold - time.Second},
		{"deleted, learned later than the hold", "", 2500 * time.Millisecond, 0},
		{"deleted, after the store was out of reach", "", time.Minute, hold},
	}
	for _, tt := range tests {
		s := NewStore(WithDecode(decodeLine), WithHold(hold, lapse), WithConfirmedAt(func() time.Time { return now.Add(-tt.unconfirmed) }))
		s.Offer(now, at(1), []Value{{"servers/a", at(1), []byte("ready")}})
		s.Offer(now, at(2), []Value{{"servers/a", at(2), []byte(tt.next)}})
		_, configurations := s.InForce()
		var until time.Time
		for _, c := range configurations {
			for _, r := range c.Registrations {
				until = r.UsableUntil
			}
		}
		if got := until.Sub(now); (tt.want > 0 && got != tt.want) || (tt.want == 0 && !until.IsZero()) {
			t.Errorf("%s: in use until %v from now, want %v", tt.name, got, tt.want)
		}
	}
}
