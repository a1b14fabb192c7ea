package jaycall

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

// unreachableHome is an instance that cannot be reached, or that no instance knows. Another
// instance records the outcome at the attempt numbered recordAfter.
type unreachableHome struct {
	forwards, recordAfter int
	record                func()
	unknown               bool
}

func (h *unreachableHome) Known(string) bool { return !h.unknown }

func (h *unreachableHome) Forward(string, jayonce.Call) (jayonce.Outcome, error) {
	if h.forwards++; h.forwards == h.recordAfter {
		h.record()
	}
	return jayonce.Outcome{}, jayerror.New("forward", KindUpstream, "connection refused")
}

// Guards against a caller waiting out its timeout on an unreachable home although the
// outcome is already recorded on the instance that serves the caller.
func TestRecordedOutcomeReturnedWithoutHome(t *testing.T) {
	tests := map[string]struct {
		recordAfter, forwards int
	}{
		"outcome recorded before the call is returned without forwarding": {0, 0},
		"outcome recorded during forwarding is returned":                  {1, 1},
	}
	key := jayonce.Key{Caller: "shop-12", Key: "jt1.gone.1"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			homes := &unreachableHome{recordAfter: test.recordAfter}
			home := jayonce.NewHome(jayonce.NewIssuer("here", time.Now(), time.Minute), nil, nil, nil)
			defer home.Stop()
			homes.record = func() {
				home.AddOutcome(jayonce.KeyOutcome{Key: key, Outcome: jayonce.Outcome{Run: jayonce.RunDone, Status: 200}})
			}
			if test.recordAfter == 0 {
				homes.record()
			}
			log := slog.New(slog.DiscardHandler)
			frontend := NewFrontend(Options{Incarnation: "here", Home: home, Homes: homes, Metrics: jaymetric.NewSet(log), Log: log})
			outcome := frontend.callHome(context.Background(), "gone", jayonce.Call{Key: key, TimeLeft: time.Hour})
			if outcome.Run != jayonce.RunDone || homes.forwards != test.forwards {
				t.Errorf("run = %q after %d calls to the home, want done after %d", outcome.Run, homes.forwards, test.forwards)
			}
		})
	}
}

// Guards against an answer that reaches the caller after its timeout: a key whose home no
// instance knows was tried until 50 ms before it.
func TestUnknownHomeIsAnsweredInTime(t *testing.T) {
	tests := map[string]struct {
		timeLeft, longest time.Duration
	}{
		"half of a short timeout": {400 * time.Millisecond, 200 * time.Millisecond},
		"not all of a long one":   {time.Minute, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				home := jayonce.NewHome(jayonce.NewIssuer("here", time.Now(), time.Minute), nil, nil, nil)
				defer home.Stop()
				log := slog.New(slog.DiscardHandler)
				frontend := NewFrontend(Options{Incarnation: "here", Home: home, Homes: &unreachableHome{unknown: true}, Metrics: jaymetric.NewSet(log), Log: log})
				started := time.Now()
				outcome := frontend.callHome(t.Context(), "gone", jayonce.Call{Key: jayonce.Key{Caller: "shop-12", Key: "jt1.gone.1"}, TimeLeft: test.timeLeft})
				if took := time.Since(started); outcome.Run != jayonce.RunUnknown || took > test.longest {
					t.Errorf("run = %q after %s, want unknown after at most %s", outcome.Run, took, test.longest)
				}
			})
		})
	}
}
