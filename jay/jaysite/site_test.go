package jaysite_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

func TestWholePath(t *testing.T) {
	t.Parallel()
	plan := jaysite.DefaultPlan()
	plan.Fatal = func(rule string) { t.Error("invariant broken:", rule) }
	site, err := jaysite.Start(plan, logger())
	if err != nil {
		t.Fatal(err)
	}
	defer site.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := site.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	caller := site.Caller(plan.Callers[0], "irbid")
	for n := range 6 {
		prompt := fmt.Sprintf("what is the stock of planner inserts number %d", n)
		body := fmt.Sprintf(`{"model":"assistant","stream":true,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, prompt)
		got, err := caller.Stream(ctx, []byte(body), nil)
		if err != nil {
			t.Fatal(err)
		}
		if want := jaystandin.Answer(prompt, 20); got.Text != want {
			t.Errorf("answer = %q, want %q", got.Text, want)
		}
	}
	answer, err := caller.Order(ctx, jaysite.Service, "/place", []byte(`{"order":"o-1"}`))
	if err != nil {
		t.Fatal(err)
	}
	if runs := site.Services[0].Runs("o-1"); runs != 1 || answer.Status != 200 {
		t.Errorf("order ran %d times, status %d", runs, answer.Status)
	}
}
