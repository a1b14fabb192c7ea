package jaysite_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// prompt returns a prompt that is long enough to be prefilled on another engine.
func prompt(n int) string {
	text := fmt.Sprintf("drawing %d: ", n)
	for len(text) < 4000 {
		text += fmt.Sprintf("guard at field %d, pitch 38; ", len(text))
	}
	return text
}

// ask asks for answers side by side and reports any that is not whole.
func ask(t *testing.T, ctx context.Context, site *jaysite.Site, from, count int) {
	t.Helper()
	caller := site.Caller(account("shop-12"), "amman")
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() {
			text := prompt(from + n)
			got, err := caller.Stream(ctx, chat(text, 20), nil)
			if err != nil || got.Text != jaystandin.Answer(text, 20) {
				t.Errorf("answer is not whole: %d tokens, error = %v", got.Tokens, err)
			}
		})
	}
	wait.Wait()
}

// total sums a counter over all instances.
func total(site *jaysite.Site, name jaymetric.Name) int64 {
	sum := int64(0)
	for _, instance := range site.Instances {
		sum += instance.Metrics().Value(name)
	}
	return sum
}

func TestPromptsArePrefilledOnAnotherEngine(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, oneZone(false))
	setRole(t, ctx, site, 0, "prefill")
	awaitOrders(t, ctx, site, 1)
	awaitEnginesWithOrders(t, ctx, site, 0)
	deadline := time.Now().Add(time.Minute)
	for n := 0; total(site, jaymetric.Prefills) == 0 && time.Now().Before(deadline); n += 8 {
		ask(t, ctx, site, n, 8)
	}
	if total(site, jaymetric.Prefills) == 0 {
		t.Fatal("no prompt was prefilled on another engine")
	}
	site.Engines[0].SetFaults(jaystandin.EngineFaults{Leaving: true})
	ask(t, ctx, site, 10_000, 8)
}

func TestPlanChangesRolesUnderLoad(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) {
		oneZone(false)(p)
		p.Extra = "[plan assistant]\nmodel = assistant\nmixed = 1/1000000\nprefill = 2/0\ndecode = 1/1000000\nstay = 1s\ncost = 1s\n"
	})
	deadline := time.Now().Add(time.Minute)
	changed := func() bool {
		for _, engine := range site.Engines {
			if len(engine.Orders()) > 0 && !engine.Busy() {
				return true
			}
		}
		return false
	}
	for n := 0; !changed() && time.Now().Before(deadline); n += 8 {
		ask(t, ctx, site, n, 8)
	}
	if !changed() {
		t.Fatal("no role was changed")
	}
	for _, engine := range site.Engines {
		if cut := engine.Cut(); cut > 0 {
			t.Errorf("%s: %d requests were cut", engine.Name, cut)
		}
	}
}
