package jaydispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayroute"
)

// newDispatcher returns the dispatcher of an instance with a quota of half of an
// engine's slots. The other half is in use by another instance.
func newDispatcher(t *testing.T, quota int) *jaydispatch.Dispatcher {
	t.Helper()
	const document = "[upstream e]\naddress = http://127.0.0.1:9000\nregion = r\nzone = z\nmodel = m\nslots = %d\n[route r]\nmodel = m\n"
	state, err := jayconfig.StateFromDocument("test", fmt.Sprintf(document, 2*quota))
	if err != nil {
		t.Fatal(err)
	}
	d := jaydispatch.New(jaydispatch.Options{Region: "r", Policy: jayroute.PolicyPredict, Limit: 100, Seed: 1})
	t.Cleanup(d.Stop)
	d.Configure(state)
	d.SetPeers(jaymember.Ranking{All: 2, Near: 2}, map[string]int{"e": quota})
	return d
}

// A slot is reserved for urgent work only while no urgent work waits. When normal
// work overtakes urgent work by its reserved share, it takes the slot; otherwise
// the slot would stay idle while both wait.
func TestNoSlotStaysIdleWhileUrgentWorkWaits(t *testing.T) {
	t.Parallel()
	const slots, urgent, normal = 3, 30, 6
	d := newDispatcher(t, slots)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	granted := make(chan jaydispatch.Grant, urgent+normal)
	priorities := make(chan jayconfig.Priority, urgent+normal)
	ask := func(priority jayconfig.Priority) {
		grant, err := d.Acquire(ctx, jaydispatch.Request{
			Pool: "route r", Caller: string(priority), Weight: 1, Priority: priority,
			Work: jayroute.Work{Prompt: 100, Output: 30, Urgent: priority == jayconfig.PriorityHigh},
		})
		if err == nil {
			priorities <- priority
			granted <- grant
		}
	}
	for range urgent {
		go ask(jayconfig.PriorityHigh)
	}
	running := make([]jaydispatch.Grant, 0, slots)
	for range slots {
		running = append(running, <-granted)
	}
	for range normal {
		go ask(jayconfig.PriorityNormal)
	}
	for waiting(ctx, t, d) < urgent+normal-slots {
		time.Sleep(time.Millisecond)
	}
	for range urgent + normal - slots {
		d.Release(running[0], jaydispatch.ResultDone, true, 30, 30*time.Millisecond)
		running = running[1:]
		select {
		case grant := <-granted:
			running = append(running, grant)
		case <-time.After(5 * time.Second):
			t.Fatal("slot stays idle while work waits")
		}
	}
	served := 0
	for range urgent {
		if <-priorities == jayconfig.PriorityNormal {
			served++
		}
	}
	if served < 2 {
		t.Errorf("normal work served = %d of the first %d, want its reserved share", served, urgent)
	}
}

// waiting returns the number of items in the dispatcher's queues.
func waiting(ctx context.Context, t *testing.T, d *jaydispatch.Dispatcher) int {
	t.Helper()
	dump, err := d.Dump(ctx)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, queue := range dump.Queues {
		total += queue.Waiting
	}
	return total
}
