package planner

import (
	"math"
	"net/netip"
	"testing"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Guards against one odd entry that changes how all searchers of its service are compared.
func TestOddSlotsOfOneEntryLeaveTheServiceAsItIs(t *testing.T) {
	for position := range 3 {
		var registrations []modeler.Registration
		for i := range 3 {
			slots := 4
			if i == position {
				slots = math.MaxInt
			}
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
			registrations = append(registrations, modeler.Registration{
				Service: "portal", Slots: slots, Searcher: modeler.Searcher{Name: modeler.SearcherName([]byte{'i', byte('0' + i)}), Address: address},
			})
		}
		v := registeredView(observer.NewObserver(), registrations...)
		if got := v.Services[0].Contract.Slots; got != 4 {
			t.Errorf("odd entry at position %d: the service has %d slots, want the 4 of the others", position, got)
		}
	}
}
