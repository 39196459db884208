package relayer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against pulls that bring the whole configuration each time because the epoch of what is held is lost on the way.
func TestPullReturnsOnlyWhatIsLater(t *testing.T) {
	s := configurer.NewStore(configurer.WithDecode(func(string, []byte) (modeler.Configuration, error) { return modeler.Configuration{}, nil }))
	in := func(epoch, revision int) modeler.Position {
		return modeler.Position{Epoch: modeler.Epoch(epoch), Revision: modeler.Revision(revision)}
	}
	s.Offer(time.Now(), in(2, 5), []configurer.Value{{Key: "a", Position: in(2, 5), Text: []byte("x")}})
	s.Offer(time.Now(), in(2, 9), []configurer.Value{{Key: "b", Position: in(2, 9), Text: []byte("y")}})
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	c := &Client{peers: map[netip.AddrPort]messenger.Peer{addr: &Service{Store: s}}}
	for since, want := range map[modeler.Position]int{in(2, 9): 0, in(2, 8): 1, in(1, 99): 2, {}: 2, in(3, 1): 0} {
		d, err := c.Pull(t.Context(), addr, since)
		if err != nil || d.Head != in(2, 9) || len(d.Values) != want {
			t.Errorf("since %v: head %v, %d values, error %v; want head 2:9 and %d values", since, d.Head, len(d.Values), err, want)
		}
		for _, v := range d.Values {
			if v.Position.Epoch != 2 {
				t.Errorf("since %v: key %s at %v, want epoch 2", since, v.Key, v.Position)
			}
		}
	}
}
