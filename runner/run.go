package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/relayer"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Run serves until the context ends, an operator drains the VM, or one of its parts returns. Then the VM finishes the
// accepted requests, hands its tickets over and stops. Requests that are still open after the grace are cut off. A panic
// of a background part does not end Run: see startParts.
func (v *VM) Run(ctx context.Context) error {
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStarted})
	klog.Infof("vm: %s in %s serves callers on %s", v.cfg.Name, v.cfg.FailureDomain, v.cfg.Listen.Callers)
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	callersCtx, stopCallers := context.WithCancel(partsCtx)
	defer stopCallers()
	v.join(ctx)

	parts, failures := v.startParts(partsCtx)
	callers := spawner.Go(callersCtx, v.serveCallers)
	err := v.waitForEnd(ctx, callers, failures)
	v.draining.Store(true)
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessDraining})
	klog.Infof("vm: %s drains", v.cfg.Name)
	if err == nil {
		v.stop.Begin(time.Now().Add(v.cfg.DrainDelay.Duration + v.cfg.Grace.Duration))
		spawner.Sleep(partsCtx, v.cfg.DrainDelay.Duration)
		stopCallers()
		err = <-callers
	}
	v.leave(partsCtx)
	stopParts()
	err = errors.Wrap(firstError(err, spawner.Wait(parts...)), "vm")
	v.dialer.Close()
	v.relayClient.Close()
	v.platformClient.Close()
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStopped})
	klog.Infof("vm: %s stopped", v.cfg.Name)
	return err
}

// startParts starts the background parts: all except the callers' server. It returns a result channel for each part, and
// one channel that receives the error, or nil, of each part that returns before the context ends. A part that panics
// sends nothing on that channel, because spawner.Go recovers the panic outside the function that sends. Its error is
// only in its result channel.
func (v *VM) startParts(ctx context.Context) (results []<-chan error, failures <-chan error) {
	parts := []func(context.Context) error{
		v.gossip.Run, v.runPulls, v.runSync, v.runTurnBack, v.servePeers, v.serveOperators,
	}
	if v.cfg.Routing != nil {
		parts = append(parts, v.follower.Run, v.runRouteUpkeep, v.serveReady)
	} else {
		parts = append(parts, v.watcher.Run, v.runUpkeep, func(ctx context.Context) error {
			return v.watcher.RunListing(ctx, v.cfg.ListPeriod.Duration)
		})
	}
	earlyEnds := make(chan error, len(parts))
	for _, part := range parts {
		results = append(results, spawner.Go(ctx, func(ctx context.Context) error {
			err := part(ctx)
			if ctx.Err() == nil {
				earlyEnds <- errors.Wrap(err, "background part ended before the VM stopped")
			}
			return err
		}))
	}
	return results, earlyEnds
}

// waitForEnd waits until the context ends, an operator drains the VM, a background part returns, or the callers' server
// ends. It returns an error only if the callers' server ended, because then no requests are left to drain.
func (v *VM) waitForEnd(ctx context.Context, callers, failures <-chan error) error {
	select {
	case <-ctx.Done():
	case <-v.drainRequests:
	case err := <-failures:
		klog.Errorf("vm: %s stops because a part failed: %v", v.cfg.Name, err)
	case err := <-callers:
		return errors.Wrap(err, "callers' server ended before the VM was drained")
	}
	return nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (v *VM) servePeers(ctx context.Context) error {
	service := &relayer.Service{
		Store: v.store, Gossip: v.gossip, Tickets: v.tickets, Orderer: v.orderer, Scatterer: v.scatterer,
		View: v.view.Load, Self: v.incarnation,
	}
	h := relayer.RequireSignature(v.cfg.keyBytes(), relayer.CompressLarge(messenger.NewPeerServer(service)))
	return server.Serve(ctx, server.NewPeerServer(h), v.peerListener, time.Second)
}
