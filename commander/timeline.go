package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
)

const followPeriod = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge the events of all VMs into one time line",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "`ADDRESS` of a VM's port for operators; may be repeated"},
			&cli.StringFlag{Name: "request", Usage: "print only events of the request with this `ID`"},
			&cli.BoolFlag{Name: "follow", Usage: "keep printing new events"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON event per line"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	vms, err := addresses(c, "vm")
	if err != nil {
		return err
	}
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	root := c.Root()
	next := map[netip.AddrPort]uint64{}
	for {
		events, missing := collect(ctx, client, vms, next, modeler.RequestID(c.String("request")))
		for _, a := range missing {
			_, _ = fmt.Fprintf(root.ErrWriter, "timeline: VM at %s does not answer; its events are missing\n", a)
		}
		if err := printEvents(root.Writer, events, c.Bool("json")); err != nil {
			return err
		}
		if !c.Bool("follow") {
			return nil
		}
		select {
		case <-time.After(followPeriod):
		case <-ctx.Done():
			return nil
		}
	}
}

// collect asks every VM for its events from its position in next on, and advances these positions. It returns the merged
// events and the VMs that did not answer.
func collect(ctx context.Context, client *caller.Client, vms []netip.AddrPort, next map[netip.AddrPort]uint64, id modeler.RequestID) (events []recorder.Event, missing []netip.AddrPort) {
	var timelines [][]recorder.Event
	for _, a := range vms {
		page, err := client.Timeline(ctx, a, next[a], id)
		if err != nil {
			missing = append(missing, a)
			continue
		}
		next[a] = page.Next
		timelines = append(timelines, page.Events)
	}
	return recorder.Merge(timelines...), missing
}

func printEvents(w io.Writer, events []recorder.Event, asJSON bool) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if asJSON {
			if err := encoder.Encode(e); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintln(w, formatEvent(e)); err != nil {
			return err
		}
	}
	return nil
}

func formatEvent(e recorder.Event) string {
	s := fmt.Sprintf("%s  %-10s %-22s", e.At.Time().UTC().Format("15:04:05.000000"), e.VM, e.Kind)
	for _, part := range []struct{ name, value string }{
		{"request", string(e.Request)},
		{"shard", string(e.Shard)},
		{"searcher", string(e.Searcher)},
		{"purpose", e.Purpose},
		{"fault", e.Fault},
		{"", e.Detail},
	} {
		switch {
		case part.value == "":
		case part.name == "":
			s += " " + part.value
		default:
			s += " " + part.name + "=" + part.value
		}
	}
	if e.Plan != nil {
		s += fmt.Sprintf(" index=%s snapshot=%d shards=%d deadline=%s", e.Plan.Index, e.Plan.Snapshot, len(e.Plan.Shards), e.Plan.Deadline)
	}
	return s
}
