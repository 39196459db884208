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

// SettingsVariable is the environment variable that may hold the path of the settings file.
const SettingsVariable = "PISTACHIOGAP_SETTINGS"

// gcPercent is the garbage collection target, unless GOGC is set. It balances the memory of a small heap against the CPU
// time of collections.
const gcPercent = 50

// memoryLimitPercent is the part of the VM's memory that the garbage collector keeps to, as far as what is in use allows.
// The rest is for the program itself and for memory that the runtime does not count.
const memoryLimitPercent = 75

// settingsPeriod is how often the settings file is checked for a change, because a change may come without a SIGHUP.
const settingsPeriod = 5 * time.Second

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one VM of the tier until it is signalled or drained",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "`FILE` in JSON with comments", Required: true, Sources: cli.EnvVars(SettingsVariable)}},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	// Registered until the process exits: without a handler, SIGHUP would end it at once, even while it drains.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	file := c.String("settings")
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	limitMemory(cfg.Resources)
	// Logging outlives ctx, so that the lines of the drain are written.
	logCtx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	logsDone := logger.Start(logCtx, c.Root().Writer)
	defer func() {
		stopLogs()
		<-logsDone
	}()
	vm, err := runner.NewVM(cfg)
	if err != nil {
		return asUsageError(errors.Wrap(err, file))
	}
	ctx, cancel := context.WithCancel(ctx)
	reloadDone := spawner.Go(ctx, func(ctx context.Context) error { return reload(ctx, hangUps, file, vm) })
	err = vm.Run(ctx)
	cancel()
	return firstError(err, spawner.Wait(reloadDone))
}

// limitMemory sets the garbage collector's targets, unless the environment does.
func limitMemory(r runner.Resources) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(r.Bytes() * memoryLimitPercent / 100)
	}
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// reload reads the settings again after a SIGHUP or a change of the file. If the new ones are invalid, the old ones stay
// in force.
func reload(ctx context.Context, hangUps <-chan os.Signal, file string, vm *runner.VM) error {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := modificationTime(file)
	for {
		select {
		case <-hangUps:
		case <-ticker.C:
			if modificationTime(file).Equal(last) {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		last = modificationTime(file)
		cfg, err := readSettings(file)
		if err != nil {
			klog.ErrorS(err, "settings: cannot be read again; the old settings stay in force")
			continue
		}
		vm.Reload(cfg)
	}
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func readSettings(file string) (runner.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return runner.Settings{}, asUsageError(err)
	}
	cfg, err := parser.Decode[runner.Settings](file, b)
	return cfg, asUsageError(err)
}
