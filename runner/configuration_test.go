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

// overtake is time for a later view to overtake an earlier one that is still being built, if nothing stops it.
const overtake = 50 * time.Millisecond

// TestViewNeverGoesBack offers a revision while the view of the one before is being built, as the watch and a pull from a peer do.
func TestViewNeverGoesBack(t *testing.T) {
	port := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n) }
	cfg := Settings{
		Name: "entry-1", FailureDomain: "seoul", Platform: port(1), Keys: []string{"0123456789abcdef"},
		Listen: Listen{Callers: port(0), Operators: port(0), Peers: port(0)},
	}
	cfg.fill()
	v, err := NewVM(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer v.close()
	entered, release := make(chan struct{}), make(chan struct{})
	var second atomic.Bool
	v.building = func() {
		if !second.Swap(true) {
			close(entered)
			<-release
		}
	}
	var wg sync.WaitGroup
	offer := func(rev int) {
		v.configured(v.store.Offer(time.Now(), modeler.Revision(rev), []configurer.Value{valueOf(rev)}))
	}
	wg.Go(func() { offer(1) })
	<-entered
	wg.Go(func() { offer(2) })
	for v.store.Head() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(overtake)
	close(release)
	wg.Wait()
	if got := v.view.Load(); got.Revision != 2 {
		t.Errorf("revision %d is in force after 2 was accepted", got.Revision)
	}
}

func valueOf(rev int) configurer.Value {
	text := fmt.Appendf(nil, `{"teams": [{"name": "team-%d", "share": 0}]}`, rev)
	return configurer.Value{Key: "k", Revision: modeler.Revision(rev), Text: text}
}
