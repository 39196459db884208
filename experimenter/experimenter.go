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

// Policy is what is compared.
type Policy string

// The policies.
const (
	Design     Policy = "design"
	NoHedge    Policy = "no-hedge"
	NaiveRetry Policy = "naive-retry"
	Oracle     Policy = "oracle"
)

// Fault is what goes wrong while a policy is measured.
type Fault string

// The faults.
const (
	Healthy    Fault = "healthy"
	Straggler  Fault = "straggler"
	LostDomain Fault = "lost-domain"
	Overload   Fault = "overload"
	Poison     Fault = "poison"
	Silence    Fault = "silence"
	ShortShard Fault = "short-shard"
)

// The fixed parts of an experiment.
const (
	WarmUp        = 2 * time.Second
	ReadyLimit    = 20 * time.Second
	StraggleBy    = 40 * time.Millisecond
	PoisonPeriod  = 500 * time.Millisecond
	SilencePeriod = 2 * time.Second
	restartAfter  = 300 * time.Millisecond
	ShortShards   = 2
	clientDelay   = 3 * time.Millisecond
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
	Service       time.Duration
	Link          time.Duration
	Seed          uint64
	Network       uint8
}

// Outcome is what one experiment measured.
type Outcome struct {
	Policy      Policy         `json:"policy"`
	Fault       Fault          `json:"fault"`
	RelayWidth  int            `json:"relay-width"`
	Connections int            `json:"most-connections-to-one-searcher"`
	Load        *loader.Result `json:"load"`
}

// experiment is one experiment under way.
type experiment struct {
	spec  Spec
	world *faker.World
	vms   []runner.Settings
}

// Run starts the deployment, warms it up, applies the fault and measures the load.
func Run(ctx context.Context, spec Spec) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := faker.StartWorld(ctx, faker.Shape{
		Network: spec.Network, Configuration: spec.Configuration, Link: spec.Link, Service: spec.Service, Seed: spec.Seed,
	})
	if err != nil {
		return Outcome{}, err
	}
	defer w.Stop()
	e := &experiment{spec: spec, world: w}
	ends, err := e.startVMs(ctx)
	if err != nil {
		return Outcome{}, err
	}
	defer func() {
		cancel()
		_ = spawner.Wait(ends...)
	}()
	if _, err := loader.Run(ctx, e.load(WarmUp, min(spec.Rate, 50))); err != nil {
		return Outcome{}, err
	}
	trouble, calm := context.WithCancel(ctx)
	fault := spawner.Go(trouble, e.trouble)
	out := Outcome{Policy: spec.Policy, Fault: spec.Fault, RelayWidth: spec.RelayWidth}
	out.Load, err = loader.Run(ctx, e.load(spec.Duration, spec.Rate))
	calm()
	if faultErr := <-fault; err == nil {
		err = faultErr
	}
	for _, s := range w.Searchers {
		most, _ := s.Connections()
		out.Connections = max(out.Connections, most)
	}
	return out, err
}

func (e *experiment) startVMs(ctx context.Context) ([]<-chan error, error) {
	without := map[Policy]string{NoHedge: "hedges", NaiveRetry: "budgets"}[e.spec.Policy]
	mechanisms, err := faker.Without(without)
	if err != nil {
		return nil, err
	}
	for n := 1; n <= e.spec.VMs; n++ {
		s := e.world.Settings(n)
		s.RelayWidth = e.spec.RelayWidth
		e.vms = append(e.vms, s)
	}
	e.world.List(e.vms...)
	var ends []<-chan error
	for _, s := range e.vms {
		vm, err := runner.NewVM(s, runner.WithMechanisms(mechanisms))
		if err != nil {
			return ends, err
		}
		ends = append(ends, spawner.Go(ctx, vm.Run))
	}
	return ends, faker.WaitReady(ctx, e.vms, ReadyLimit)
}

func (e *experiment) load(d time.Duration, rate float64) loader.Load {
	l := loader.Load{Index: e.spec.Index, Rate: rate, Duration: d, Deadline: e.deadline(), Delay: clientDelay, Seed: e.spec.Seed}
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

// trouble applies the fault; an oracle is told of the searchers that it concerns.
func (e *experiment) trouble(ctx context.Context) error {
	switch e.spec.Fault {
	case Healthy, Overload:
		return nil
	case Straggler:
		return e.straggle()
	case LostDomain:
		return e.lose(ctx)
	case ShortShard:
		return e.shorten(ctx)
	case Poison:
		return e.poison(ctx)
	case Silence:
		return every(ctx, SilencePeriod, func() {
			for _, s := range e.world.Searchers {
				s.Silence()
			}
		})
	}
	return errors.Errorf("there is no fault %q", e.spec.Fault)
}

func (e *experiment) straggle() error {
	bad := map[modeler.SearcherName]bool{}
	for _, s := range e.world.Configuration.Services {
		slow := s.Searchers[0].Name
		bad[slow] = true
		for _, x := range e.world.Of(s.Name) {
			if x.Searcher.Name == slow {
				x.Change(func(c *faker.Conduct) { c.Extra = StraggleBy })
			}
		}
	}
	return e.tellOracle(bad)
}

func (e *experiment) lose(ctx context.Context) error {
	bad := map[modeler.SearcherName]bool{}
	lost := e.world.Searchers[0].Searcher.FailureDomain
	for _, x := range e.world.Searchers {
		if x.Searcher.FailureDomain == lost {
			bad[x.Searcher.Name] = true
			x.Crash(ctx, 0)
		}
	}
	return e.tellOracle(bad)
}

// shorten leaves one searcher to each of the first services.
func (e *experiment) shorten(ctx context.Context) error {
	bad := map[modeler.SearcherName]bool{}
	services := e.world.Configuration.Services
	for _, s := range services[:min(ShortShards, len(services))] {
		for _, x := range e.world.Of(s.Name)[1:] {
			bad[x.Searcher.Name] = true
			x.Crash(ctx, 0)
		}
	}
	return e.tellOracle(bad)
}

// tellOracle takes the searchers out of the configuration that an oracle reads.
func (e *experiment) tellOracle(bad map[modeler.SearcherName]bool) error {
	if e.spec.Policy != Oracle {
		return nil
	}
	c := e.world.Configuration
	c.Services = append([]modeler.Service(nil), c.Services...)
	for i := range c.Services {
		var left []modeler.Searcher
		for _, r := range c.Services[i].Searchers {
			if !bad[r.Name] {
				left = append(left, r)
			}
		}
		c.Services[i].Searchers = left
	}
	_, err := e.world.Platform.PublishConfiguration(faker.Key, c)
	return err
}

func (e *experiment) poison(ctx context.Context) error {
	e.world.Change(func(c *faker.Conduct) { c.CrashOn, c.RestartAfter = "poison", restartAfter })
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
