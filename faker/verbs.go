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

// Verb is one command of the scenario language.
type Verb func(s *Stage, words []string, o Options) error

// Verbs returns the scenario language.
func Verbs() map[string]Verb {
	return map[string]Verb{
		"world": verbWorld, "vm": verbVM, "platform": verbPlatform, "publish": verbPublish, "searcher": verbSearcher,
		"link": verbLink, "loss": verbLoss, "traffic": verbTraffic, "bookings": verbBookings, "search": verbSearch,
		"ticket": verbTicket, "use": verbUse, "pause": verbPause, "trace": verbTrace, "expect": verbExpect, "await": verbAwait,
	}
}

func verbWorld(s *Stage, words []string, o Options) error {
	if len(words) != 1 {
		return errors.New("world QUESTIONNAIRE")
	}
	return s.Start(words[0], o)
}

func numbers(words []string) ([]int, error) {
	var ns []int
	for _, w := range words {
		from, to, span := strings.Cut(w, "-")
		a, err := strconv.Atoi(from)
		if err != nil {
			return nil, err
		}
		b := a
		if span {
			if b, err = strconv.Atoi(to); err != nil {
				return nil, err
			}
		}
		for n := a; n <= b; n++ {
			ns = append(ns, n)
		}
	}
	return ns, nil
}

func verbVM(s *Stage, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("vm start|inside|ready|kill|freeze|wake|stop|hide N...")
	}
	ns, err := numbers(words[1:])
	if err != nil {
		return err
	}
	switch words[0] {
	case "ready":
		return s.ready(ns)
	case "stop":
		return s.stop(ns)
	}
	for _, n := range ns {
		if err := s.one(words[0], n, o); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) one(what string, n int, o Options) error {
	switch what {
	case "start":
		return s.begin(n, o, false)
	case "inside":
		return s.begin(n, o, true)
	case "kill":
		return s.kill(n)
	case "freeze":
		return s.signal(n, syscall.SIGSTOP)
	case "wake":
		return s.signal(n, syscall.SIGCONT)
	case "hide":
		s.hide(n, true)
		return nil
	case "show":
		s.hide(n, false)
		return nil
	}
	return errors.Errorf("vm %s is no verb", what)
}

func verbPlatform(s *Stage, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "down":
		s.world.Platform.SetDown(true)
	case "up":
		s.world.Platform.SetDown(false)
	case "stale":
		s.world.Platform.SetStale(true)
	case "fresh":
		s.world.Platform.SetStale(false)
	case "back":
		s.world.Platform.SetBack(modeler.Revision(o.Float("revision", 1)))
	default:
		return errors.New("platform down|up|stale|fresh|back")
	}
	return nil
}

// verbPublish changes the configuration: a deadline, a new snapshot, or a broken value.
func verbPublish(s *Stage, words []string, o Options) error {
	if len(words) == 1 && words[0] == "broken" {
		s.world.Platform.Publish(Key, []byte(`{"services": [{"name": "?"}]}`))
		return nil
	}
	c := s.world.Configuration
	c.Indexes = append([]modeler.Index(nil), c.Indexes...)
	for i := range c.Indexes {
		x := &c.Indexes[i]
		x.Policy.Deadline.Duration = o.Duration("deadline", x.Policy.Deadline.Duration)
		x.Policy.Patience = x.Policy.Deadline
		if id := o.Float("snapshot", 0); id > 0 {
			x.Snapshots = append(append([]modeler.Snapshot(nil), x.Snapshots...), repartition(x.Snapshots[len(x.Snapshots)-1], modeler.SnapshotID(id)))
		}
	}
	s.world.Configuration = c
	s.remember()
	_, err := s.world.Platform.PublishConfiguration(Key, c)
	return err
}

