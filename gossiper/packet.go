package gossiper

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// PacketKind is the kind of a Packet.
type PacketKind uint8

// The kinds of packets.
const (
	Ping        PacketKind = iota + 1 // asks for an Ack with the same sequence number
	PingRequest                       // asks the receiver to ping Target on behalf of the sender
	Ack                               // answers a Ping
	Rumor                             // carries rumors only
)

// Packet is one datagram between two VMs. Every kind may carry members, successors and news.
type Packet struct {
	Kind        PacketKind
	From        modeler.VMName
	Incarnation ticketer.Incarnation
	Sequence    uint64
	Target      modeler.VMName // the VM to ping; empty in a Ping that is sent because of a PingRequest
	Stamp       recorder.Stamp
	Head        modeler.Position // up to which the sender holds the configuration
	Version     uint64           // of the configuration that the sender has in force, the operator's own; 0 if it has none
	Confirmed   bool             // whether ConfirmAge is known
	ConfirmAge  time.Duration    // how long ago Head was known to be the latest position, in whole milliseconds on the wire
	Members     []Member
	Successors  []Successor
	News        []News
}

// Encode returns the datagram of a packet: its protobuf encoding followed by its authentication code under the key.
func (p *Packet) Encode(key []byte) ([]byte, error) {
	w := &messenger.Packet{
		Kind: uint32(p.Kind), From: string(p.From), Incarnation: uint64(p.Incarnation), Sequence: p.Sequence,
		Target: string(p.Target), Wall: p.Stamp.Wall, Logical: p.Stamp.Logical, Head: uint64(p.Head.Revision), Epoch: uint64(p.Head.Epoch), Version: p.Version,
	}
	if p.Confirmed {
		w.ConfirmAgeMillis = 1 + uint64(max(0, p.ConfirmAge).Milliseconds())
	}
	for _, m := range p.Members {
		w.Members = append(w.Members, m.ToWire())
	}
	for _, s := range p.Successors {
		w.Successors = append(w.Successors, s.toWire())
	}
	for _, n := range p.News {
		w.News = append(w.News, n.toWire())
	}
	b, err := proto.Marshal(w)
	if err != nil {
		return nil, err
	}
	return append(b, packetMAC(key, b)...), nil
}

// Decode returns the packet of a datagram that one of the keys authenticates. It accepts datagrams of up to twice
// MaxPacketBytes, authentication code included.
func Decode(keys [][]byte, b []byte) (*Packet, error) {
	if len(b) < macBytes || len(b) > 2*MaxPacketBytes {
		return nil, errors.Errorf("datagram of %d bytes is shorter than its authentication code or longer than twice the packet limit", len(b))
	}
	body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !verifyMAC(keys, body, mac) {
		return nil, errors.New("datagram authentication code matches none of the keys")
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
		Stamp: recorder.Stamp{Wall: w.GetWall(), Logical: w.GetLogical()}, Head: modeler.Position{Epoch: modeler.Epoch(w.GetEpoch()), Revision: modeler.Revision(w.GetHead())}, Version: w.GetVersion(),
	}
	if age := w.GetConfirmAgeMillis(); age > 0 {
		p.Confirmed = true
		p.ConfirmAge = time.Duration(min(age-1, maxConfirmAgeMillis)) * time.Millisecond
	}
	if p.Kind < Ping || p.Kind > Rumor {
		return nil, errors.Errorf("packet has unknown kind %d", w.GetKind())
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
	for _, x := range w.GetSuccessors() {
		p.Successors = append(p.Successors, successorFromWire(x))
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

func packetMAC(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("gossip "))
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

func verifyMAC(keys [][]byte, body, mac []byte) bool {
	for _, k := range keys {
		if hmac.Equal(packetMAC(k, body), mac) {
			return true
		}
	}
	return false
}
