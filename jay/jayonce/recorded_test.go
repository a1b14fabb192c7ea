package jayonce_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"jayfield.example/jay/jayonce"
)

// Guards against the first part of a large body that another instance answers as the whole one.
func TestLargeBodyIsNotRecordedInPart(t *testing.T) {
	tests := map[string]struct {
		size int
		run  jayonce.Run
	}{
		"small": {4 << 10, jayonce.RunDone},
		"large": {4<<10 + 1, jayonce.RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			outcome := jayonce.Outcome{Run: jayonce.RunDone, Status: 200, Body: make([]byte, test.size)}
			got := jayonce.KeyOutcome{Outcome: outcome}.Recorded().Outcome
			if got.Run != test.run || got.Run == jayonce.RunDone && len(got.Body) != test.size || got.Run != jayonce.RunDone && (len(got.Body) > 0 || !strings.Contains(got.Reason, "status 200")) {
				t.Errorf("outcome = %s with a body of %d bytes, %q; want %s", got.Run, len(got.Body), got.Reason, test.run)
			}
		})
	}
}

// Guards against a home that stops and answers that it is full.
func TestStoppedHomeSaysSo(t *testing.T) {
	home := jayonce.NewHome(jayonce.NewIssuer("here", time.Now(), time.Minute), nil, nil, nil)
	home.Stop()
	outcome := home.Do(context.Background(), jayonce.Call{Key: jayonce.Key{Caller: "c", Key: "k"}, TimeLeft: time.Second})
	if outcome.Run != jayonce.RunUnknown || outcome.Reason != "home stops" {
		t.Errorf("outcome = %+v, want unknown, home stops", outcome)
	}
}
