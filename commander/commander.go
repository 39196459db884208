package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/runner"
)

// The exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// usageError is an error in the command line or in a file that the operator wrote; it leads to ExitUsage.
type usageError struct{ error }

func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal, an interrupt ends the program at once. A further SIGTERM has no effect, because it must
	// not interrupt a drain.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	configureLogs(errOut)
	defer klog.StopFlushDaemon()
	defer klog.Flush()
	err := newApp(out, errOut).Run(ctx, args)
	var usageErr usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(errOut, usageErr.error)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, "pistachiogap:", err)
	return ExitFailed
}

func configureLogs(w io.Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(w)
}

func newApp(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "pistachiogap",
		Usage:     "a query tier between callers and the searchers of an index spread over many shards",
		Version:   runner.Version,
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			serveCommand(), demoCommand(), checkCommand(), generateCommand(), loadCommand(), experimentCommand(), replayCommand(), timelineCommand(), auditCommand(), statusCommand(), versionCommand(),
		},
		// Main turns errors into exit codes; the library's default handler may exit by itself.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return asUsageError(err)
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return asUsageError(errors.Errorf("pistachiogap: there is no command %q; see pistachiogap --help", c.Args().First()))
			}
			return cli.ShowAppHelp(c)
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "pistachiogap", runner.Version)
			return err
		},
	}
}

// addresses parses a repeated flag whose values are addresses with ports; at least one is required.
func addresses(c *cli.Command, name string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range c.StringSlice(name) {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, asUsageError(errors.Errorf("--%s: %q is not an address with a port", name, s))
		}
		out = append(out, a)
	}
	if len(out) == 0 {
		return nil, asUsageError(errors.Errorf("--%s is needed", name))
	}
	return out, nil
}
