package commander

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/runner"
)

// gcPercent lets the small heap of a VM grow further between collections.
const gcPercent = 200

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one VM of the tier until it is told to end",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "`FILE` in JSON with comments", Required: true}},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	vm, err := runner.NewVM(cfg)
	if err != nil {
		return usage(errors.Wrap(err, file))
	}
	return vm.Run(ctx)
}

func readSettings(file string) (runner.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return runner.Settings{}, usage(err)
	}
	cfg, err := parser.Decode[runner.Settings](file, b)
	return cfg, usage(err)
}
