package gossiper

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// PacketKind tells packets apart.
type PacketKind uint8

// The kinds of packets.
const (
	Ping PacketKind = iota + 1
	PingRequest
	Ack
	Rumor
)

// Packet is one datagram between two VMs.
type Packet struct {
	Kind        PacketKind
	From        modeler.VMName
	Incarnation ticketer.Incarnation
	Sequence    uint64
	Target      modeler.VMName
	Stamp       recorder.Stamp
	Head        modeler.Revision
	Members     []Member
	Heirs       []Heir
	News        []News
}

// Encode returns the datagram of a packet, authenticated by the key.
func (p *Packet) Encode(key []byte) ([]byte, error) {
	w := &messenger.Packet{
		Kind: uint32(p.Kind), From: string(p.From), Incarnation: uint64(p.Incarnation), Sequence: p.Sequence,
		Target: string(p.Target), Wall: p.Stamp.Wall, Logical: p.Stamp.Logical, Head: uint64(p.Head),
	}
	for _, m := range p.Members {
		w.Members = append(w.Members, m.ToWire())
	}
	for _, h := range p.Heirs {
		w.Heirs = append(w.Heirs, h.toWire())
	}
	for _, n := range p.News {
		w.News = append(w.News, n.toWire())
	}
	b, err := proto.Marshal(w)
	if err != nil {
		return nil, err
	}
	return append(b, authenticate(key, b)...), nil
}

// Decode checks a datagram against the keys and returns its packet.
func Decode(keys [][]byte, b []byte) (*Packet, error) {
	if len(b) < authBytes || len(b) > 2*MaxPacketBytes {
		return nil, errors.Errorf("datagram has %d bytes", len(b))
	}
	body, sum := b[:len(b)-authBytes], b[len(b)-authBytes:]
	if !authentic(keys, body, sum) {
		return nil, errors.New("datagram is not authentic")
	}
	var w messenger.Packet
	if err := proto.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	return packetFromWire(&w)
}

func packetFromWire(w *messenger.Packet) (*Packet, error) {
	p := &Packet{
		Kind: PacketKind(w.GetKind()), From: modeler.VMName(w.GetFrom()), Incarnation: ticketer.Incarnation(w.GetIncarnation()),
		Sequence: w.GetSequence(), Target: modeler.VMName(w.GetTarget()),
		Stamp: recorder.Stamp{Wall: w.GetWall(), Logical: w.GetLogical()}, Head: modeler.Revision(w.GetHead()),
	}
	if p.Kind < Ping || p.Kind > Rumor {
		return nil, errors.Errorf("packet of kind %d is unknown", w.GetKind())
	}
	if err := modeler.ParseName(w.GetFrom()); err != nil {
		return nil, errors.Wrap(err, "sender")
	}
	for _, x := range w.GetMembers() {
		m, err := MemberFromWire(x)
		if err != nil {
			return nil, err
		}
		p.Members = append(p.Members, m)
	}
	for _, x := range w.GetHeirs() {
		p.Heirs = append(p.Heirs, heirFromWire(x))
	}
	for _, x := range w.GetNews() {
		n, err := newsFromWire(x)
		if err != nil {
			return nil, err
		}
		p.News = append(p.News, n)
	}
	return p, nil
}

func authenticate(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("gossip "))
	m.Write(body)
	return m.Sum(nil)[:authBytes]
}

func authentic(keys [][]byte, body, sum []byte) bool {
	for _, k := range keys {
		if hmac.Equal(authenticate(k, body), sum) {
			return true
		}
	}
	return false
}
