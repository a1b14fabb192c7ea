package jayroster_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
)

// restartableZone is a zone of instances that follow the registry, each of which may restart.
type restartableZone struct {
	network  *jaystandin.Network
	registry *registry
	list     []jaystore.Record
	running  []*runningInstance
	// ordinals number the incarnations, which decide who is the watcher.
	ordinals *rand.Rand
}

type runningInstance struct {
	*registryInstance
	cancel  context.CancelFunc
	stopped chan struct{}
	started time.Time
}

func newRestartableZone(ctx context.Context, count int, seed uint64) *restartableZone {
	z := &restartableZone{network: jaystandin.NewNetwork(), registry: &registry{}, ordinals: rand.New(rand.NewPCG(seed, 2)), running: make([]*runningInstance, count)}
	for n := range count {
		z.start(ctx, n)
	}
	return z
}

// start starts the instance with a number under a new incarnation, and lists it.
func (z *restartableZone) start(ctx context.Context, n int) {
	i := &runningInstance{
		registryInstance: newRegistryInstance(z.network.Host(peerAddress(n), fastLink)), stopped: make(chan struct{}), started: time.Now(),
	}
	ctx, i.cancel = context.WithCancel(ctx)
	var record jaystore.Record
	i.roster, record = startIncarnation(n, fmt.Sprintf("%08x", z.ordinals.Uint32()), i.host, i.host.Listen(), i, z.registry, func([]jaymember.Status, int) {})
	z.list = append(z.list, record)
	z.running[n] = i
	for _, other := range z.running {
		if other != nil {
			other.roster.Replace(ctx, z.list, jaystore.Position(len(z.list)))
		}
	}
	mirror := jaystore.NewMirror(i)
	reader := i.roster.TopicReader(z.registry, jaystore.TopicUpstreams, mirror, 6*drainTime/10, 36*drainTime/100)
	follower := jaystore.NewFollower(reader, jaystore.TopicUpstreams, mirror, 10*time.Millisecond, slog.New(slog.DiscardHandler))
	go func() {
		defer close(i.stopped)
		follower.Run(ctx)
	}()
}

// kill ends an instance without notice.
func (z *restartableZone) kill(n int) {
	i := z.running[n]
	i.cancel()
	<-i.stopped
	i.roster.Stop()
}

// Guards against an instance that never learns of a removal from the registry, since it reads the registry from
// another one that has started after the removal: a snapshot does not contain what was removed before it.
func TestRemovalIsNotLostAroundRestart(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			source := rand.New(rand.NewPCG(seed, 1))
			z := newRestartableZone(t.Context(), 3, seed)
			defer func() {
				for n := range z.running {
					z.kill(n)
				}
				z.network.Close()
			}()
			time.Sleep(5 * time.Second)
			for n := range 8 {
				id, restarted := fmt.Sprint("upstream-", n), n%len(z.running)
				z.registry.put(id)
				time.Sleep(3 * time.Second)
				z.kill(restarted)
				time.Sleep(time.Duration(source.Int64N(int64(500 * time.Millisecond))))
				removedAt := time.Now()
				z.registry.remove(id)
				time.Sleep(time.Duration(source.Int64N(int64(500 * time.Millisecond))))
				z.start(t.Context(), restarted)
				time.Sleep(3 * time.Second)
				for m, i := range z.running {
					at, ok := i.removal(id)
					if took := at.Sub(removedAt); i.started.Before(removedAt) && (!ok || took > drainTime) {
						t.Errorf("seed %d: instance %d applied the removal of %s after %s (applied: %v), want at most %s", seed, m, id, took, ok, drainTime)
					}
				}
			}
		})
	}
}
