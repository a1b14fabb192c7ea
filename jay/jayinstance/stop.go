package jayinstance

import (
	"context"
	"time"
)

// closeBound bounds the end of the listeners after the last request.
const closeBound = 5 * time.Second

// Kill ends the instance at once, as a crash would: it notifies nobody and cuts
// what is at work.
func (i *Instance) Kill() {
	i.callers.Close()
	i.operators.Close()
	i.stopParts()
	i.list.Close()
}

// Stop ends the instance without cutting a request: it announces that it
// leaves, serves on for as long as callers may keep its address, refuses new
// work as not run, finishes every request, and sends its outcomes to the peers.
func (i *Instance) Stop(ctx context.Context) error {
	started := time.Now()
	i.log.Info("stop announced", "working", i.frontend.InFlight(), "lifetime", i.settings.Lifetime)
	i.leaving.Store(true)
	i.mesh.Leave(ctx)
	if i.settings.Register {
		i.announce(ctx)
	}
	select {
	case <-time.After(i.settings.Lifetime):
	case <-ctx.Done():
	}
	i.callers.Drain()
	err := i.frontend.Drain(ctx)
	i.control.Release(ctx)
	outcomes := i.home.Outcomes(ctx)
	accepted := i.mesh.SendOutcomes(ctx, outcomes)
	i.log.Info("outcomes sent to peers", "outcomes", len(outcomes), "instances", accepted)
	closing, cancel := context.WithTimeout(context.Background(), closeBound)
	defer cancel()
	i.callers.Stop(closing)
	i.operators.Stop(closing)
	i.stopParts()
	if i.settings.Register {
		_ = i.list.Remove(closing, i.settings.Name)
	}
	i.list.Close()
	i.log.Info("instance stopped", "took", time.Since(started), "error", err)
	return err
}

// stopParts ends the parts, those that use others first.
func (i *Instance) stopParts() {
	i.control.Stop()
	i.poller.Stop()
	i.follower.Stop()
	i.peers.Stop()
	i.mesh.Stop()
	i.journal.Stop()
	i.home.Stop()
	i.dispatcher.Stop()
	i.engines.Close()
	i.platform.Close()
	i.group.Stop()
}
