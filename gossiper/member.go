package gossiper

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// State is what is known of a member; of one version the later state wins.
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

// Member is one VM of the tier as the gossip describes it.
type Member struct {
	Name        modeler.VMName        `json:"name"`
	Address     netip.AddrPort        `json:"address"`
	Admin       netip.AddrPort        `json:"admin"`
	Domain      modeler.FailureDomain `json:"failure-domain"`
	Incarnation ticketer.Incarnation  `json:"incarnation"`
	Version     uint64                `json:"version"`
	State       State                 `json:"state"`
	Relay       bool                  `json:"relay"`
}

// Supersedes reports whether the description m replaces the description old of the same VM.
func (m Member) Supersedes(old Member) bool {
	return m.Version > old.Version || (m.Version == old.Version && m.State > old.State)
}

// Heir names the incarnation that answers for the tickets of one that left.
type Heir struct {
	From  ticketer.Incarnation
	To    ticketer.Incarnation
	Until time.Time
}

// NewsKind tells news apart.
type NewsKind uint8

// The kinds of news.
const (
	NewsQuarantine NewsKind = iota + 1
	NewsDraining
	NewsStoreLost
	NewsSuspect
)

// News is something that every VM has to know at once: a quarantined request, one that crashed a searcher once, a draining searcher, or a VM that cannot read the platform's store.
type News struct {
	Kind    NewsKind
	Subject uint64
	Address netip.AddrPort
	Until   time.Time
}

func (n News) key() newsKey { return newsKey{n.Kind, n.Subject, n.Address} }

type newsKey struct {
	kind    NewsKind
	subject uint64
	address netip.AddrPort
}

// ToWire returns the wire form of a member.
func (m Member) ToWire() *messenger.Member {
	return &messenger.Member{
		Name: string(m.Name), Address: m.Address.String(), Admin: m.Admin.String(), Domain: string(m.Domain),
		Incarnation: uint64(m.Incarnation), Version: m.Version, State: uint32(m.State), Relay: m.Relay,
	}
}

// MemberFromWire checks and returns a member from the wire.
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
		return Member{}, errors.Errorf("state %d is unknown", w.GetState())
	}
	return Member{
		Name: modeler.VMName(w.GetName()), Address: addr, Admin: admin, Domain: modeler.FailureDomain(w.GetDomain()),
		Incarnation: ticketer.Incarnation(w.GetIncarnation()), Version: w.GetVersion(), State: State(w.GetState()), Relay: w.GetRelay(),
	}, nil
}

func (h Heir) toWire() *messenger.Heir {
	return &messenger.Heir{From: uint64(h.From), To: uint64(h.To), UntilMillis: h.Until.UnixMilli()}
}

func heirFromWire(w *messenger.Heir) Heir {
	return Heir{ticketer.Incarnation(w.GetFrom()), ticketer.Incarnation(w.GetTo()), time.UnixMilli(w.GetUntilMillis())}
}

func (n News) toWire() *messenger.News {
	return &messenger.News{Kind: uint32(n.Kind), Subject: n.Subject, Address: n.Address.String(), UntilMillis: n.Until.UnixMilli()}
}

func newsFromWire(w *messenger.News) (News, error) {
	n := News{Kind: NewsKind(w.GetKind()), Subject: w.GetSubject(), Until: time.UnixMilli(w.GetUntilMillis())}
	if n.Kind < NewsQuarantine || n.Kind > NewsSuspect {
		return News{}, errors.Errorf("news of kind %d is unknown", w.GetKind())
	}
	if n.Kind == NewsDraining || n.Kind == NewsStoreLost {
		a, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			return News{}, err
		}
		n.Address = a
	}
	return n, nil
}

// HeirsToWire returns the wire form of heirs.
func HeirsToWire(heirs []Heir) []*messenger.Heir {
	out := make([]*messenger.Heir, len(heirs))
	for i, h := range heirs {
		out[i] = h.toWire()
	}
	return out
}

// HeirsFromWire returns heirs from the wire.
func HeirsFromWire(ws []*messenger.Heir) []Heir {
	out := make([]Heir, len(ws))
	for i, w := range ws {
		out[i] = heirFromWire(w)
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

// NewsFromWire returns the news from the wire that is well formed.
func NewsFromWire(ws []*messenger.News) []News {
	var out []News
	for _, w := range ws {
		if n, err := newsFromWire(w); err == nil {
			out = append(out, n)
		}
	}
	return out
}