// repartition returns a later snapshot in which every second shard is split in two.
func repartition(old modeler.Snapshot, id modeler.SnapshotID) modeler.Snapshot {
	out := modeler.Snapshot{ID: id}
	for i, h := range old.Shards {
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

func (s *Stage) published(id modeler.SnapshotID) modeler.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history[id]
}

// chosen returns the searchers that a word names: all, a name, a service, domain:NAME or replica:N of each service.
func (s *Stage) chosen(word string) ([]*Searcher, error) {
	kind, name, ok := strings.Cut(word, ":")
	var out []*Searcher
	for _, x := range s.world.Searchers {
		hit := word == "all" || string(x.Searcher.Name) == word || string(x.Service.Name) == word
		if ok {
			hit = kind == "domain" && string(x.Searcher.FailureDomain) == name ||
				kind == "replica" && strings.HasSuffix(string(x.Searcher.Name), "-"+name)
		}
		if hit {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return nil, errors.Errorf("no searcher is named by %q", word)
	}
	return out, nil
}

func verbSearcher(s *Stage, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("searcher WHICH WHAT")
	}
	chosen, err := s.chosen(words[0])
	if err != nil {
		return err
	}
	for _, x := range chosen {
		if err := s.treat(x, words[1], o); err != nil {
			return err
		}
	}
	if words[1] == "listed" {
		s.list()
	}
	return nil
}

func (s *Stage) treat(x *Searcher, what string, o Options) error {
	set := map[string]func(*Conduct){
		"slow":           func(c *Conduct) { c.Extra = o.Duration("by", 100*time.Millisecond) },
		"well":           func(c *Conduct) { *c = Conduct{Service: c.Service} },
		"drain-in-band":  func(c *Conduct) { c.Draining, c.InBand, c.LieHealth = true, true, true },
		"drain-health":   func(c *Conduct) { c.Draining = true },
		"drain-refusing": func(c *Conduct) { c.Draining, c.Refuse = true, true },
		"listed":         func(c *Conduct) { c.Draining, c.LieHealth = true, true },
		"shed":           func(c *Conduct) { c.Shed = true },
		"cross":          func(c *Conduct) { c.Cross = true },
		"wrong-snapshot": func(c *Conduct) { c.WrongSnapshot = true },
		"truncate":       func(c *Conduct) { c.Truncate = true },
		"repeat":         func(c *Conduct) { c.Repeat = true },
		"flip-bit":       func(c *Conduct) { c.FlipBit = true },
		"close-after":    func(c *Conduct) { c.CloseAfter = true },
		"poisoned-by":    func(c *Conduct) { c.CrashOn, c.RestartAfter = o.Text("text", "poison"), o.Duration("restart", 0) },
	}
	if f, ok := set[what]; ok {
		x.Change(f)
		if what == "listed" {
			s.mu.Lock()
			s.leaving = append(s.leaving, x.Searcher.Address)
			s.mu.Unlock()
		}
		return nil
	}
	switch what {
	case "crash":
		x.Crash(s.ctx, o.Duration("restart", 0))
	case "silence":
		x.Silence()
	case "hold":
		return s.hold(x, o.Text("snapshots", ""))
	default:
		return errors.Errorf("searcher %s is no verb", what)
	}
	return nil
}

func (s *Stage) hold(x *Searcher, list string) error {
	for _, index := range s.world.Configuration.Indexes {
		var held []modeler.Snapshot
		for _, v := range index.Snapshots {
			if strings.Contains(","+list+",", fmt.Sprintf(",%d,", v.ID)) {
				held = append(held, v)
			}
		}
		x.Hold(index.Name, held)
	}
	return nil
}

// verbLink sets the links between two sets of VMs, both ways unless one-way is set.
func verbLink(s *Stage, words []string, o Options) error {
	states := map[string]LinkState{"up": LinkUp, "cut": LinkCut, "silence": LinkSilent}
	if len(words) != 3 {
		return errors.New("link up|cut|silence FROM TO")
	}
	state, ok := states[words[0]]
	from, err1 := numbers(strings.Split(words[1], ","))
	to, err2 := numbers(strings.Split(words[2], ","))
	if !ok || err1 != nil || err2 != nil {
		return errors.New("link up|cut|silence FROM TO")
	}
	for _, a := range from {
		for _, b := range to {
			s.Link(a, b, state)
			if o["one-way"] == "" {
				s.Link(b, a, state)
			}
		}
	}
	return nil
}

func verbLoss(s *Stage, _ []string, o Options) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = o.Float("share", 0)
	return nil
}

