package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/loader"
	"github.com/pistachiogap/pistachiogap/modeler"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send open-loop load to a deployment and measure it",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "`ADDRESS` of a VM's port for callers; may be repeated"},
			&cli.StringFlag{Name: "index", Usage: "`NAME` of the index", Required: true},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "searches a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.DurationFlag{Name: "deadline", Value: 100 * time.Millisecond, Usage: "deadline of each search"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrival times and of the choice of VMs"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	vms, err := addresses(c, "vm")
	if err != nil {
		return err
	}
	l := loader.Load{
		VMs: vms, Index: modeler.IndexName(c.String("index")), Rate: c.Float("rate"), Duration: c.Duration("for"),
		Deadline: c.Duration("deadline"), Seed: c.Uint64("seed"),
	}
	if isTerminal(os.Stderr) && !c.Bool("json") {
		l.Progress = os.Stderr
	}
	r, err := loader.Run(ctx, l)
	// If the load was interrupted, r is the result so far. It is printed, and the error of loader.Run is dropped.
	if r == nil {
		return err
	}
	w := c.Root().Writer
	if !c.Bool("json") {
		_, err = fmt.Fprint(w, "\n"+r.String())
		return err
	}
	return json.NewEncoder(w).Encode(r)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
