package jaysite_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystate"
)

// start starts a configured site that ends with the test.
func start(t *testing.T, change func(*jaysite.Plan)) (*jaysite.Site, context.Context) {
	t.Helper()
	plan := jaysite.DefaultPlan()
	plan.Fatal = func(rule string) { t.Error("invariant broken:", rule) }
	if change != nil {
		change(&plan)
	}
	site, err := jaysite.Start(plan, logger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	if _, err := site.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	return site, ctx
}

func account(name string) jaysite.Account {
	return jaysite.Account{Name: name, Key: name + "-key"}
}

func chat(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"assistant","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
}

func TestStreamUnderEngineFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		faults  jaystandin.EngineFaults
		counter jaymetric.Name
	}{
		"connection breaks": {jaystandin.EngineFaults{BreakAfter: 5}, jaymetric.StreamsResumed},
		"connection silent": {jaystandin.EngineFaults{MuteAfter: 5}, jaymetric.StreamsSilent},
		"events crossed":    {jaystandin.EngineFaults{Cross: true}, jaymetric.EventsDropped},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := start(t, func(p *jaysite.Plan) {
				p.Instances, p.Engines = 1, 1
				p.Adjust = func(s *jaysetting.Settings) { s.Limits.TokenTimeout = 300 * time.Millisecond }
			})
			site.Engines[0].SetFaults(test.faults)
			caller := site.Caller(account("shop-12"), "amman")
			got, err := caller.Stream(ctx, chat("are there inserts", 30), nil)
			if err != nil {
				t.Fatal(err)
			}
			if got.Text != jaystandin.Answer("are there inserts", 30) {
				t.Errorf("answer is not whole: %q", got.Text)
			}
			// Counted once the stream has ended, which the caller may see first.
			for site.Instances[0].Metrics().Value(test.counter) == 0 {
				if ctx.Err() != nil {
					t.Fatalf("counter %s is 0", test.counter)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestStreamGoesOnWhenItsInstanceIsKilled(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	caller := site.Caller(account("shop-12"), "amman")
	address, err := caller.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var kill sync.Once
	tokens := 0
	got, err := caller.Stream(ctx, chat("read my order back", 800), func(string) {
		if tokens++; tokens < 10 {
			return
		}
		kill.Do(func() {
			for _, instance := range site.Instances {
				if "http://"+instance.Addresses().Caller == address {
					go instance.Kill()
				}
			}
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if got.Resumes == 0 || got.Text != jaystandin.Answer("read my order back", 800) {
		t.Errorf("resumes = %d, tokens = %d", got.Resumes, got.Tokens)
	}
}

func TestCallerCannotResumeAnothersStream(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	shop, desk := site.Caller(account("shop-12"), ""), site.Caller(account("desk-3"), "")
	address, err := shop.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	body := chat("what did I order", 10)
	response, err := shop.Do(ctx, address, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	_ = response.Body.Close()
	id, isID := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: ")
	if err != nil || !isID {
		t.Fatalf("status = %d, first line = %q, error = %v, want the ID of an event", response.StatusCode, line, err)
	}
	tests := map[string]struct {
		caller *jayclient.Caller
		body   []byte
		status int
	}{
		"own":           {shop, body, http.StatusOK},
		"other caller":  {desk, body, http.StatusBadRequest},
		"other request": {shop, chat("something else", 10), http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response, err := test.caller.Do(ctx, address, http.MethodPost, "/v1/chat/completions", http.Header{"Last-Event-ID": {id}}, test.body)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != test.status {
				t.Errorf("status = %d, want %d", response.StatusCode, test.status)
			}
		})
	}
}

func TestCallerThatLeavesCancelsItsWork(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Engines = 1 })
	caller := site.Caller(account("shop-12"), "")
	short, cancel := context.WithCancel(ctx)
	_, err := caller.Stream(short, chat("a long answer", 4000), func(string) { cancel() })
	if err == nil {
		t.Fatal("stream ended although its caller left")
	}
	for site.Engines[0].Working() > 0 {
		if ctx.Err() != nil {
			t.Fatal("work goes on at the engine")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, cancelled := site.Engines[0].Served(); cancelled != 1 {
		t.Errorf("cancelled = %d, want 1", cancelled)
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Lifetime = 300 * time.Millisecond })
	caller := site.Caller(account("shop-12"), "amman")
	var wait, begun sync.WaitGroup
	for n := range 12 {
		begun.Add(1)
		first := sync.OnceFunc(begun.Done)
		wait.Go(func() {
			defer first()
			prompt := fmt.Sprintf("order %d", n)
			got, err := caller.Stream(ctx, chat(prompt, 200), func(string) { first() })
			if err != nil || got.Resumes > 0 || got.Text != jaystandin.Answer(prompt, 200) {
				t.Errorf("stream %d: resumes = %d, tokens = %d, error = %v", n, got.Resumes, got.Tokens, err)
			}
		})
	}
	begun.Wait()
	if err := site.Instances[0].Stop(ctx); err != nil {
		t.Error(err)
	}
	wait.Wait()
	answer, err := caller.Entries(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range answer.Entries {
		if entry.Name == "entry-1" {
			t.Error("stopped instance is still given to callers")
		}
	}
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()
	tests := map[string]func(t *testing.T, ctx context.Context, site *jaysite.Site){
		"own answer": func(_ *testing.T, _ context.Context, site *jaysite.Site) {
			site.Engines[0].SetFaults(jaystandin.EngineFaults{Leaving: true})
		},
		"platform's list": func(_ *testing.T, _ context.Context, site *jaysite.Site) {
			engine := site.Engines[0]
			site.Platform.List(jaylist.Instance{Name: engine.Name, Sort: jaylist.SortUpstream, Address: engine.Address, State: jaylist.StateLeaving})
		},
		"configuration": func(t *testing.T, ctx context.Context, site *jaysite.Site) {
			operator := site.Operator(1)
			text := strings.Replace(site.Document(), "address = "+site.Engines[0].Address+"\n", "address = "+site.Engines[0].Address+"\ndrain = yes\n", 1)
			if _, err := operator.Publish(ctx, "drain.ini", text, true); err != nil {
				t.Fatal(err)
			}
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := start(t, nil)
			leave(t, ctx, site)
			time.Sleep(1500 * time.Millisecond)
			before, _ := site.Engines[0].Served()
			caller := site.Caller(account("shop-12"), "amman")
			for n := range 20 {
				if _, err := caller.Stream(ctx, chat(fmt.Sprint("stock ", n), 4), nil); err != nil {
					t.Fatal(err)
				}
			}
			if after, _ := site.Engines[0].Served(); after != before {
				t.Errorf("leaving engine got %d requests", after-before)
			}
		})
	}
}

// The first stream goes on while a hedge for it begins: the two share nothing that changes.
func TestHedgedStreamIsWhole(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) {
		p.Instances, p.Engines = 1, 2
		p.Rates.Prefill = 100
	})
	caller := site.Caller(account("shop-12"), "amman")
	for n := range 8 {
		prompt := fmt.Sprintf("what is the stock of planner inserts of the shop number %d", n)
		got, err := caller.Stream(ctx, chat(prompt, 10), nil)
		if err != nil || got.Text != jaystandin.Answer(prompt, 10) {
			t.Fatalf("answer is not whole: %q, error = %v", got.Text, err)
		}
	}
	if site.Instances[0].Metrics().Value(jaymetric.Hedges) == 0 {
		t.Error("no stream was hedged")
	}
}

// An instance that has no work at a slowed engine hears of it from one that has.
func TestInstancesTellEachOtherOfSlowEngines(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) {
		p.Regions, p.Instances, p.Engines = p.Regions[:1], 2, 1
	})
	caller := jayclient.NewCaller("shop-12-key", "", "http://"+site.Instances[0].Addresses().Caller)
	address := "http://" + site.Instances[0].Addresses().Caller
	response, err := caller.Do(ctx, address, http.MethodPost, "/v1/chat/completions", nil, chat("the long list", 2000))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	site.Engines[0].SetFaults(jaystandin.EngineFaults{Slow: 50})
	for !slowAt(site.Instances[1].Dump(ctx)) {
		if ctx.Err() != nil {
			t.Fatal("the other instance has not received the report")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if site.Instances[1].Metrics().Value(jaymetric.SlowTold) > 0 {
		t.Error("an instance without work reported slowness")
	}
}

// slowAt reports whether an instance counts some upstream as slow.
func slowAt(dump jaystate.Dump) bool {
	for _, section := range dump.Sections {
		state, ok := section.State.(jaydispatch.Dump)
		if ok && slices.ContainsFunc(state.Upstreams, func(u jaydispatch.UpstreamState) bool { return u.Slow }) {
			return true
		}
	}
	return false
}
