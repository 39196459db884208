package faker

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

func verbTraffic(s *Scenario, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "start":
		s.searches.start(o)
	case "stop":
		s.searches.loops.stop()
	case "reset":
		s.searches.reset()
	default:
		return errors.New("usage: traffic start|stop|reset")
	}
	return nil
}

func verbBookings(s *Scenario, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "start":
		s.orders.start(o)
	case "stop":
		s.orders.loops.stop()
	default:
		return errors.New("usage: bookings start|stop")
	}
	return nil
}

// vmFromOption returns the VM whose number is the option vm, by default 1.
func (s *Scenario) vmFromOption(o Options) (*scenarioVM, error) {
	return s.runningVM(int(o.Float("vm", 1)))
}

// verbSearch sends one search and compares its outcome with the option want: complete (the default), partial, the kind
// of a refusal, error, or any.
func verbSearch(s *Scenario, _ []string, o Options) error {
	vm, err := s.vmFromOption(o)
	if err != nil {
		return err
	}
	before := s.searches.currentStats()
	kind := s.searches.send(s.ctx, vm.settings.Listen.Callers, o, o.Text("text", "one search"))
	after := s.searches.currentStats()
	got := string(kind)
	if kind == "" {
		got = "partial"
		if after.Complete > before.Complete {
			got = "complete"
		}
	}
	if want := o.Text("want", "complete"); want != "any" && got != want {
		return errors.Errorf("search outcome is %s, want %s", got, want)
	}
	return nil
}

// verbTicket gets a ticket from a VM and keeps its path for verbUse.
func verbTicket(s *Scenario, _ []string, o Options) error {
	vm, err := s.vmFromOption(o)
	if err != nil {
		return err
	}
	service := modeler.ServiceName(o.Text("service", "desk-01"))
	s.ticketPath, err = s.client.TicketPath(s.ctx, vm.settings.Listen.Callers, service, "booking", time.Second)
	return err
}

// verbUse sends the order of the kept ticket to a VM and compares its outcome with the option want: done (the default),
// not-run, unknown, ran, error, or any. With the option hang-up the caller hangs up after that time, and any outcome
// passes.
func verbUse(s *Scenario, _ []string, o Options) error {
	vm, err := s.vmFromOption(o)
	if err != nil {
		return err
	}
	if o["hang-up"] != "" {
		ctx, cancel := context.WithTimeout(s.ctx, o.Duration("hang-up", time.Millisecond))
		defer cancel()
		_, _ = s.client.OrderWithTicket(ctx, vm.settings.Listen.Callers, s.ticketPath, o.Text("body", "booking"), 5*time.Second)
		return nil
	}
	_, err = s.client.OrderWithTicket(s.ctx, vm.settings.Listen.Callers, s.ticketPath, o.Text("body", "booking"), o.Duration("deadline", 2*time.Second))
	got := "done"
	var refused *caller.RefusalError
	if errors.As(err, &refused) {
		got = map[refuser.Tristate]string{refuser.Yes: "not-run", refuser.Unknown: "unknown", refuser.No: "ran"}[refused.NotRun]
	} else if err != nil {
		got = "error"
	}
	if want := o.Text("want", "done"); want != "any" && got != want {
		return errors.Errorf("outcome of the ticket is %s (error: %v), want %s", got, err, want)
	}
	return nil
}
