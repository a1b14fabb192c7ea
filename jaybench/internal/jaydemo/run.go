package jaydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// Verdict is what the demonstration found of an answer.
type Verdict string

// Verdicts on answers.
const (
	VerdictWhole Verdict = "whole, own"
	VerdictWrong Verdict = "WRONG"
	VerdictError Verdict = "ERROR"
)

// Result is what one caller got.
type Result struct {
	Caller, Region, Request, Upstream string
	Tokens                            int
	First, Took                       time.Duration
	Verdict                           Verdict
}

// Plan returns the site of the demonstration.
func Plan() jaysite.Plan {
	plan := jaysite.DefaultPlan()
	plan.Callers = []jaysite.Account{
		{Name: "shop-12", Key: "shop-12-key", Fields: "labels = desk=order\n"},
		{Name: "desk-3", Key: "desk-3-key", Fields: "labels = desk=roof\n"},
		{Name: "clerk-7", Key: "clerk-7-key", Fields: "labels = desk=crew\nweight = 2\n"},
	}
	return plan
}

// Run sends all requests at once and returns the results in their order, with
// the number of those that failed.
func Run(ctx context.Context, site *jaysite.Site) ([]Result, int) {
	prompts := Prompts()
	results := make([]Result, len(prompts)+1)
	var wait sync.WaitGroup
	for n, prompt := range prompts {
		wait.Go(func() { results[n] = complete(ctx, site, prompt) })
	}
	wait.Go(func() { results[len(prompts)] = order(ctx, site) })
	wait.Wait()
	failed := 0
	for _, r := range results {
		if r.Verdict != VerdictWhole {
			failed++
		}
	}
	return results, failed
}

func client(site *jaysite.Site, name, region string) *jayclient.Caller {
	return site.Caller(jaysite.Account{Name: name, Key: name + "-key"}, region)
}

func complete(ctx context.Context, site *jaysite.Site, p Prompt) Result {
	caller := client(site, p.Caller, p.Region)
	defer caller.Close()
	result := Result{Caller: p.Caller, Region: p.Region, Request: p.Title, Verdict: VerdictError}
	text, err := json.Marshal(p.Text)
	if err != nil {
		return result
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, jaysite.Model, p.Tokens, text)
	got, err := caller.Stream(ctx, []byte(body), nil)
	if err != nil {
		result.Upstream = err.Error()
		return result
	}
	result.Upstream = got.Upstreams[len(got.Upstreams)-1]
	result.Tokens, result.First, result.Took = got.Tokens, got.First, got.Took
	result.Verdict = VerdictWrong
	if got.Text == jaystandin.Answer(p.Text, p.Tokens) {
		result.Verdict = VerdictWhole
	}
	return result
}

// order places one order and checks that it ran once and that the receipt is its own.
func order(ctx context.Context, site *jaysite.Site) Result {
	const id = "madaba-2041"
	caller := client(site, "shop-12", "amman")
	defer caller.Close()
	result := Result{Caller: "shop-12", Region: "amman", Request: "order " + id, Verdict: VerdictError}
	started := time.Now()
	answer, err := caller.Order(ctx, jaysite.Service, "/place", []byte(`{"order":"`+id+`","item":"insert-a5-2027","count":12}`))
	if err != nil {
		result.Upstream = err.Error()
		return result
	}
	result.Took = time.Since(started)
	runs := 0
	for _, service := range site.Services {
		runs += service.Runs(id)
	}
	result.Upstream = fmt.Sprintf("receipt %d", gjson.GetBytes(answer.Body, "number").Int())
	result.Verdict = VerdictWrong
	if runs == 1 && gjson.GetBytes(answer.Body, "order").String() == id {
		result.Verdict = VerdictWhole
	}
	return result
}
