package runner

import (
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Listen holds the addresses on which a VM listens.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`   // for searches and orders, or routes
	Operators netip.AddrPort `json:"operators"` // for the operators' endpoints
	Peers     netip.AddrPort `json:"peers"`     // for other VMs, over TCP and UDP
}

// Timeline holds how many events a VM keeps, and the share of ordinary queries whose attempts it keeps (see
// recorder.WithSample).
type Timeline struct {
	Events int     `json:"events"` // the last ones are kept
	Sample float64 `json:"sample"` // from 0 to 1
}

// Resources holds what the VM's process may use.
type Resources struct {
	MemoryMB    int `json:"memory-mb"`   // in millions of bytes
	Descriptors int `json:"descriptors"` // files and sockets that may be open
}

// Settings holds the start-up settings of one VM.
type Settings struct {
	Name          modeler.VMName        `json:"name"`           // of this VM
	FailureDomain modeler.FailureDomain `json:"failure-domain"` // in which this VM runs
	Listen        Listen                `json:"listen"`
	Advertise     netip.AddrPort        `json:"advertise-peers"` // where other VMs reach this one; by default Listen.Peers
	Platform      netip.AddrPort        `json:"platform"`        // read by package watcher; unused with Routing
	Peers         []netip.AddrPort      `json:"peers"`           // VMs by which this one finds the fleet; the seeds
	Keys          []string              `json:"keys"`            // shared by the VMs; the first signs, each is accepted
	Token         string                `json:"operators-token"` // for operators' changes; if empty, all are refused
	Links         []modeler.Link        `json:"links"`           // one-way network delays between failure domains
	RelayWidth    int                   `json:"relay-width"`     // relays of each service; 0 if the VM runs queries alone
	Relay         *bool                 `json:"relay"`           // whether the VM may relay for others; nil means true
	Grace         modeler.Duration      `json:"grace"`           // for open requests to end once the callers' server stops
	DrainDelay    modeler.Duration      `json:"drain-delay"`     // until the callers' server of a draining VM stops
	ReturnMargin  modeler.Duration      `json:"return-margin"`   // subtracted from the time budget of a search
	ListPeriod    modeler.Duration      `json:"list-period"`     // between two reads of the platform's list of VMs
	Timeline      Timeline              `json:"timeline"`
	Resources     Resources             `json:"resources"`
	Routing       *Routing              `json:"routing"` // nil on a VM that serves searches and orders
}

// Routing holds the further settings of a VM that serves routes on the users' platform. In any RetryWindow, the extra
// attempts of the whole fleet to one service must be at most RetryRatio times its requests, plus RetrySlack.
type Routing struct {
	Ready       netip.AddrPort                   `json:"ready"`        // where the VM answers readiness checks
	Store       netip.AddrPort                   `json:"store"`        // the store of the users' platform
	Regions     map[modeler.FailureDomain]string `json:"regions"`      // the region of each failure domain
	KillAfter   modeler.Duration                 `json:"kill-after"`   // time that the platform gives a VM to stop
	RetryRatio  float64                          `json:"retry-ratio"`  // extra attempts per request
	RetrySlack  float64                          `json:"retry-slack"`  // further extra attempts, a number
	RetryWindow modeler.Duration                 `json:"retry-window"` // sliding window of ratio and slack
	DrainWithin modeler.Duration                 `json:"drain-within"` // bounds the use of a searcher once its registration is deleted or leaving
	MaxBackoff  modeler.Duration                 `json:"max-backoff"`  // longest time for which a searcher that asks for it gets no requests
	FirstStart  bool                             `json:"first-start"`  // set on a fleet's first start: ask the seeds first
}

// Check fills in the defaults and returns the problems of the settings.
func (s *Settings) Check() modeler.Problems {
	var p modeler.Problems
	s.setDefaults()
	p.CheckName(string(s.Name), "name")
	p.CheckName(string(s.FailureDomain), "failure-domain")
	s.checkAddresses(&p)
	if len(s.Keys) == 0 {
		p.Add("must hold at least one key", "keys")
	}
	for i, k := range s.Keys {
		if len(k) < MinKeyBytes {
			p.Add("must have at least 16 bytes", "keys", i)
		}
	}
	if s.RelayWidth < 0 || s.RelayWidth > MaxRelayWidth {
		p.Add("must be from 0 to 16", "relay-width")
	}
	if s.Grace.Duration > MaxGrace {
		p.Add("must be at most 5m", "grace")
	}
	if s.Timeline.Events < 1 || s.Timeline.Events > MaxTimelineEvents {
		p.Add("must be from 1 to 1048576", "timeline", "events")
	}
	if s.Resources.MemoryMB < MinMemoryMB {
		p.Add("must be at least 32", "resources", "memory-mb")
	}
	if s.Resources.Descriptors < MinDescriptors {
		p.Add("must be at least 300", "resources", "descriptors")
	}
	if s.Timeline.Sample < 0 || s.Timeline.Sample > 1 {
		p.Add("must be from 0 to 1", "timeline", "sample")
	}
	return p
}

func (s *Settings) checkAddresses(p *modeler.Problems) {
	for name, a := range map[string]netip.AddrPort{"callers": s.Listen.Callers, "operators": s.Listen.Operators, "peers": s.Listen.Peers} {
		if !a.IsValid() || a.Port() == 0 {
			p.Add("must be an address with a port", "listen", name)
		}
	}
	if s.Routing != nil {
		s.Routing.check(p)
	} else if !s.Platform.IsValid() || s.Platform.Port() == 0 {
		p.Add("must be an address with a port", "platform")
	}
	if s.Listen.Callers == s.Listen.Operators || s.Listen.Callers == s.Listen.Peers || s.Listen.Operators == s.Listen.Peers {
		p.Add("the three ports must differ", "listen")
	}
	for i, a := range s.Peers {
		if !a.IsValid() {
			p.Add("must be an address with a port", "peers", i)
		}
	}
}

func (r *Routing) check(p *modeler.Problems) {
	for name, a := range map[string]netip.AddrPort{"ready": r.Ready, "store": r.Store} {
		if !a.IsValid() || a.Port() == 0 {
			p.Add("must be an address with a port", "routing", name)
		}
	}
	if r.KillAfter.Duration < MinKillAfter {
		p.Add("must be at least 2s", "routing", "kill-after")
	}
	if r.RetryRatio < 0 || r.RetrySlack < 0 || r.RetryWindow.Duration <= 0 {
		p.Add("and retry-slack must not be negative, and retry-window must be above 0", "routing", "retry-ratio")
	}
	if r.DrainWithin.Duration <= 0 {
		p.Add("must be above 0", "routing", "drain-within")
	}
	if r.MaxBackoff.Duration < 0 {
		p.Add("must not be negative", "routing", "max-backoff")
	}
}

func (s *Settings) setDefaults() {
	if s.Routing != nil {
		setDefault(&s.Routing.MaxBackoff, observer.DefaultMaxBackoff)
		setDefault(&s.DrainDelay, s.Routing.KillAfter.Duration/2)
		setDefault(&s.Grace, s.Routing.KillAfter.Duration/2-LeaveMargin)
	}
	setDefault(&s.Grace, DefaultGrace)
	setDefault(&s.DrainDelay, DefaultDrainDelay)
	setDefault(&s.ReturnMargin, DefaultReturnMargin)
	setDefault(&s.ListPeriod, DefaultListPeriod)
	if s.Timeline == (Timeline{}) {
		s.Timeline = Timeline{Events: DefaultEvents, Sample: 1}
	}
	if s.Resources.MemoryMB == 0 {
		s.Resources.MemoryMB = DefaultMemoryMB
	}
	if s.Resources.Descriptors == 0 {
		s.Resources.Descriptors = DefaultDescriptors
	}
	if !s.Advertise.IsValid() {
		s.Advertise = s.Listen.Peers
	}
}

// setDefault sets the duration to the value if it is zero.
func setDefault(d *modeler.Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

// Bytes returns the memory that the process may use, in bytes.
func (r Resources) Bytes() int64 { return int64(r.MemoryMB) * 1_000_000 }

// callerConns returns how many connections callers may have open. The rest of the sockets is for searchers, the store,
// other VMs and operators.
func (r Resources) callerConns() int {
	sockets := r.Descriptors - FileDescriptors
	return sockets - sockets/OthersDivisor
}

func (s *Settings) isRelay() bool { return s.Relay == nil || *s.Relay }

func (s *Settings) keyBytes() [][]byte {
	out := make([][]byte, len(s.Keys))
	for i, k := range s.Keys {
		out[i] = []byte(k)
	}
	return out
}
