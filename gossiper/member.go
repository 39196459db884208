package gossiper

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// State is the liveness of a member. Of two descriptions with the same version, the one with the higher state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the kebab-case name of the state.
func (s State) String() string { return stateNames[s] }

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is the description of one VM of the tier that the gossip spreads.
// A VM raises its own Version to supersede what others spread about it.
type Member struct {
	Name        modeler.VMName        `json:"name"`
	Address     netip.AddrPort        `json:"address"` // for other VMs, over TCP and UDP
	Admin       netip.AddrPort        `json:"admin"`   // for operators
	Domain      modeler.FailureDomain `json:"failure-domain"`
	Incarnation ticketer.Incarnation  `json:"incarnation"`
	Version     uint64                `json:"version"`
	State       State                 `json:"state"`
	Relay       bool                  `json:"relay"` // whether the VM may relay parts of queries for other VMs
}

// Supersedes reports whether m replaces old, an earlier description of the same VM.
func (m Member) Supersedes(old Member) bool {
	return m.Version > old.Version || (m.Version == old.Version && m.State > old.State)
}

// Successor says that until the given time incarnation To is responsible for the tickets of From, which has left.
type Successor struct {
	From  ticketer.Incarnation
	To    ticketer.Incarnation
	Until time.Time
}

// NewsKind is the kind of a piece of news.
type NewsKind uint8

// The kinds of news.
const (
	NewsQuarantine NewsKind = iota + 1 // a quarantined request
	NewsDraining                       // a draining searcher
	NewsStoreLost                      // a VM that cannot read the platform's store
	NewsSuspect                        // a request that may have crashed the searcher at Address; not related to the state Suspect
	NewsSlow                           // a searcher whose answers take much longer than usual for its service
	NewsGood                           // a suspect or quarantined request that was answered
)

// News is a fact that every VM has to know at once. It concerns a request, given by Fingerprint, or a searcher or VM, given
// by Address; NewsSuspect has both, but no valid Address if it is from an earlier version.
type News struct {
	Kind        NewsKind
	Fingerprint uint64
	Address     netip.AddrPort
	Until       time.Time
}

func (n News) key() newsKey { return newsKey{n.Kind, n.Fingerprint, n.Address} }

type newsKey struct {
	kind        NewsKind
	fingerprint uint64
	address     netip.AddrPort
}

// ToWire returns the wire form of a member.
func (m Member) ToWire() *messenger.Member {
	return &messenger.Member{
		Name: string(m.Name), Address: m.Address.String(), Admin: m.Admin.String(), Domain: string(m.Domain),
		Incarnation: uint64(m.Incarnation), Version: m.Version, State: uint32(m.State), Relay: m.Relay,
	}
}

// MemberFromWire returns the member in a wire message, or an error if a field is malformed.
func MemberFromWire(w *messenger.Member) (Member, error) {
	addr, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return Member{}, err
	}
	admin, err := netip.ParseAddrPort(w.GetAdmin())
	if err != nil {
		return Member{}, err
	}
	if err := modeler.ParseName(w.GetName()); err != nil {
		return Member{}, errors.Wrap(err, "member name")
	}
	if err := modeler.ParseName(w.GetDomain()); err != nil {
		return Member{}, errors.Wrap(err, "failure domain")
	}
	if w.GetState() > uint32(Left) {
		return Member{}, errors.Errorf("member has unknown state %d", w.GetState())
	}
	return Member{
		Name: modeler.VMName(w.GetName()), Address: addr, Admin: admin, Domain: modeler.FailureDomain(w.GetDomain()),
		Incarnation: ticketer.Incarnation(w.GetIncarnation()), Version: w.GetVersion(), State: State(w.GetState()), Relay: w.GetRelay(),
	}, nil
}

func (s Successor) toWire() *messenger.Successor {
	return &messenger.Successor{From: uint64(s.From), To: uint64(s.To), UntilMillis: s.Until.UnixMilli()}
}

func successorFromWire(w *messenger.Successor) Successor {
	return Successor{ticketer.Incarnation(w.GetFrom()), ticketer.Incarnation(w.GetTo()), time.UnixMilli(w.GetUntilMillis())}
}

func (n News) toWire() *messenger.News {
	return &messenger.News{Kind: uint32(n.Kind), Subject: n.Fingerprint, Address: n.Address.String(), UntilMillis: n.Until.UnixMilli()}
}

func newsFromWire(w *messenger.News) (News, error) {
	n := News{Kind: NewsKind(w.GetKind()), Fingerprint: w.GetSubject(), Until: time.UnixMilli(w.GetUntilMillis())}
	if n.Kind < NewsQuarantine || n.Kind > NewsGood {
		return News{}, errors.Errorf("news has unknown kind %d", w.GetKind())
	}
	if n.Kind == NewsSuspect {
		n.Address, _ = netip.ParseAddrPort(w.GetAddress())
	}
	if n.Kind == NewsDraining || n.Kind == NewsStoreLost || n.Kind == NewsSlow {
		a, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			return News{}, err
		}
		n.Address = a
	}
	return n, nil
}

// SuccessorsToWire returns the wire form of successors.
func SuccessorsToWire(successors []Successor) []*messenger.Successor {
	out := make([]*messenger.Successor, len(successors))
	for i, s := range successors {
		out[i] = s.toWire()
	}
	return out
}

// SuccessorsFromWire returns the successors in wire messages.
func SuccessorsFromWire(ws []*messenger.Successor) []Successor {
	out := make([]Successor, len(ws))
	for i, w := range ws {
		out[i] = successorFromWire(w)
	}
	return out
}

// NewsToWire returns the wire form of news.
func NewsToWire(news []News) []*messenger.News {
	out := make([]*messenger.News, len(news))
	for i, n := range news {
		out[i] = n.toWire()
	}
	return out
}

// NewsFromWire returns the well-formed news in wire messages and skips the rest.
func NewsFromWire(ws []*messenger.News) []News {
	var out []News
	for _, w := range ws {
		if n, err := newsFromWire(w); err == nil {
			out = append(out, n)
		}
	}
	return out
}
