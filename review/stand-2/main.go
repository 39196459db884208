// Command stand-2 plays the cases of the second review. It starts the tier's processes as the deploy file says, and
// stand-ins for callers, searchers and the platform's store in its own process, all on loopback addresses.
//
//	stand-2 CASE RECORD PROGRAM
//
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in
// the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// The results of a play.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// shownBreaches bounds the breaches that are printed; the record has all.
const shownBreaches = 3

// play is one play of a case.
type play struct {
	rec     *record
	store   *imitator.Store
	vms     []*vm
	trouble bool
	dir     string
	program string
}

// cases holds the cases by name. A case returns the breaches of its rule.
var cases = map[string]func(*play) (breaches []string, err error){
	"misdirected": playMisdirected,
	"parts":       playParts,
	"popular":     playPopular,
	"spoilt":      playSpoilt,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD PROGRAM")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, recordPath, program string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return notRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("kept:", dir)
	}
	p := &play{rec: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, store: imitator.NewStore()}
	defer p.end()
	go p.endOnSignal()
	breaches, err := f(p)
	if err != nil {
		rec.add("not-run", "%v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for i, b := range breaches {
		rec.add("BROKEN", "%s", b)
		if i < shownBreaches {
			fmt.Println("BROKEN:", b)
		}
	}
	if len(breaches) > 0 {
		fmt.Println("broken", len(breaches), "times; all are in", recordPath)
		return broken
	}
	rec.add("held", "")
	fmt.Println("held")
	return held
}

// end ends all processes that the play has started.
func (p *play) end() {
	for _, v := range p.vms {
		v.kill()
	}
	p.store.CloseClientConnections()
	p.store.Close()
}

// endOnSignal ends the play early, with all its processes, when it is told to stop.
func (p *play) endOnSignal() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-ch
	for _, v := range p.vms {
		v.kill()
	}
	os.Exit(notRun)
}

// startVMs starts n VMs and waits until they are ready.
func (p *play) startVMs(n int) error {
	var err error
	if p.vms, err = newVMs(p.rec, p.dir, p.program, p.store.Addr().String(), n); err != nil {
		return err
	}
	for _, v := range p.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range p.vms {
		if err := v.waitReady(readyLimit); err != nil {
			return err
		}
	}
	return nil
}
