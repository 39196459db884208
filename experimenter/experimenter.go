package experimenter

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/loader"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Policy selects the mechanisms of the VMs in an experiment.
type Policy string

// The policies.
const (
	Design     Policy = "design"      // all mechanisms
	NoHedge    Policy = "no-hedge"    // no hedges, only retries
	NaiveRetry Policy = "naive-retry" // no budgets, and a fixed hedge delay
	// Oracle has all mechanisms. Searchers that Straggler, LostDomain or ShortShard affect leave the configuration at once.
	Oracle Policy = "oracle"
)

// Fault is the fault that is injected while a policy is measured.
type Fault string

// The faults.
const (
	Healthy    Fault = "healthy"     // nothing is injected
	Straggler  Fault = "straggler"   // one searcher of each service is slow by StragglerDelay
	LostDomain Fault = "lost-domain" // all searchers of one failure domain crash
	Overload   Fault = "overload"    // nothing is injected; Spec.Rate must exceed the searchers' capacity
	Poison     Fault = "poison"      // queries that crash searchers, one every PoisonPeriod
	Silence    Fault = "silence"     // open connections go silent, all at once every SilencePeriod
	ShortShard Fault = "short-shard" // the first ShortShards services have one searcher each
)

// Parameters that all experiments share.
const (
	WarmUp         = 2 * time.Second
	ReadyLimit     = 20 * time.Second
	StragglerDelay = 40 * time.Millisecond
	PoisonPeriod   = 500 * time.Millisecond
	SilencePeriod  = 2 * time.Second
	restartAfter   = 300 * time.Millisecond // of a searcher that a poisonous query crashed
	ShortShards    = 2
	clientDelay    = 3 * time.Millisecond // one-way, between caller and VM
)

// Spec describes one experiment.
type Spec struct {
	Configuration modeler.Configuration
	Index         modeler.IndexName
	Policy        Policy
	Fault         Fault
	VMs           int
	RelayWidth    int
	Rate          float64
	Duration      time.Duration
	ServiceTime   time.Duration // median of a searcher
	LinkDelay     time.Duration // between failure domains
	Seed          uint64
	Network       uint8 // the addresses are in 127.Network.0.0/16
}

// Outcome is the measurement of one experiment.
type Outcome struct {
	Policy      Policy         `json:"policy"`
	Fault       Fault          `json:"fault"`
	RelayWidth  int            `json:"relay-width"`
	Connections int            `json:"most-connections-to-one-searcher"` // open at once
	Load        *loader.Result `json:"load"`
}

// experiment is the state of a running experiment.
type experiment struct {
	spec        Spec
	environment *faker.Environment
	vms         []runner.Settings
}

// Run starts the deployment, warms it up, injects the fault and measures the load.
func Run(ctx context.Context, spec Spec) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	environment, err := faker.StartEnvironment(ctx, faker.EnvironmentConfig{
		Network: spec.Network, Configuration: spec.Configuration, LinkDelay: spec.LinkDelay, ServiceTime: spec.ServiceTime, Seed: spec.Seed,
	})
	if err != nil {
		return Outcome{}, err
	}
	defer environment.Stop()
	e := &experiment{spec: spec, environment: environment}
	vmsDone, err := e.startVMs(ctx)
	if err != nil {
		return Outcome{}, err
	}
	defer func() {
		cancel()
		_ = spawner.Wait(vmsDone...)
	}()
	// The warm-up sends at most 50 searches per second. Its result is not part of the outcome.
	if _, err := loader.Run(ctx, e.load(WarmUp, min(spec.Rate, 50))); err != nil {
		return Outcome{}, err
	}
	faultCtx, stopFault := context.WithCancel(ctx)
	faultDone := spawner.Go(faultCtx, e.injectFault)
	out := Outcome{Policy: spec.Policy, Fault: spec.Fault, RelayWidth: spec.RelayWidth}
	out.Load, err = loader.Run(ctx, e.load(spec.Duration, spec.Rate))
	stopFault()
	if faultErr := <-faultDone; err == nil {
		err = faultErr
	}
	for _, s := range environment.Searchers {
		peak, _ := s.Connections()
		out.Connections = max(out.Connections, peak)
	}
	return out, err
}

func (e *experiment) startVMs(ctx context.Context) ([]<-chan error, error) {
	disabled := map[Policy]string{NoHedge: "hedges", NaiveRetry: "budgets"}[e.spec.Policy]
	mechanisms, err := faker.MechanismsWithout(disabled)
	if err != nil {
		return nil, err
	}
	for n := 1; n <= e.spec.VMs; n++ {
		s := e.environment.Settings(n)
		s.RelayWidth = e.spec.RelayWidth
		e.vms = append(e.vms, s)
	}
	return e.environment.StartVMs(ctx, e.vms, ReadyLimit, runner.WithMechanisms(mechanisms))
}