func verbTraffic(s *Stage, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "start":
		s.traffic.start(o)
	case "stop":
		s.traffic.stop()
	case "reset":
		s.traffic.reset()
	default:
		return errors.New("traffic start|stop|reset")
	}
	return nil
}

func verbBookings(s *Stage, words []string, o Options) error {
	switch strings.Join(words, " ") {
	case "start":
		s.orders.start(o)
	case "stop":
		s.orders.stop()
	default:
		return errors.New("bookings start|stop")
	}
	return nil
}

func (s *Stage) vmOption(o Options) (*machine, error) { return s.machine(int(o.Float("vm", 1))) }

// verbSearch sends one search and compares how it ended.
func verbSearch(s *Stage, _ []string, o Options) error {
	m, err := s.vmOption(o)
	if err != nil {
		return err
	}
	before := s.traffic.read()
	kind := s.traffic.one(s.ctx, m.settings.Listen.Callers, o, o.Text("text", "one search"))
	after := s.traffic.read()
	got := string(kind)
	if kind == "" {
		got = "partial"
		if after.Complete > before.Complete {
			got = "complete"
		}
	}
	if want := o.Text("want", "complete"); want != "any" && got != want {
		return errors.Errorf("search ended as %s, not %s", got, want)
	}
	return nil
}

// verbTicket gets a ticket from a VM and keeps it.
func verbTicket(s *Stage, _ []string, o Options) error {
	m, err := s.vmOption(o)
	if err != nil {
		return err
	}
	service := modeler.ServiceName(o.Text("service", "desk-01"))
	s.path, err = s.client.Ticket(s.ctx, m.settings.Listen.Callers, service, "booking", time.Second)
	return err
}

// verbUse sends the kept ticket to a VM and compares how it ended: done, not-run or unknown.
func verbUse(s *Stage, _ []string, o Options) error {
	m, err := s.vmOption(o)
	if err != nil {
		return err
	}
	if o["hang-up"] != "" {
		ctx, cancel := context.WithTimeout(s.ctx, o.Duration("hang-up", time.Millisecond))
		defer cancel()
		_, _ = s.client.Resend(ctx, m.settings.Listen.Callers, s.path, o.Text("body", "booking"), 5*time.Second)
		return nil
	}
	_, err = s.client.Resend(s.ctx, m.settings.Listen.Callers, s.path, o.Text("body", "booking"), o.Duration("deadline", 2*time.Second))
	got := "done"
	var refused *caller.Refused
	if errors.As(err, &refused) {
		got = map[refuser.Truth]string{refuser.Yes: "not-run", refuser.Unknown: "unknown", refuser.No: "ran"}[refused.NotRun]
	} else if err != nil {
		got = "error"
	}
	if want := o.Text("want", "done"); want != "any" && got != want {
		return errors.Errorf("the ticket ended as %s (%v), not %s", got, err, want)
	}
	return nil
}

// verbTrace writes the time line of a search to a file, as replay reads it.
func verbTrace(s *Stage, words []string, o Options) error {
	if len(words) != 1 {
		return errors.New("trace FILE id=REQUEST")
	}
	return os.WriteFile(words[0], []byte(s.explain(modeler.RequestID(o.Text("id", "")))), 0o600)
}

func verbPause(s *Stage, words []string, _ Options) error {
	d, err := time.ParseDuration(strings.Join(words, ""))
	if err != nil {
		return err
	}
	spawner.Sleep(s.ctx, d)
	return nil
}
