package faker

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Verb runs one command of a scenario script. words are its arguments without the options.
type Verb func(s *Scenario, words []string, o Options) error

// Verbs returns the commands of the scenario scripts by name.
func Verbs() map[string]Verb {
	return map[string]Verb{
		"world": verbWorld, "vm": verbVM, "platform": verbPlatform, "publish": verbPublish, "searcher": verbSearcher,
		"link": verbLink, "loss": verbLoss, "traffic": verbTraffic, "bookings": verbBookings, "search": verbSearch,
		"ticket": verbTicket, "use": verbUse, "pause": verbPause, "trace": verbTrace, "expect": verbExpect, "await": verbAwait,
	}
}

func verbWorld(s *Scenario, words []string, o Options) error {
	if len(words) != 1 {
		return errors.New("usage: world QUESTIONNAIRE")
	}
	return s.StartEnvironment(words[0], o)
}

// parseVMNumbers parses numbers and ranges such as 1-3.
func parseVMNumbers(words []string) ([]int, error) {
	var numbers []int
	for _, w := range words {
		first, last, isRange := strings.Cut(w, "-")
		a, err := strconv.Atoi(first)
		if err != nil {
			return nil, err
		}
		b := a
		if isRange {
			if b, err = strconv.Atoi(last); err != nil {
				return nil, err
			}
		}
		for n := a; n <= b; n++ {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

func verbVM(s *Scenario, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("usage: vm start|inside|ready|stop|kill|freeze|wake|hide|show VM...")
	}
	numbers, err := parseVMNumbers(words[1:])
	if err != nil {
		return err
	}
	switch words[0] {
	case "ready":
		return s.awaitReady(numbers)
	case "stop":
		return s.stopVMs(numbers)
	}
	for _, n := range numbers {
		if err := s.runVMCommand(words[0], n, o); err != nil {
			return err
		}
	}
	return nil
}

// runVMCommand runs a command of the verb vm on one VM. The command inside starts the VM within this process.
func (s *Scenario) runVMCommand(command string, n int, o Options) error {
	switch command {
	case "start":
		return s.startVM(n, o, false)
	case "inside":
		return s.startVM(n, o, true)
	case "kill":
		return s.killVM(n)
	case "freeze":
		return s.signalVM(n, syscall.SIGSTOP)
	case "wake":
		return s.signalVM(n, syscall.SIGCONT)
	case "hide":
		s.setHidden(n, true)
		return nil
	case "show":
		s.setHidden(n, false)
		return nil
	}
	return errors.Errorf("unknown command: vm %s", command)
}

func verbPlatform(s *Scenario, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "down":
		s.environment.Platform.SetDown(true)
	case "up":
		s.environment.Platform.SetDown(false)
	case "stale":
		s.environment.Platform.SetStale(true)
	case "fresh":
		s.environment.Platform.SetStale(false)
	case "back":
		s.environment.Platform.SetServedRevision(modeler.Revision(o.Float("revision", 1)))
	default:
		return errors.New("usage: platform down|up|stale|fresh|back")
	}
	return nil
}

// verbPublish publishes the configuration with another deadline (option deadline), one more snapshot of every index
// (option snapshot) or both. The patience of every index is set to its deadline. "publish broken" publishes an invalid
// value instead.
func verbPublish(s *Scenario, words []string, o Options) error {
	if len(words) == 1 && words[0] == "broken" {
		s.environment.Platform.Publish(ConfigurationKey, []byte(`{"services": [{"name": "?"}]}`))
		return nil
	}
	c := s.environment.Configuration
	c.Indexes = append([]modeler.Index(nil), c.Indexes...)
	for i := range c.Indexes {
		x := &c.Indexes[i]
		x.Policy.Deadline.Duration = o.Duration("deadline", x.Policy.Deadline.Duration)
		x.Policy.Patience = x.Policy.Deadline
		if id := o.Float("snapshot", 0); id > 0 {
			x.Snapshots = append(append([]modeler.Snapshot(nil), x.Snapshots...), splitShards(x.Snapshots[len(x.Snapshots)-1], modeler.SnapshotID(id)))
		}
	}
	s.environment.Configuration = c
	s.rememberConfiguration()
	_, err := s.environment.Platform.PublishConfiguration(ConfigurationKey, c)
	return err
}

// splitShards returns a snapshot with the given id. It has the shards of the last snapshot, every second one split in two.
func splitShards(last modeler.Snapshot, id modeler.SnapshotID) modeler.Snapshot {
	out := modeler.Snapshot{ID: id}
	for i, h := range last.Shards {
		if i%2 == 0 {
			out.Shards = append(out.Shards, h)
			continue
		}
		for _, part := range []string{"a", "b"} {
			out.Shards = append(out.Shards, modeler.Shard{Name: h.Name + modeler.ShardName("."+part), Service: h.Service, Documents: h.Documents/2 + 10})
		}
	}
	return out
}

// configurationWith returns the last published configuration that has the snapshot.
func (s *Scenario) configurationWith(id modeler.SnapshotID) modeler.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configurations[id]
}

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

// verbLink sets the state of the links between two sets of VMs, in both directions unless the option one-way is set. The
// option has nothing to do with the state LinkOneWay; see SetLink for what a direction is.
func verbLink(s *Scenario, words []string, o Options) error {
	states := map[string]LinkState{"up": LinkUp, "cut": LinkCut, "silence": LinkSilent}
	if len(words) != 3 {
		return errors.New("usage: link up|cut|silence FROM TO")
	}
	state, ok := states[words[0]]
	from, err1 := parseVMNumbers(strings.Split(words[1], ","))
	to, err2 := parseVMNumbers(strings.Split(words[2], ","))
	if !ok || err1 != nil || err2 != nil {
		return errors.New("usage: link up|cut|silence FROM TO")
	}
	for _, a := range from {
		for _, b := range to {
			s.SetLink(a, b, state)
			if o["one-way"] == "" {
				s.SetLink(b, a, state)
			}
		}
	}
	return nil
}

func verbLoss(s *Scenario, _ []string, o Options) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossShare = o.Float("share", 0)
	return nil
}

func verbTraffic(s *Scenario, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "start":
		s.searches.start(o)
	case "stop":
		s.searches.stop()
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
		s.orders.stop()
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

// verbTrace writes the time line of a search to a file: an empty line, then one JSON event per line, as in the traces of
// the command replay.
func verbTrace(s *Scenario, words []string, o Options) error {
	if len(words) != 1 {
		return errors.New("usage: trace FILE id=REQUEST")
	}
	return os.WriteFile(words[0], []byte(s.timelineText(modeler.RequestID(o.Text("id", "")))), 0o600)
}

func verbPause(s *Scenario, words []string, _ Options) error {
	d, err := time.ParseDuration(strings.Join(words, ""))
	if err != nil {
		return err
	}
	spawner.Sleep(s.ctx, d)
	return nil
}
