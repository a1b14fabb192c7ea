package jayonce_test

import (
	"context"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jayonce"
)

// doneWorker completes any work immediately.
type doneWorker struct{}

func (doneWorker) Work(_ context.Context, _ jayonce.Call, gate jayonce.Gate) jayonce.Outcome {
	if !gate.MarkSent() {
		return jayonce.Outcome{Run: jayonce.RunNot}
	}
	return jayonce.Outcome{Run: jayonce.RunDone}
}

// Guards against a home that answers for a key before it has read the key's intent. The instance that forwards
// the key may have read further in the log than the home.
func TestHomeWaitsForTheIntentThatMakesItTheHome(t *testing.T) {
	t.Parallel()
	issuer := jayonce.NewIssuer("i-1", time.Now(), ticketLifetime)
	home := jayonce.NewHome(issuer, doneWorker{}, func(jayonce.KeyOutcome) {}, func(invariant string) { t.Error("invariant broken:", invariant) })
	t.Cleanup(home.Stop)
	key := jayonce.Key{Caller: "shop-12", Key: "my-own-key"}
	outcome := make(chan jayonce.Outcome)
	go func() {
		outcome <- home.Do(context.Background(), jayonce.Call{Key: key, Intent: true, TimeLeft: time.Minute})
	}()
	select {
	case early := <-outcome:
		t.Fatalf("run = %q before the intent was read", early.Run)
	case <-time.After(50 * time.Millisecond):
	}
	body, err := msgpack.Marshal([]jayonce.Intent{{Key: key, Home: "i-1"}})
	if err != nil {
		t.Fatal(err)
	}
	record := jaylog.NewWriter("w").Record(jayonce.RecordIntents, body)
	home.Apply(jaylog.Batch{End: 1, Entries: []jaylog.Entry{{Record: record}}})
	if got := <-outcome; got.Run != jayonce.RunDone {
		t.Errorf("run = %q, want done: %s", got.Run, got.Reason)
	}
}
