package faker

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
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
