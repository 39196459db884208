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

// fixedDelay is the hedge delay, in place of the learned one, of VMs that run without the mechanism "budgets".
const fixedDelay = 30 * time.Millisecond

// spendOnRetriesOnly allows retries within their budget and no other extra attempts.
func spendOnRetriesOnly(p gatherer.Purpose, _, retries *limiter.Budget) bool {
	return p == gatherer.Retry && retries.Spend()
}

// spendUnlimited allows every extra attempt, whatever the budgets hold.
func spendUnlimited(gatherer.Purpose, *limiter.Budget, *limiter.Budget) bool { return true }

func fixedHedgeDelay(time.Duration) time.Duration { return fixedDelay }

// MechanismsWithout returns the mechanisms of a VM without those in the comma-separated list. Tests run such VMs to show
// that their checks fail without the mechanism. Without "budgets" the hedge delay is fixed as well.
func MechanismsWithout(list string) (runner.Mechanisms, error) {
	m := runner.AllMechanisms()
	for name := range strings.SplitSeq(list, ",") {
		if err := disable(&m, name); err != nil {
			return m, err
		}
	}
	return m, nil
}

func disable(m *runner.Mechanisms, name string) error {
	switch name {
	case "":
	case "match":
		m.Scatterer = append(m.Scatterer, scatterer.WithMatch(func(gatherer.Claim, gatherer.Claim) bool { return true }))
	case "hold":
		m.Scatterer = append(m.Scatterer, scatterer.WithHold(func(bool) bool { return false }))
	case "hedges":
		m.Scatterer = append(m.Scatterer, scatterer.WithSpend(spendOnRetriesOnly))
	case "budgets":
		m.Scatterer = append(m.Scatterer, scatterer.WithSpend(spendUnlimited), scatterer.WithHedgeDelay(fixedHedgeDelay))
	case "news":
		m.BroadcastNews = false
	case "handover":
		m.Handover = false
	case "tickets":
		m.Tickets = ticketer.WithoutRecords
	case "proof":
		m.Orderer = append(m.Orderer, orderer.WithProof(false))
	case "order":
		m.Store = append(m.Store, configurer.WithOrder(func(offered, held modeler.Position) bool { return offered != held }))
	case "refutation":
		m.Node = append(m.Node, gossiper.WithRefutation(false))
	case "backoff":
		m.Scatterer = append(m.Scatterer, scatterer.WithMaxBackoff(0))
	default:
		return errors.Errorf("unknown mechanism %q", name)
	}
	return nil
}
