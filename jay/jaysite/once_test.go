package jaysite_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// place sends an order under a key to one instance and returns the status and what the answer says of the run.
func place(t *testing.T, ctx context.Context, caller *jayclient.Caller, address, key, order string) (int, string) {
	t.Helper()
	return placeAt(t, ctx, caller, address, "orders", key, order)
}

func placeAt(t *testing.T, ctx context.Context, caller *jayclient.Caller, address, service, key, order string) (int, string) {
	t.Helper()
	header := http.Header{}
	if key != "" {
		header.Set(jaycall.HeaderKey, key)
	}
	response, err := caller.Do(ctx, address, http.MethodPost, "/services/"+service+"/place", header, fmt.Appendf(nil, `{"order":%q}`, order))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	run := response.Header.Get(jaycall.HeaderRun)
	if run == "unknown" {
		reason, _ := io.ReadAll(response.Body)
		t.Logf("%s at %s: %s", order, address, reason)
	}
	return response.StatusCode, run
}

func TestOrderRunsOnce(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	caller := site.Caller(account("shop-12"), "")
	entries, err := caller.Entries(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	for _, instance := range site.Instances {
		for range 4 {
			wait.Go(func() {
				status, run := place(t, ctx, caller, "http://"+instance.Addresses().Caller, entries.Ticket, "o-1")
				if status != http.StatusOK || run != "done" {
					t.Errorf("status = %d, run = %q", status, run)
				}
			})
		}
	}
	wait.Wait()
	if runs := site.Services[0].Runs("o-1"); runs != 1 {
		t.Errorf("order ran %d times", runs)
	}
}

func TestOrderRefused(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	shop, desk := site.Caller(account("shop-12"), ""), site.Caller(account("desk-3"), "")
	entries, err := shop.Entries(ctx)
	if err != nil {
		t.Fatal(err)
	}
	address := "http://" + site.Instances[0].Addresses().Caller
	tests := map[string]struct {
		caller *jayclient.Caller
		key    string
		status int
		run    string
	}{
		"no key":          {shop, "", http.StatusPreconditionRequired, "not-run"},
		"own key":         {shop, "my-order-1", http.StatusPreconditionRequired, "not-run"},
		"ticket of other": {desk, entries.Ticket, http.StatusServiceUnavailable, "not-run"},
		"forged":          {shop, entries.Ticket[:len(entries.Ticket)-4] + "AAAA", http.StatusServiceUnavailable, "not-run"},
		"unknown home":    {shop, "jt1.gone.AAAA.AAAA", http.StatusGatewayTimeout, "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			status, run := place(t, short, test.caller, address, test.key, name)
			if status != test.status || run != test.run {
				t.Errorf("status = %d, run = %q, want %d, %q", status, run, test.status, test.run)
			}
			if runs := site.Services[0].Runs(name); runs != 0 {
				t.Errorf("refused order ran %d times", runs)
			}
		})
	}
}

// A connection that breaks after the service has read an order must not make
// the transport send it again.
func TestBrokenOrderIsNotSentAgain(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	site.Services[0].SetFaults(jaystandin.ServiceFaults{BreakAfterRun: 1})
	caller := site.Caller(account("shop-12"), "")
	entries, err := caller.Entries(ctx)
	if err != nil {
		t.Fatal(err)
	}
	address := "http://" + site.Instances[0].Addresses().Caller
	for range 3 {
		if status, run := place(t, ctx, caller, address, entries.Ticket, "o-2"); run != "unknown" {
			t.Errorf("status = %d, run = %q", status, run)
		}
	}
	if runs := site.Services[0].Runs("o-2"); runs != 1 {
		t.Errorf("order ran %d times", runs)
	}
}

func TestOrderOfAKilledHomeIsUnknown(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	site.Services[0].SetFaults(jaystandin.ServiceFaults{Delay: 2 * time.Second})
	caller := site.Caller(account("shop-12"), "")
	response, err := caller.Do(ctx, "http://"+site.Instances[0].Addresses().Caller, http.MethodPost, "/services/orders/place", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	ticket := response.Header.Get(jaycall.HeaderTicket)
	go func() {
		for site.Services[0].Begun() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		site.Instances[0].Kill()
	}()
	short, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	_, run := place(t, short, caller, "http://"+site.Instances[1].Addresses().Caller, ticket, "o-3")
	if run != "unknown" {
		t.Errorf("run = %q, want unknown", run)
	}
	for site.Services[0].Total() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if runs := site.Services[0].Runs("o-3"); runs != 1 {
		t.Errorf("order ran %d times", runs)
	}
}

func TestOutcomesOutliveAPlannedStop(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Lifetime = 0 })
	caller := site.Caller(account("shop-12"), "")
	first := "http://" + site.Instances[0].Addresses().Caller
	response, err := caller.Do(ctx, first, http.MethodPost, "/services/orders/place", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	ticket := response.Header.Get(jaycall.HeaderTicket)
	if _, run := place(t, ctx, caller, first, ticket, "o-4"); run != "done" {
		t.Fatalf("run = %q", run)
	}
	if err := site.Instances[0].Stop(ctx); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, instance := range site.Instances[1:] {
		if _, run := place(t, short, caller, "http://"+instance.Addresses().Caller, ticket, "o-4"); run != "done" {
			t.Errorf("run = %q after the home's planned stop, want done", run)
		}
	}
}

// An order whose time ran out in the queue must not be sent afterwards.
func TestOrderIsNotSentAfterItsTime(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) {
		p.Instances = 1
		p.Extra = "" // One service upstream with 64 slots.
	})
	site.Services[0].SetFaults(jaystandin.ServiceFaults{Delay: 2 * time.Second})
	caller := site.Caller(account("shop-12"), "")
	var wait sync.WaitGroup
	for n := range 64 {
		wait.Go(func() {
			_, _ = caller.Order(ctx, jaysite.Service, "/place", fmt.Appendf(nil, `{"order":"fill-%d"}`, n))
		})
	}
	for site.Services[0].Begun() < 64 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	_, err := caller.Order(short, jaysite.Service, "/place", []byte(`{"order":"late"}`))
	if err == nil {
		t.Error("order was confirmed after its time")
	}
	wait.Wait()
	time.Sleep(200 * time.Millisecond)
	if runs := site.Services[0].Runs("late"); runs != 0 {
		t.Errorf("late order ran %d times, error was %v, not-run %t", runs, err, jayerror.Is(err, jayclient.KindNotRun))
	}
}
