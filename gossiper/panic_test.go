package gossiper

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// A panic of the code that handles one packet must not stop the VM from handling the next one.
// The news handler panics on the news of the first packet; it must still be called for the news of the second. The test
// counts the calls of the handler. It does not check Counters.Dropped.
func TestAPacketThatPanicsIsDropped(t *testing.T) {
	keys := [][]byte{[]byte("a-key-of-sixteen-bytes")}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	clock := recorder.NewClock(time.Now)
	node := NewNode(Member{Name: "entry-1", Incarnation: 1, Version: 1}, clock, func(int) int { return 0 })
	g := NewGossip(node, conn, keys, Handlers{
		Changed: func(Member) {}, Pull: func(Member) {}, Resumed: func(time.Duration) {},
		News: func(News) {
			received++
			if received == 1 {
				panic("news handler panics on the first news")
			}
		},
	})
	for i := range 2 {
		p := &Packet{Kind: Rumor, From: modeler.VMName("entry-2"), Incarnation: 7, Sequence: uint64(i + 1), Stamp: clock.Now()}
		p.News = []News{{Kind: NewsSuspect, Fingerprint: uint64(i + 1), Until: time.Now().Add(time.Minute)}}
		b, err := p.Encode(keys[0])
		if err != nil {
			t.Fatal(err)
		}
		g.receivePacket(b)
	}
	if received != 2 {
		t.Errorf("the handler received news from %d packets, want 2", received)
	}
	// Run with a context that has already ended closes the socket and returns.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = g.Run(ctx)
}
