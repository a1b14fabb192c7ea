package jaydaemon_test

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayfield.example/platform/jayplatformtest"
)

// memberTopic is the topic of the store that lists the instances.
const memberTopic = "keyed.jayfield-members"

// replacements are instances that are killed and replaced under other names and addresses, killed and restarted,
// frozen and stopped, while the store is away now and then.
type replacements struct {
	*soak
	work  sync.WaitGroup
	names []string
	count int
}

// Guards against entries of instances that are gone for good, and against instances that stay off the list. The
// environment selects the seeds and the length, as for TestSoak.
func TestSoakOfReplacements(t *testing.T) {
	first := soakSetting(t, "JAYFIELD_SOAK_SEED", 1)
	length := time.Duration(soakSetting(t, "JAYFIELD_SOAK_TIME", 8)) * time.Second
	for seed := first; seed < first+soakSetting(t, "JAYFIELD_SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &replacements{soak: newSoak(t, uint64(seed), 5*time.Millisecond)}
			for n := range r.edges {
				r.names = append(r.names, fmt.Sprint("edge-", n))
			}
			r.settle("at the start")
			r.run(t, length)
		})
	}
}

func (r *replacements) run(t *testing.T, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	for range 8 {
		r.work.Go(func() {
			for ctx.Err() == nil {
				r.call()
			}
		})
	}
	for ctx.Err() == nil {
		r.step()
		time.Sleep(time.Duration(50+r.random.IntN(500)) * time.Millisecond)
	}
	r.work.Wait()
	r.mend()
	r.settle("after all replacements")
	until(t, "a list of just the instances that live", func() bool { return slices.Equal(r.store.Keys(memberTopic), slices.Sorted(slices.Values(r.names))) })
	t.Logf("served %d, not served %d, %d replacements", r.served.Load(), r.failed.Load(), r.count)
	for len(r.broken) > 0 {
		t.Error(<-r.broken)
	}
}

// step does something to one instance or to the store; what it does overlaps.
func (r *replacements) step() {
	n := r.random.IntN(len(r.edges))
	e, pause := r.edges[n], time.Duration(100+r.random.IntN(3000))*time.Millisecond
	modes := []jayplatformtest.Mode{jayplatformtest.ModeBusy, jayplatformtest.ModeSilent, jayplatformtest.ModeLost, jayplatformtest.ModeUp}
	mode := modes[r.random.IntN(len(modes))]
	switch kind := r.random.IntN(8); kind {
	case 0, 1, 2:
		r.replace(n)
	case 3:
		r.restart(e, syscall.SIGKILL)
	case 4:
		r.work.Go(func() { r.restart(e, syscall.SIGTERM) })
	case 5:
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { e.signal(syscall.SIGCONT) })
	case 6:
		r.store.Treat(mode)
		time.AfterFunc(pause, func() { r.store.Treat(jayplatformtest.ModeUp) })
	default:
		r.store.Forget()
	}
}

// replace kills an instance for good and starts another one under a new name and at a new address for
// other instances.
func (r *replacements) replace(n int) {
	e := r.edges[n]
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Process.Signal(syscall.SIGKILL)
	_ = e.process.Wait()
	r.count++
	r.names[n] = fmt.Sprintf("edge-%d-%d", n, r.count)
	text, err := os.ReadFile(e.settings)
	if err != nil {
		r.t.Fatal(err)
	}
	text = regexp.MustCompile(`name = edge-.*`).ReplaceAll(text, []byte("name = "+r.names[n]))
	text = regexp.MustCompile(`peer = 127\.0\.0\.1:.*`).ReplaceAll(text, []byte("peer = "+freeAddress()))
	if err := os.WriteFile(e.settings, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.start(e)
}
