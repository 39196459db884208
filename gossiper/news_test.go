package gossiper

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/messenger"
)

// Guards against crashes that can't be told apart because the news of them loses the searcher, and against a VM of an earlier
// version whose news, without one, is dropped.
func TestNewsOfACrashNamesItsSearcher(t *testing.T) {
	until := time.UnixMilli(1_800_000_000_000)
	a := netip.MustParseAddrPort("10.0.0.1:80")
	sent := []News{
		{Kind: NewsSuspect, Fingerprint: 7, Address: a, Until: until},
		{Kind: NewsSuspect, Fingerprint: 7, Until: until},
		{Kind: NewsGood, Fingerprint: 7, Until: until},
	}
	got := NewsFromWire(NewsToWire(sent))
	if len(got) != len(sent) {
		t.Fatalf("%d pieces of news, want %d", len(got), len(sent))
	}
	for i, n := range got {
		if n != sent[i] {
			t.Errorf("news %+v, want %+v", n, sent[i])
		}
	}
	if unknown := NewsFromWire([]*messenger.News{{Kind: uint32(NewsGood) + 1}}); len(unknown) > 0 {
		t.Errorf("news of an unknown kind was read: %+v", unknown)
	}
}
