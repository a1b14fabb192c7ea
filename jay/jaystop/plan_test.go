package jaystop_test

import (
	"testing"
	"time"

	"jayfield.example/jay/jaystop"
)

// Guards against requests that are taken so late in a planned stop that they are cut off at its end,
// and against requests that are refused although they would end in time.
func TestAdmits(t *testing.T) {
	const grace, lifetime = 8 * time.Second, time.Second
	tests := map[string]struct {
		at, timeout        time.Duration
		repeatable, others bool
		want               bool
	}{
		"work that ends in time":                         {5 * time.Second, 2 * time.Second, false, true, true},
		"work that ends in time, last moment":            {7 * time.Second, 100 * time.Millisecond, false, false, true},
		"work that may outlast the grace period":         {5 * time.Second, 3 * time.Second, true, true, false},
		"long work while callers cache the address":      {2 * time.Second, 6 * time.Second, true, true, true},
		"long work that may run once":                    {2 * time.Second, 6 * time.Second, false, true, false},
		"long work that may run once, no other instance": {2 * time.Second, 6 * time.Second, false, false, true},
		"long work once callers know better":             {3 * time.Second, 6 * time.Second, true, true, false},
		"long work, no other instance":                   {4 * time.Second, 6 * time.Second, false, false, false},
		"after the end":                                  {7400 * time.Millisecond, time.Millisecond, true, true, false},
	}
	began := time.Unix(1000, 0)
	plan := jaystop.NewPlan(began, grace, lifetime)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := began.Add(test.at)
			request := jaystop.Request{Deadline: now.Add(test.timeout), Repeatable: test.repeatable}
			if got := plan.Admits(now, request, test.others); got != test.want {
				t.Errorf("admits = %v, want %v", got, test.want)
			}
		})
	}
	if request := (jaystop.Request{Deadline: began.Add(time.Hour)}); !(jaystop.Plan{}).Admits(began, request, true) {
		t.Error("an instance that is not stopping refuses a request")
	}
}

// Guards against phases of a stop that are out of order or longer than the grace period, whatever the settings.
func TestPhasesAreInOrder(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		for _, lifetime := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
			p := jaystop.NewPlan(began, grace, lifetime)
			if p.Closed().Before(began) || p.Closed().After(p.End()) || p.Deadline().After(p.End()) || !p.End().Before(began.Add(grace)) {
				t.Errorf("grace %s, lifetime %s: closed %s, deadline %s, end %s", grace, lifetime, p.Closed().Sub(began), p.Deadline().Sub(began), p.End().Sub(began))
			}
		}
	}
}

// Guards against a time to come back that is too early where a whole site leaves, and too late where
// another instance takes the request.
func TestRetryAfter(t *testing.T) {
	began := time.Unix(1000, 0)
	plan := jaystop.NewPlan(began, 8*time.Second, time.Second)
	if got := plan.RetryAfter(began.Add(5*time.Second), true); got > 100*time.Millisecond {
		t.Errorf("retry after %s although another instance takes requests", got)
	}
	if got := plan.RetryAfter(began.Add(5*time.Second), false); got != 3*time.Second {
		t.Errorf("retry after %s, want the rest of the grace period", got)
	}
}

// Guards against requests that are cut off before the last sixth of the grace period, in which the service
// requirements allow it.
func TestRequestsInProgressKeepFiveSixthsOfGrace(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{4 * time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		if at := jaystop.NewPlan(began, grace, time.Second).Deadline().Sub(began); at < grace*5/6 {
			t.Errorf("grace %s: requests in progress end after %s", grace, at)
		}
	}
}
