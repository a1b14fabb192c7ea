package jaytask

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Group is a part made of goroutines that end together.
type Group struct {
	tomb tomb.Tomb
	// starting is held while a goroutine is started or the part is told to stop,
	// since a tomb without goroutines may not start another.
	starting sync.Mutex
	ctx      context.Context //nolint:containedctx // It lives exactly as long as the tomb.
}

// NewGroup returns a part with no goroutine yet.
func NewGroup() *Group {
	g := &Group{}
	g.ctx = g.tomb.Context(context.Background())
	g.tomb.Go(func() error {
		<-g.tomb.Dying()
		return nil
	})
	return g
}

// Context returns a context that ends when the part is told to stop.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Done is closed when every goroutine of the part has ended.
func (g *Group) Done() <-chan struct{} {
	return g.tomb.Dead()
}

// Go starts a goroutine; a group that is stopping starts none.
func (g *Group) Go(run func(context.Context)) {
	g.starting.Lock()
	defer g.starting.Unlock()
	if !g.tomb.Alive() {
		return
	}
	g.tomb.Go(func() error {
		run(g.ctx)
		return nil
	})
}

// Every calls run at once and then each period until the part stops.
func (g *Group) Every(period time.Duration, run func(context.Context)) {
	g.Go(func(ctx context.Context) {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			run(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}

// Stop ends the part and waits for its goroutines.
func (g *Group) Stop() {
	g.starting.Lock()
	g.tomb.Kill(nil)
	g.starting.Unlock()
	<-g.tomb.Dead()
}
