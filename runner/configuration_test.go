package runner

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// overtakeDelay gives revision 2 the time to be put in force before revision 1 if builds are not serialized.
const overtakeDelay = 50 * time.Millisecond

// TestViewNeverGoesBack offers revision 2 while the view of revision 1 is being built. This happens when the watch and
// a pull from a peer bring changes at the same time. Revision 1 must not replace revision 2.
func TestViewNeverGoesBack(t *testing.T) {
	port := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n) }
	cfg := Settings{
		Name: "entry-1", FailureDomain: "seoul", Platform: port(1), Keys: []string{"0123456789abcdef"},
		Listen: Listen{Callers: port(0), Operators: port(0), Peers: port(0)},
	}
	cfg.setDefaults()
	v, err := NewVM(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer v.closePorts()
	firstBuild, release := make(chan struct{}), make(chan struct{})
	var buildStarted atomic.Bool
	v.beforeViewBuild = func() {
		if !buildStarted.Swap(true) {
			close(firstBuild)
			<-release
		}
	}
	var wg sync.WaitGroup
	offer := func(rev int) {
		v.applyRead(v.store.Offer(time.Now(), at(rev), []configurer.Value{valueOf(rev)}))
	}
	wg.Go(func() { offer(1) })
	<-firstBuild
	wg.Go(func() { offer(2) })
	for v.store.Head().Revision < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(overtakeDelay)
	close(release)
	wg.Wait()
	if got := v.view.Load(); got.Position != at(2) {
		t.Errorf("revision %d is in force after revision 2 was accepted", got.Position.Revision)
	}
}

// at returns the position of a revision in epoch 0.
func at(rev int) modeler.Position { return modeler.Position{Revision: modeler.Revision(rev)} }

// valueOf returns a valid value of key k at a revision.
func valueOf(rev int) configurer.Value {
	text := fmt.Appendf(nil, `{"teams": [{"name": "team-%d", "share": 0}]}`, rev)
	return configurer.Value{Key: "k", Position: at(rev), Text: text}
}
