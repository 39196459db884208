package faker

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// machine is one VM of a stage: a process of the program, or a VM within this process.
type machine struct {
	settings runner.Settings
	process  *exec.Cmd
	end      context.CancelFunc
	done     <-chan error
	hidden   bool
}

// begin starts a VM, as a process or within this one.
func (s *Stage) begin(n int, o Options, inside bool) error {
	cfg, err := s.settings(n, o)
	if err != nil {
		return err
	}
	m := &machine{settings: cfg, hidden: true}
	if inside {
		err = s.beginInside(m, o)
	} else {
		err = s.beginProcess(m)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.vms[n] = m
	s.mu.Unlock()
	s.list()
	return nil
}

func (s *Stage) beginInside(m *machine, o Options) error {
	mechanisms, err := Without(o.Text("without", ""))
	if err != nil {
		return err
	}
	vm, err := runner.NewVM(m.settings, runner.WithMechanisms(mechanisms))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	m.end, m.done = cancel, spawner.Go(ctx, vm.Run)
	return nil
}

func (s *Stage) beginProcess(m *machine) error {
	b, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.Dir, string(m.settings.Name)+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	m.process = exec.Command(s.Program, "serve", "--settings", file)
	logs, err := os.OpenFile(filepath.Join(s.Dir, string(m.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process.Stdout, m.process.Stderr = logs, logs
	if err := m.process.Start(); err != nil {
		return err
	}
	m.done = spawner.Go(s.ctx, func(context.Context) error {
		defer func() { _ = logs.Close() }()
		return m.process.Wait()
	})
	return nil
}

func (s *Stage) machine(n int) (*machine, error) {
	s.mu.Lock()
	m := s.vms[n]
	s.mu.Unlock()
	if m == nil {
		return nil, errors.Errorf("VM %d does not run", n)
	}
	return m, nil
}

func (s *Stage) signal(n int, sig syscall.Signal) error {
	m, err := s.machine(n)
	if err != nil {
		return err
	}
	if m.process == nil {
		return errors.Errorf("VM %d is no process", n)
	}
	return m.process.Process.Signal(sig)
}

// kill ends a VM at once.
func (s *Stage) kill(n int) error {
	m, err := s.machine(n)
	if err != nil {
		return err
	}
	s.forget(n)
	if m.process == nil {
		m.end()
		<-m.done
		return nil
	}
	_ = m.process.Process.Kill()
	<-m.done
	return nil
}

// hide takes a VM out of the balancer's choice, or puts it back.
func (s *Stage) hide(n int, hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.vms[n]; m != nil {
		m.hidden = hidden
	}
}

func (s *Stage) forget(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, n)
}

// stop tells VMs to end and waits until they did so in good order.
func (s *Stage) stop(ns []int) error {
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		s.hide(n, true)
		if m.process == nil {
			m.end()
		} else if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		s.forget(n)
		select {
		case err := <-m.done:
			if err != nil {
				return errors.Wrapf(err, "VM %d", n)
			}
		case <-time.After(stopLimit):
			return errors.Errorf("VM %d does not stop", n)
		}
	}
	return nil
}

func (s *Stage) ready(ns []int) error {
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		if err := WaitReady(s.ctx, []runner.Settings{m.settings}, readyLimit); err != nil {
			return err
		}
		s.hide(n, false)
	}
	return nil
}
