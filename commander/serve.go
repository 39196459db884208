package commander

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/logger"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// SettingsVariable names the environment variable that may hold the path of the settings.
const SettingsVariable = "PISTACHIOGAP_SETTINGS"

// gcPercent weighs the memory of a small heap against the processor time of collections.
const gcPercent = 50

// settingsPeriod is how often the settings file is looked at, for it may change without a signal.
const settingsPeriod = 5 * time.Second

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one VM of the tier until it is told to end",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "`FILE` in JSON with comments", Required: true, Sources: cli.EnvVars(SettingsVariable)}},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	// Taken until the process ends: an untaken SIGHUP ends it at once, also while it drains.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	file := c.String("settings")
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	logs, stop := context.WithCancel(context.WithoutCancel(ctx))
	logged := logger.Start(logs, c.Root().Writer)
	defer func() {
		stop()
		<-logged
	}()
	vm, err := runner.NewVM(cfg)
	if err != nil {
		return usage(errors.Wrap(err, file))
	}
	ctx, cancel := context.WithCancel(ctx)
	reloaded := spawner.Go(ctx, func(ctx context.Context) error { return reload(ctx, hangUps, file, vm) })
	err = vm.Run(ctx)
	cancel()
	return firstError(err, spawner.Wait(reloaded))
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// reload reads the settings again at a SIGHUP or when the file has changed; faulty ones leave those in force.
func reload(ctx context.Context, hangUps <-chan os.Signal, file string, vm *runner.VM) error {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-hangUps:
		case <-ticker.C:
			if modified(file).Equal(last) {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		last = modified(file)
		cfg, err := readSettings(file)
		if err != nil {
			klog.ErrorS(err, "settings: cannot be read again, those in force stay")
			continue
		}
		vm.Reload(cfg)
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func readSettings(file string) (runner.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return runner.Settings{}, usage(err)
	}
	cfg, err := parser.Decode[runner.Settings](file, b)
	return cfg, usage(err)
}
