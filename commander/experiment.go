package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/experimenter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// The simulated network of an experiment: 127.experimentNetwork.0.0/16, and the delay between failure domains.
const (
	experimentNetwork = 23
	experimentLink    = 500 * time.Microsecond
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "measure policies under faults on stand-ins of a questionnaire's deployment", ArgsUsage: "QUESTIONNAIRE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "index", Required: true, Usage: "`NAME` of the index"},
			&cli.StringFlag{Name: "policies", Value: "design,no-hedge,naive-retry,oracle", Usage: "`LIST` of policies"},
			&cli.StringFlag{Name: "faults", Value: "healthy,straggler,lost-domain,poison,silence", Usage: "`LIST` of faults; overload and short-shard are available too"},
			&cli.StringFlag{Name: "relay-widths", Value: "0", Usage: "`LIST` of relay widths"},
			&cli.IntFlag{Name: "vms", Value: 9, Usage: "how many VMs"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "searches a second"},
			&cli.DurationFlag{Name: "for", Value: 8 * time.Second, Usage: "duration of each measurement"},
			&cli.DurationFlag{Name: "service", Value: 4 * time.Millisecond, Usage: "median service time of a searcher"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, service times and the choice of VMs"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON outcome per line"},
		},
		Action: experiment,
	}
}

func experiment(ctx context.Context, c *cli.Command) error {
	cfg, _, err := generateFromFile(c.Args().First())
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if !c.Bool("json") {
		_, _ = fmt.Fprintln(w, "| fault | policy | relay width | n | p50 ms | p99 ms | p99.9 ms | complete | in time | refused | coverage | extra load | connections |")
		_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	}
	for _, fault := range strings.Split(c.String("faults"), ",") {
		for _, policy := range strings.Split(c.String("policies"), ",") {
			for _, width := range strings.Split(c.String("relay-widths"), ",") {
				spec := experimenter.Spec{
					Configuration: cfg, Index: modeler.IndexName(c.String("index")),
					Policy: experimenter.Policy(policy), Fault: experimenter.Fault(fault),
					VMs: c.Int("vms"), Rate: c.Float("rate"), Duration: c.Duration("for"), ServiceTime: c.Duration("service"),
					LinkDelay: experimentLink, Seed: c.Uint64("seed"), Network: experimentNetwork,
				}
				if _, err := fmt.Sscan(width, &spec.RelayWidth); err != nil {
					return asUsageError(err)
				}
				if err := measure(ctx, c, spec); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measure runs one experiment and prints its outcome. The column "refused" is the share of searches that were refused
// or failed.
func measure(ctx context.Context, c *cli.Command, spec experimenter.Spec) error {
	o, err := experimenter.Run(ctx, spec)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if c.Bool("json") {
		return json.NewEncoder(w).Encode(o)
	}
	l := o.Load
	refused := 0
	for _, n := range l.Refused {
		refused += n
	}
	_, err = fmt.Fprintf(w, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.2f %% | %.2f %% | %.2f %% | %.4f | %.2f %% | %d |\n",
		o.Fault, o.Policy, o.RelayWidth, l.Sent, ms(l.P50), ms(l.P99), ms(l.P999), percent(l.Complete, l.Sent), percent(l.InTime, l.Sent),
		percent(refused+l.Failed, l.Sent), l.Coverage, 100*l.ExtraLoad, o.Connections)
	return err
}

func ms(us int64) float64 { return float64(us) / 1000 }

func percent(n, total int) float64 { return 100 * float64(n) / float64(max(1, total)) }
