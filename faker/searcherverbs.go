package faker

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// selectSearchers returns the searchers that match a selector: all, the name of a searcher, the name of a service,
// domain:NAME for a failure domain, or replica:N for the N-th searcher of each service.
func (s *Scenario) selectSearchers(selector string) ([]*Searcher, error) {
	kind, name, ok := strings.Cut(selector, ":")
	var out []*Searcher
	for _, x := range s.environment.Searchers {
		selected := selector == "all" || string(x.Searcher.Name) == selector || string(x.Service.Name) == selector
		if ok {
			selected = kind == "domain" && string(x.Searcher.FailureDomain) == name ||
				kind == "replica" && strings.HasSuffix(string(x.Searcher.Name), "-"+name)
		}
		if selected {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return nil, errors.Errorf("no searcher matches %q", selector)
	}
	return out, nil
}

func verbSearcher(s *Scenario, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("usage: searcher SELECTOR COMMAND")
	}
	selected, err := s.selectSearchers(words[0])
	if err != nil {
		return err
	}
	for _, x := range selected {
		if err := s.runSearcherCommand(x, words[1], o); err != nil {
			return err
		}
	}
	if words[1] == "listed" {
		s.publishListing()
	}
	return nil
}

// runSearcherCommand runs a command of the verb searcher on one searcher. The command well ends all injected
// faults of the searcher's behaviour; listed makes the searcher drain without announcing it and adds it to the
// platform's list of leaving searchers.
func (s *Scenario) runSearcherCommand(x *Searcher, command string, o Options) error {
	changes := map[string]func(*Behaviour){
		"slow":           func(b *Behaviour) { b.ExtraLatency = o.Duration("by", 100*time.Millisecond) },
		"well":           func(b *Behaviour) { *b = Behaviour{ServiceTime: b.ServiceTime} },
		"drain-in-band":  func(b *Behaviour) { b.Draining, b.DrainHeader, b.HideDraining = true, true, true },
		"drain-health":   func(b *Behaviour) { b.Draining = true },
		"drain-refusing": func(b *Behaviour) { b.Draining, b.RefuseWhileDraining = true, true },
		"listed":         func(b *Behaviour) { b.Draining, b.HideDraining = true, true },
		"shed":           func(b *Behaviour) { b.Shed, b.RetryAfter = true, o.Duration("retry-after", 0) },
		"cross":          func(b *Behaviour) { b.SwapAnswers = true },
		"wrong-snapshot": func(b *Behaviour) { b.WrongSnapshot = true },
		"truncate":       func(b *Behaviour) { b.Truncate = true },
		"repeat":         func(b *Behaviour) { b.RepeatBody = true },
		"flip-bit":       func(b *Behaviour) { b.FlipBit = true },
		"close-after":    func(b *Behaviour) { b.CloseAfter = true },
		"poisoned-by":    func(b *Behaviour) { b.CrashText, b.RestartAfter = o.Text("text", "poison"), o.Duration("restart", 0) },
	}
	if f, ok := changes[command]; ok {
		x.Change(f)
		if command == "listed" {
			s.mu.Lock()
			s.leaving = append(s.leaving, x.Searcher.Address)
			s.mu.Unlock()
		}
		return nil
	}
	switch command {
	case "crash":
		x.Crash(s.ctx, o.Duration("restart", 0))
	case "silence":
		x.Silence()
	case "hold":
		return s.holdSnapshots(x, o.Text("snapshots", ""))
	default:
		return errors.Errorf("unknown command: searcher %s", command)
	}
	return nil
}

// holdSnapshots makes a searcher hold only the snapshots in a comma-separated list of ids.
func (s *Scenario) holdSnapshots(x *Searcher, list string) error {
	for _, index := range s.environment.Configuration.Indexes {
		var held []modeler.Snapshot
		for _, v := range index.Snapshots {
			if strings.Contains(","+list+",", fmt.Sprintf(",%d,", v.ID)) {
				held = append(held, v)
			}
		}
		x.SetSnapshots(index.Name, held)
	}
	return nil
}
