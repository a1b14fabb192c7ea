package jaycall

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

// unreachableHome is an instance that cannot be reached. Another instance records
// the outcome at the attempt numbered recordAfter.
type unreachableHome struct {
	forwards, recordAfter int
	record                func()
}

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
