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

// scenarioVM is a VM under test. It runs as a process of its own, or within this process if process is nil.
type scenarioVM struct {
	settings           runner.Settings
	process            *exec.Cmd
	cancel             context.CancelFunc
	done               <-chan error
	hiddenFromBalancer bool
}

// StartVMs lists VMs on the platform, starts them within this process and waits until all are ready. It returns a channel
// for each VM that was started, which brings the result of its run.
func (e *Environment) StartVMs(ctx context.Context, vms []runner.Settings, limit time.Duration, options ...runner.Option) ([]<-chan error, error) {
	e.PublishListing(vms...)
	var done []<-chan error
	for _, s := range vms {
		vm, err := runner.NewVM(s, options...)
		if err != nil {
			return done, err
		}
		done = append(done, spawner.Go(ctx, vm.Run))
	}
	return done, WaitReady(ctx, vms, limit)
}

// startVM starts a VM within this process or as a process of its own. The balancer sends it no requests until the VM has
// passed its health check in the command "vm ready", or until the command "vm show", which checks nothing.
func (s *Scenario) startVM(n int, o Options, inProcess bool) error {
	cfg, err := s.prepareVM(n, o)
	if err != nil {
		return err
	}
	vm := &scenarioVM{settings: cfg, hiddenFromBalancer: true}
	if inProcess {
		err = s.startVMInProcess(vm, o)
	} else {
		err = s.startVMSubprocess(vm)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.vms[n] = vm
	s.mu.Unlock()
	s.publishListing()
	return nil
}

func (s *Scenario) startVMInProcess(vm *scenarioVM, o Options) error {
	mechanisms, err := MechanismsWithout(o.Text("without", ""))
	if err != nil {
		return err
	}
	inner, err := runner.NewVM(vm.settings, runner.WithMechanisms(mechanisms))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	vm.cancel, vm.done = cancel, spawner.Go(ctx, inner.Run)
	return nil
}

func (s *Scenario) startVMSubprocess(vm *scenarioVM) error {
	b, err := json.Marshal(vm.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.Dir, string(vm.settings.Name)+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	vm.process = exec.Command(s.Program, "serve", "--settings", file)
	logs, err := os.OpenFile(filepath.Join(s.Dir, string(vm.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.process.Stdout, vm.process.Stderr = logs, logs
	if err := vm.process.Start(); err != nil {
		return err
	}
	vm.done = spawner.Go(s.ctx, func(context.Context) error {
		defer func() { _ = logs.Close() }()
		return vm.process.Wait()
	})
	return nil
}

func (s *Scenario) runningVM(n int) (*scenarioVM, error) {
	s.mu.Lock()
	vm := s.vms[n]
	s.mu.Unlock()
	if vm == nil {
		return nil, errors.Errorf("VM %d is not running", n)
	}
	return vm, nil
}

func (s *Scenario) signalVM(n int, sig syscall.Signal) error {
	vm, err := s.runningVM(n)
	if err != nil {
		return err
	}
	if vm.process == nil {
		return errors.Errorf("cannot send a signal to VM %d: it has no process of its own", n)
	}
	return vm.process.Process.Signal(sig)
}

// killVM kills the VM's process and waits for its end. A VM within this process cannot be killed, so it is shut down.
func (s *Scenario) killVM(n int) error {
	vm, err := s.runningVM(n)
	if err != nil {
		return err
	}
	s.removeVM(n)
	if vm.process == nil {
		vm.cancel()
		<-vm.done
		return nil
	}
	_ = vm.process.Process.Kill()
	<-vm.done
	return nil
}

// setHidden sets whether the balancer leaves the VM out when it sends requests.
func (s *Scenario) setHidden(n int, hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm := s.vms[n]; vm != nil {
		vm.hiddenFromBalancer = hidden
	}
}

func (s *Scenario) removeVM(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, n)
}

// stopVMs shuts VMs down at the same time and returns an error if one fails or takes longer than stopTimeout.
func (s *Scenario) stopVMs(numbers []int) error {
	for _, n := range numbers {
		vm, err := s.runningVM(n)
		if err != nil {
			return err
		}
		s.setHidden(n, true)
		if vm.process == nil {
			vm.cancel()
		} else if err := vm.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, n := range numbers {
		vm, err := s.runningVM(n)
		if err != nil {
			return err
		}
		s.removeVM(n)
		select {
		case err := <-vm.done:
			if err != nil {
				return errors.Wrapf(err, "shutdown of VM %d", n)
			}
		case <-time.After(stopTimeout):
			return errors.Errorf("VM %d did not shut down within the timeout", n)
		}
	}
	return nil
}

// awaitReady waits until the VMs pass their health checks. As each one does, the balancer starts to send it requests.
func (s *Scenario) awaitReady(numbers []int) error {
	for _, n := range numbers {
		vm, err := s.runningVM(n)
		if err != nil {
			return err
		}
		if err := WaitReady(s.ctx, []runner.Settings{vm.settings}, readyTimeout); err != nil {
			return err
		}
		s.setHidden(n, false)
	}
	return nil
}
