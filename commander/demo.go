package commander

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/loader"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// The deployment and the load of the demo. Its addresses are in the network 127.demoNetwork.0.0/16.
const (
	demoVMs          = 3
	demoNetwork      = 22
	demoServiceTime  = 2 * time.Millisecond
	demoExtraDelay   = 60 * time.Millisecond
	demoDeadline     = 500 * time.Millisecond
	demoRate         = 60
	demoLoadDuration = 3 * time.Second
	demoReadyLimit   = 5 * time.Second
	demoIndex        = "cover"
	demoOrderService = "rota-desk-01"
)

//go:embed demo.jsonc
var demoQuestionnaire []byte

// demoReport is the output of the demo. Faults lists the checks that failed, not the faults that the demo injects.
type demoReport struct {
	Search   server.SearchAnswer `json:"search"`
	Booking  server.OrderAnswer  `json:"booking"`
	Runs     int                 `json:"runs-of-the-booking"`
	Load     *loader.Result      `json:"load"`
	Timeline []recorder.Event    `json:"timeline"`
	Faults   []string            `json:"faults"`
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run three VMs with stand-ins in one process, with one searcher slow and one lost",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"}},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	q, err := parser.Decode[generator.Questionnaire]("demo.jsonc", demoQuestionnaire)
	if err != nil {
		return err
	}
	cfg, _ := generator.Generate(q)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	environment, err := faker.StartEnvironment(ctx, faker.EnvironmentConfig{Network: demoNetwork, Configuration: cfg, LinkDelay: 500 * time.Microsecond, ServiceTime: demoServiceTime, Seed: 1})
	if err != nil {
		return err
	}
	defer environment.Stop()
	var vms []runner.Settings
	for n := 1; n <= demoVMs; n++ {
		vms = append(vms, environment.Settings(n))
	}
	vmsDone, err := environment.StartVMs(ctx, vms, demoReadyLimit)
	if err != nil {
		return err
	}
	report, err := runDemo(ctx, environment, vms)
	cancel()
	if vmErr := spawner.Wait(vmsDone...); err == nil {
		err = vmErr
	}
	if err != nil {
		return err
	}
	if err := report.print(c.Root().Writer, c.Bool("json")); err != nil {
		return err
	}
	if len(report.Faults) > 0 {
		return errors.Errorf("the demo found %d faults", len(report.Faults))
	}
	return nil
}

// runDemo warms the VMs up, makes one searcher slow and crashes another one, and measures a load, a search and a booking
// that is sent twice.
func runDemo(ctx context.Context, environment *faker.Environment, vms []runner.Settings) (*demoReport, error) {
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	r := &demoReport{Faults: []string{}}
	var err error
	if r.Load, err = loader.Run(ctx, demoLoad(vms, 1, time.Second)); err != nil {
		return nil, err
	}
	environment.SearchersOf("hymn-ledger-01")[0].Change(func(b *faker.Behaviour) { b.ExtraLatency = demoExtraDelay })
	environment.SearchersOf("hymn-ledger-02")[1].Crash(ctx, 0)
	if r.Load, err = loader.Run(ctx, demoLoad(vms, 2, demoLoadDuration)); err != nil {
		return nil, err
	}
	const id = modeler.RequestID("demo-search")
	if r.Search, err = client.Search(ctx, vms[0].Listen.Callers, demoIndex, server.Query{Text: "saturday urn", Limit: 5}, id, demoDeadline); err != nil {
		return nil, err
	}
	body := map[string]string{"book": "volunteer for the urn"}
	path, err := client.TicketPath(ctx, vms[1].Listen.Callers, demoOrderService, body, time.Second)
	if err != nil {
		return nil, err
	}
	if r.Booking, err = client.OrderWithTicket(ctx, vms[2].Listen.Callers, path, body, time.Second); err != nil {
		return nil, err
	}
	if _, err = client.OrderWithTicket(ctx, vms[0].Listen.Callers, path, body, time.Second); err != nil {
		return nil, err
	}
	r.Runs = len(environment.Record.Runs(func(x faker.Run) bool { return string(x.RequestID) == r.Booking.Ticket }))
	var operators []netip.AddrPort
	for _, s := range vms {
		operators = append(operators, s.Listen.Operators)
	}
	r.Timeline, _ = collect(ctx, client, operators, map[netip.AddrPort]uint64{}, id)
	r.check(environment)
	return r, nil
}

func demoLoad(vms []runner.Settings, seed uint64, d time.Duration) loader.Load {
	l := loader.Load{Index: demoIndex, Rate: demoRate, Duration: d, Deadline: demoDeadline, Seed: seed}
	for _, s := range vms {
		l.VMs = append(l.VMs, s.Listen.Callers)
	}
	return l
}

// check compares the answers with the records of the stand-ins and adds each check that fails to r.Faults.
func (r *demoReport) check(environment *faker.Environment) {
	faultIf := func(failed bool, text string) {
		if failed {
			r.Faults = append(r.Faults, text)
		}
	}
	faultIf(r.Runs != 1, fmt.Sprintf("the booking ran %d times, want exactly once", r.Runs))
	faultIf(!r.Search.Complete, "the search is not complete")
	faultIf(len(r.Timeline) == 0, "the time line of the search is empty")
	faultIf(r.Load.Failed > 0, "requests failed without an answer")
	for _, p := range faker.CheckAnswer(environment.Configuration, demoIndex, "saturday urn", r.Search) {
		faultIf(true, p)
	}
}

func (r *demoReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	c := r.Search.Coverage
	_, _ = fmt.Fprintf(w, "Search %q with one searcher slow and one lost: %s, %d of %d shards, %d of %d documents, snapshot %d\n",
		r.Search.Request, r.Search.Outcome, c.ShardsAnswered, c.ShardsTotal, c.DocumentsSearched, c.DocumentsTotal, r.Search.Snapshot)
	for _, h := range r.Search.Hits {
		_, _ = fmt.Fprintf(w, "  %.4f  %s\n", h.Score, h.Document)
	}
	_, _ = fmt.Fprintf(w, "\nBooking sent twice through two VMs: ran %d time, answer %s\n", r.Runs, r.Booking.Result)
	// Both faults are the injected ones: the slow searcher and the lost one.
	_, _ = fmt.Fprintf(w, "\nLoad with both faults:\n%s", r.Load)
	_, _ = fmt.Fprintf(w, "\nTime line of request %s over all VMs:\n", r.Search.Request)
	if err := printEvents(w, r.Timeline, false); err != nil {
		return err
	}
	// These faults are the checks that failed.
	for _, f := range r.Faults {
		_, _ = fmt.Fprintln(w, "FAULT:", f)
	}
	return nil
}
