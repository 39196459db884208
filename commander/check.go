package commander

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/runner"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings, a questionnaire or a configuration and name every fault", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.StringFlag{Name: "as", Value: "settings", Usage: "`KIND`: settings, questionnaire or configuration"}},
		Action: func(_ context.Context, c *cli.Command) error {
			file := c.Args().First()
			b, err := readArgument(file)
			if err != nil {
				return err
			}
			if err := checkAs(c.String("as"), file, b); err != nil {
				return asUsageError(err)
			}
			_, err = fmt.Fprintln(c.Root().Writer, file+": ok")
			return err
		},
	}
}

func checkAs(kind, file string, b []byte) error {
	var err error
	switch kind {
	case "settings":
		_, err = parser.Decode[runner.Settings](file, b)
	case "questionnaire":
		_, err = parser.Decode[generator.Questionnaire](file, b)
	case "configuration":
		_, err = parser.Decode[modeler.Configuration](file, b)
	default:
		err = errors.Errorf("--as must be settings, questionnaire or configuration, not %q", kind)
	}
	return err
}
