package jaysite_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// traffic sends requests until it is stopped, and reports any answer that is not whole.
func traffic(t *testing.T, ctx context.Context, site *jaysite.Site) (stop func() int) {
	t.Helper()
	done := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for worker := range 4 {
		caller := site.Caller(account("shop-12"), "amman")
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				prompt := fmt.Sprintf("question %d of %d", n, worker)
				got, err := caller.Stream(ctx, chat(prompt, 20), nil)
				if err != nil || got.Text != jaystandin.Answer(prompt, 20) {
					t.Errorf("answer is not whole: %d tokens, error = %v", got.Tokens, err)
					return
				}
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	return func() int {
		close(done)
		wait.Wait()
		return served
	}
}

// kiosk publishes one more caller and returns the offset.
func kiosk(t *testing.T, ctx context.Context, site *jaysite.Site, name string) int64 {
	t.Helper()
	operator := site.Operator(0)
	defer operator.Close()
	text := fmt.Sprintf("[caller %s]\nkey = sha256:%s\n", name, strings.Repeat("0", 64))
	report, err := operator.Publish(ctx, "kiosk.ini", text, true)
	if err != nil || report.Verdict.Outcome != "accepted" {
		t.Fatalf("publish: %+v, error = %v", report, err)
	}
	return report.Verdict.Offset
}

func TestInstancesReplacedOneByOne(t *testing.T) {
	t.Parallel()
	tests := map[string]bool{"log up": false, "log down": true}
	for name, down := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := start(t, func(p *jaysite.Plan) { p.Lifetime = 100 * time.Millisecond })
			stop := traffic(t, ctx, site)
			offset := kiosk(t, ctx, site, "kiosk")
			if err := site.Await(ctx, offset); err != nil {
				t.Fatal(err)
			}
			site.Platform.SetFaults(jaystandin.Faults{LogDown: down})
			for n := range 3 {
				added, err := site.AddInstance()
				if err != nil {
					t.Fatal(err)
				}
				for added.ConfigPosition() <= offset {
					if ctx.Err() != nil {
						t.Fatal("new instance has no configuration")
					}
					time.Sleep(10 * time.Millisecond)
				}
				if err := site.Instances[n].Stop(ctx); err != nil {
					t.Error(err)
				}
			}
			if served := stop(); served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		checkpoint bool
		expire     bool
		known      bool
	}{
		"log whole":                      {known: true},
		"log expired after a checkpoint": {checkpoint: true, expire: true, known: true},
		"log expired without checkpoint": {expire: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := start(t, func(p *jaysite.Plan) {
				if test.checkpoint {
					p.Adjust = func(s *jaysetting.Settings) { s.Checkpoint = 3 }
				}
			})
			var offset int64
			for n := range 5 {
				offset = kiosk(t, ctx, site, fmt.Sprintf("kiosk-%d", n))
			}
			if err := site.Await(ctx, offset); err != nil {
				t.Fatal(err)
			}
			expired := offset + 1
			if test.checkpoint {
				expired = awaitCheckpoint(t, ctx, site)
			}
			for _, instance := range site.Instances {
				instance.Kill()
			}
			if test.expire {
				site.Platform.Expire(jaylog.StreamConfig, expired)
			}
			added, err := site.AddInstance()
			if err != nil {
				t.Fatal(err)
			}
			if !test.known {
				time.Sleep(time.Second)
				if added.ConfigPosition() >= 0 {
					t.Errorf("instance made up a configuration at %d", added.ConfigPosition())
				}
				return
			}
			for added.ConfigPosition() <= offset {
				if ctx.Err() != nil {
					t.Fatalf("new instance is at %d, want above %d", added.ConfigPosition(), offset)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// The configuration may arrive at once; whatever it sets in motion must be ready by then.
func TestInstancesStartWhileConfigurationArrives(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Instances = 1 })
	for range 20 {
		if _, err := site.AddInstance(); err != nil {
			t.Fatal(err)
		}
	}
	if err := site.Await(ctx, 0); err != nil {
		t.Fatal(err)
	}
}

// awaitCheckpoint returns the offset of the newest checkpoint. A log may
// expire what is before it, but not the checkpoint: another is due by then.
func awaitCheckpoint(t *testing.T, ctx context.Context, site *jaysite.Site) int64 {
	t.Helper()
	client := jaylog.NewClient(site.Address)
	defer client.Close()
	for ctx.Err() == nil {
		batch, err := client.Read(ctx, jaylog.StreamConfig, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range slices.Backward(batch.Entries) {
			if entry.Record.Kind == jayconfig.RecordCheckpoint {
				return entry.Offset
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no checkpoint was written")
	return 0
}

func TestTwoOperatorsPublishAtOnce(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	kiosk(t, ctx, site, "kiosk")
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for n := range 6 {
		wait.Go(func() {
			operator := site.Operator(n % 3)
			defer operator.Close()
			text := fmt.Sprintf("[caller kiosk]\nversion = 2\nkey = sha256:%064d\n", n)
			report, err := operator.Publish(ctx, "race.ini", text, false)
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[string(report.Verdict.Outcome)]++
		})
	}
	wait.Wait()
	if outcomes["accepted"] != 1 || outcomes["conflict"] != 5 {
		t.Errorf("outcomes = %v", outcomes)
	}
}

func TestPublishWhoseReplyIsLostCountsOnce(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	site.Platform.SetFaults(jaystandin.Faults{LoseReplies: 1})
	offset := kiosk(t, ctx, site, "kiosk")
	operator := site.Operator(0)
	defer operator.Close()
	verdicts, err := operator.History(ctx)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, v := range verdicts {
		if v.Offset >= offset {
			count++
		}
	}
	if count != 1 {
		t.Errorf("publish stands %d times in the history", count)
	}
}

func TestKeyWithoutTicketRunsOnce(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Extra = "[service free]\nselector = app=orders\nonce = yes\nintent = yes\n" })
	caller := site.Caller(account("shop-12"), "")
	var wait sync.WaitGroup
	for _, instance := range site.Instances {
		for range 3 {
			wait.Go(func() {
				if _, run := placeAt(t, ctx, caller, "http://"+instance.Addresses().Caller, "free", "my-own-key", "o-9"); run != "done" {
					t.Errorf("run = %q", run)
				}
			})
		}
	}
	wait.Wait()
	if runs := site.Services[0].Runs("o-9"); runs != 1 {
		t.Errorf("order ran %d times", runs)
	}
	site.Platform.SetFaults(jaystandin.Faults{LogDown: true})
	short, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if _, run := placeAt(t, short, caller, "http://"+site.Instances[0].Addresses().Caller, "free", "another-key", "o-10"); run != "unknown" {
		t.Errorf("run = %q with the log down, want unknown", run)
	}
}