func (e *experiment) load(d time.Duration, rate float64) loader.Load {
	l := loader.Load{Index: e.spec.Index, Rate: rate, Duration: d, Deadline: e.deadline(), NetworkDelay: clientDelay, Seed: e.spec.Seed}
	for _, s := range e.vms {
		l.VMs = append(l.VMs, s.Listen.Callers)
	}
	return l
}

func (e *experiment) deadline() time.Duration {
	for _, x := range e.spec.Configuration.Indexes {
		if x.Name == e.spec.Index {
			return x.Policy.Deadline.Duration
		}
	}
	return time.Second
}

// injectFault injects the fault of the experiment. With the policy Oracle, a straggler, a lost domain and a short shard
// also remove the affected searchers from the configuration.
func (e *experiment) injectFault(ctx context.Context) error {
	switch e.spec.Fault {
	case Healthy, Overload:
		return nil
	case Straggler:
		return e.slowDownSearchers()
	case LostDomain:
		return e.loseDomain(ctx)
	case ShortShard:
		return e.shortenShards(ctx)
	case Poison:
		return e.sendPoison(ctx)
	case Silence:
		return every(ctx, SilencePeriod, func() {
			for _, s := range e.environment.Searchers {
				s.Silence()
			}
		})
	}
	return errors.Errorf("unknown fault %q", e.spec.Fault)
}

func (e *experiment) slowDownSearchers() error {
	affected := map[modeler.SearcherName]bool{}
	for _, s := range e.environment.Configuration.Services {
		slow := s.Searchers[0].Name
		affected[slow] = true
		for _, x := range e.environment.SearchersOf(s.Name) {
			if x.Searcher.Name == slow {
				x.Change(func(b *faker.Behaviour) { b.ExtraLatency = StragglerDelay })
			}
		}
	}
	return e.excludeForOracle(affected)
}

func (e *experiment) loseDomain(ctx context.Context) error {
	affected := map[modeler.SearcherName]bool{}
	lostDomain := e.environment.Searchers[0].Searcher.FailureDomain
	for _, x := range e.environment.Searchers {
		if x.Searcher.FailureDomain == lostDomain {
			affected[x.Searcher.Name] = true
			x.Crash(ctx, 0)
		}
	}
	return e.excludeForOracle(affected)
}

// shortenShards crashes all searchers but one of each of the first ShortShards services.
func (e *experiment) shortenShards(ctx context.Context) error {
	affected := map[modeler.SearcherName]bool{}
	services := e.environment.Configuration.Services
	for _, s := range services[:min(ShortShards, len(services))] {
		for _, x := range e.environment.SearchersOf(s.Name)[1:] {
			affected[x.Searcher.Name] = true
			x.Crash(ctx, 0)
		}
	}
	return e.excludeForOracle(affected)
}

// excludeForOracle publishes a configuration without the affected searchers if the policy is Oracle. Under Oracle the VMs
// thereby know of the fault at once.
func (e *experiment) excludeForOracle(affected map[modeler.SearcherName]bool) error {
	if e.spec.Policy != Oracle {
		return nil
	}
	c := e.environment.Configuration
	c.Services = append([]modeler.Service(nil), c.Services...)
	for i := range c.Services {
		var remaining []modeler.Searcher
		for _, r := range c.Services[i].Searchers {
			if !affected[r.Name] {
				remaining = append(remaining, r)
			}
		}
		c.Services[i].Searchers = remaining
	}
	_, err := e.environment.Platform.PublishConfiguration(faker.ConfigurationKey, c)
	return err
}

// sendPoison makes searchers crash on queries with the word poison, and sends such a query every PoisonPeriod. It uses the
// first query text three times in a row, and each later text four times.
func (e *experiment) sendPoison(ctx context.Context) error {
	e.environment.ChangeAll(func(b *faker.Behaviour) { b.CrashText, b.RestartAfter = "poison", restartAfter })
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	n := 0
	return every(ctx, PoisonPeriod, func() {
		n++
		vm := e.vms[n%len(e.vms)].Listen.Callers
		_, _ = client.Search(ctx, vm, e.spec.Index, server.Query{Text: fmt.Sprintf("poison %d", n/4)}, "", e.deadline())
	})
}

func every(ctx context.Context, period time.Duration, f func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}
