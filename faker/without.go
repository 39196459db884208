package faker

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

const naiveTimeout = 30 * time.Millisecond

func retriesOnly(p gatherer.Purpose, _, retries *limiter.Budget) bool {
	return p == gatherer.Retry && retries.Spend()
}

func withoutLimit(gatherer.Purpose, *limiter.Budget, *limiter.Budget) bool { return true }

func naiveDelay(time.Duration) time.Duration { return naiveTimeout }

// Without returns the mechanisms of a VM with those switched off that a list separated by commas names.
func Without(list string) (runner.Mechanisms, error) {
	m := runner.AllOn()
	for name := range strings.SplitSeq(list, ",") {
		if err := switchOff(&m, name); err != nil {
			return m, err
		}
	}
	return m, nil
}

func switchOff(m *runner.Mechanisms, name string) error {
	switch name {
	case "":
	case "match":
		m.Scatterer = append(m.Scatterer, scatterer.WithMatch(func(gatherer.Claim, gatherer.Claim) bool { return true }))
	case "hold":
		m.Scatterer = append(m.Scatterer, scatterer.WithHold(func(bool) bool { return false }))
	case "hedges":
		m.Scatterer = append(m.Scatterer, scatterer.WithSpend(retriesOnly))
	case "budgets":
		m.Scatterer = append(m.Scatterer, scatterer.WithSpend(withoutLimit), scatterer.WithHedgeDelay(naiveDelay))
	case "news":
		m.TellNews = false
	case "handover":
		m.Handover = false
	case "tickets":
		m.Tickets = ticketer.WithoutRecords
	case "proof":
		m.Orderer = append(m.Orderer, orderer.WithProof(false))
	case "order":
		m.Store = append(m.Store, configurer.WithOrder(func(offered, held modeler.Revision) bool { return offered != held }))
	case "refutation":
		m.Node = append(m.Node, gossiper.WithRefutation(false))
	default:
		return errors.Errorf("there is no mechanism %q", name)
	}
	return nil
}
