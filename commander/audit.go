package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/auditor"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "check the logs of all VMs, one file each, against the bound on extra attempts", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "ratio", Value: 0.2, Usage: "extra attempts allowed per request"},
			&cli.FloatFlag{Name: "slack", Usage: "extra attempts allowed besides"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "length of the sliding window"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			log := auditor.NewLog()
			for _, file := range c.Args().Slice() {
				if err := readLog(log, file); err != nil {
					return err
				}
			}
			if n := log.Dropped(); n > 0 {
				_, _ = fmt.Fprintf(c.Root().ErrWriter, "the VMs have dropped %d lines; extra attempts in them are not counted\n", n)
			}
			return printAudit(c, log.Audit(limiter.Allowance{Ratio: c.Float("ratio"), Slack: c.Float("slack"), Window: c.Duration("window")}))
		},
	}
}

func readLog(log *auditor.Log, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return asUsageError(errors.Wrap(err, "log"))
	}
	defer func() { _ = f.Close() }()
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return log.Read(modeler.VMName(name), f)
}

// printAudit prints a line for each service and fails if a service exceeded its allowance.
func printAudit(c *cli.Command, findings []auditor.Finding) error {
	exceeded := 0
	for _, f := range findings {
		if f.Share() > 1 {
			exceeded++
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s share=%.2f from=%s extra=%d requests=%d allowed=%.0f by-purpose=%v by-vm=%v\n",
			f.Service, f.Share(), f.From.Format(time.RFC3339Nano), f.Extra, f.Requests, f.Allowed, f.ByPurpose, f.ByVM); err != nil {
			return err
		}
	}
	if exceeded > 0 {
		return errors.Errorf("%d services got more extra attempts than allowed", exceeded)
	}
	return nil
}
