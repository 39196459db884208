package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// A cut halves a fleet of 40 VMs. Both halves still send, so neither may divide the slack by its own size.
func TestCutOffVMsKeepTheirPartOfTheSlack(t *testing.T) {
	all := make([]gossiper.Member, 40)
	for i := range all {
		all[i] = gossiper.Member{Name: modeler.VMName(fmt.Sprintf("vm-%d", i)), Domain: "a"}
		if i >= 20 {
			all[i].State = gossiper.Dead
		}
	}
	v := &VM{startedAt: time.Now().Add(-time.Minute)}
	v.membership.Store(newMembership(all, "a"))
	if n := v.spenderCount(); n != 40 {
		t.Errorf("the slack is divided by %d VMs, want all 40", n)
	}
	if n := v.sharerCount(); n != 20 {
		t.Errorf("connections are divided by %d VMs, want the 20 live ones", n)
	}
}
