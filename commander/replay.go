package commander

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/replayer"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay recorded traces and compare their outcomes with the expected ones", ArgsUsage: "TRACE...",
		Action: func(_ context.Context, c *cli.Command) error {
			mismatches := 0
			for _, file := range c.Args().Slice() {
				b, err := readArgument(file)
				if err != nil {
					return err
				}
				t, err := replayer.Parse(file, b)
				if err != nil {
					return asUsageError(err)
				}
				verdict := "ok"
				if got := replayer.Run(t); got != t.Expected {
					mismatches++
					verdict = fmt.Sprintf("replay gave %+v, the trace expects %+v", got, t.Expected)
				}
				if _, err := fmt.Fprintf(c.Root().Writer, "%s: %s\n", file, verdict); err != nil {
					return err
				}
			}
			if mismatches > 0 {
				return errors.Errorf("%d traces did not give the expected outcome", mismatches)
			}
			return nil
		},
	}
}
