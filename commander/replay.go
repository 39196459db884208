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
		Name: "replay", Usage: "run recorded traces through the decisions and compare with their stated outcomes", ArgsUsage: "TRACE...",
		Action: func(_ context.Context, c *cli.Command) error {
			different := 0
			for _, file := range c.Args().Slice() {
				b, err := readArgument(file)
				if err != nil {
					return err
				}
				t, err := replayer.Parse(file, b)
				if err != nil {
					return usage(err)
				}
				verdict := "ok"
				if got := replayer.Run(t); got != t.Expect {
					different++
					verdict = fmt.Sprintf("came to %+v, stated is %+v", got, t.Expect)
				}
				if _, err := fmt.Fprintf(c.Root().Writer, "%s: %s\n", file, verdict); err != nil {
					return err
				}
			}
			if different > 0 {
				return errors.Errorf("%d traces came to another outcome", different)
			}
			return nil
		},
	}
}
