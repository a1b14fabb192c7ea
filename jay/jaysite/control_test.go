package jaysite_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayinstance"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// oneZone is a site whose engines and instances share a zone, with short leases.
func oneZone(checks bool) func(*jaysite.Plan) {
	return func(p *jaysite.Plan) {
		p.Regions, p.Instances, p.Engines = []string{"amman"}, 2, 2
		p.Adjust = func(s *jaysetting.Settings) { s.Lease, s.Margin = 4*time.Second, 500*time.Millisecond }
		p.Engine = func(int) []jaystandin.EngineOption {
			if checks {
				return []jaystandin.EngineOption{jaystandin.WithFence()}
			}
			return nil
		}
	}
}

// setRole publishes a role for the first engine.
func setRole(t *testing.T, ctx context.Context, site *jaysite.Site, instance int, role string) {
	t.Helper()
	operator := site.Operator(instance)
	defer operator.Close()
	address := "address = " + site.Engines[0].Address + "\n"
	text := strings.Replace(site.Document(), address, address+"role = "+role+"\n", 1)
	if _, err := operator.Publish(ctx, "role.ini", text, true); err != nil {
		t.Fatal(err)
	}
}

// awaitOrders waits until the first engine has carried out a number of role orders.
func awaitOrders(t *testing.T, ctx context.Context, site *jaysite.Site, count int) []jayengine.Order {
	t.Helper()
	for {
		orders := site.Engines[0].Orders()
		if len(orders) >= count && !site.Engines[0].Busy() {
			return orders
		}
		if ctx.Err() != nil {
			t.Fatalf("engine got %d orders, want %d", len(orders), count)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// holder returns the instance that took the lease.
func holder(site *jaysite.Site) *jayinstance.Instance {
	for _, instance := range site.Instances {
		m := instance.Metrics()
		if m.Value(jaymetric.LeaseHeld) > m.Value(jaymetric.LeaseLost) {
			return instance
		}
	}
	return nil
}

func TestRoleChangeCutsNothing(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, oneZone(true))
	setRole(t, ctx, site, 0, "prefill")
	done := make(chan struct{})
	go func() {
		defer close(done)
		awaitOrders(t, ctx, site, 1)
	}()
	caller := site.Caller(account("shop-12"), "amman")
	for n := 0; ; n++ {
		prompt := "question " + strings.Repeat("x", n%7)
		got, err := caller.Stream(ctx, chat(prompt, 60), nil)
		if err != nil || got.Resumes > 0 || got.Text != jaystandin.Answer(prompt, 60) {
			t.Fatalf("stream %d: resumes = %d, error = %v", n, got.Resumes, err)
		}
		select {
		case <-done:
			if cut := site.Engines[0].Cut(); cut != 0 {
				t.Errorf("role change cut %d requests", cut)
			}
			return
		default:
		}
	}
}

func TestSuccessorOrdersAfterItsPredecessorIsGone(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		checks bool
		// unlist takes the killed holder off the platform's list.
		unlist bool
		orders int
	}{
		"engine checks":                           {checks: true, orders: 2},
		"engine ignores, predecessor off list":    {unlist: true, orders: 2},
		"engine ignores, predecessor maybe alive": {orders: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := start(t, oneZone(test.checks))
			setRole(t, ctx, site, 0, "prefill")
			awaitOrders(t, ctx, site, 1)
			awaitEnginesWithOrders(t, ctx, site, 0)
			first := holder(site)
			if first == nil {
				t.Fatal("no holder")
			}
			survivor := 0
			if site.Instances[0] == first {
				survivor = 1
			}
			site.Engines[0].SetFaults(jaystandin.EngineFaults{Working: true})
			setRole(t, ctx, site, survivor, "decode")
			awaitEnginesWithOrders(t, ctx, site, 1)
			first.Kill()
			if test.unlist {
				site.Platform.Unlist(first.Name())
			}
			site.Engines[0].SetFaults(jaystandin.EngineFaults{})
			if test.orders == 1 {
				time.Sleep(12 * time.Second)
				if orders := site.Engines[0].Orders(); len(orders) != 1 {
					t.Errorf("engine that ignores fencing numbers got %d orders", len(orders))
				}
				return
			}
			orders := awaitOrders(t, ctx, site, test.orders)
			if last := orders[len(orders)-1]; last.Value != "decode" {
				t.Errorf("last order is %+v", last)
			}
		})
	}
}

// awaitEnginesWithOrders waits until every instance knows of a number of orders that are not settled.
func awaitEnginesWithOrders(t *testing.T, ctx context.Context, site *jaysite.Site, count int) {
	t.Helper()
	for _, instance := range site.Instances {
		for len(instance.EnginesWithOrders(ctx)) != count {
			if ctx.Err() != nil {
				t.Fatalf("instance does not know of %d orders", count)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestEngineCrashInOrderIsSettled(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, oneZone(true))
	site.Engines[0].SetFaults(jaystandin.EngineFaults{CrashInOrder: true})
	setRole(t, ctx, site, 0, "prefill")
	orders := awaitOrders(t, ctx, site, 2)
	if orders[0].ID == orders[1].ID || orders[1].Fence <= orders[0].Fence {
		t.Errorf("orders = %+v", orders)
	}
}
