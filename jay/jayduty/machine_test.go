package jayduty_test

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayduty"
	"jayfield.example/jay/jaystore"
)

// topic is a store without faults for one machine.
type topic struct {
	t       *testing.T
	now     time.Duration
	records []jaystore.Record
	era     int64
	machine *jayduty.Machine
	down    bool
	calls   int
}

func newTopic(t *testing.T) *topic {
	nonces := 0
	return &topic{t: t, now: time.Hour, machine: jayduty.NewMachine(jayduty.Options{
		Machine: "machine", Incarnation: "own", TTL: ttl,
		Nonce: func() string { nonces++; return fmt.Sprint(nonces) },
	})}
}

func (o *topic) write(r jayduty.Record) {
	value, err := r.Encode()
	if err != nil {
		o.t.Fatal(err)
	}
	o.records = append(o.records, jaystore.Record{Key: jayduty.Key, Value: value, Position: o.end()})
}

// end returns the position after the newest record.
func (o *topic) end() jaystore.Position {
	return jaystore.NewPosition(o.era, int64(len(o.records)))
}

// restore begins a new era, in which the topic has only its first records.
func (o *topic) restore(length int) {
	o.era, o.records = o.era+1, o.records[:length]
	for n := range o.records {
		o.records[n].Position = jaystore.NewPosition(o.era, int64(n))
	}
}

// run lets time pass and takes the machine's steps.
func (o *topic) run(by time.Duration, candidate bool) {
	for end := o.now + by; o.now < end; o.now += 10 * time.Millisecond {
		step := o.machine.Next(o.now, candidate)
		if step.Action == jayduty.ActionWait {
			continue
		}
		o.calls++
		switch {
		case o.down && step.Action == jayduty.ActionAppend:
			o.machine.Appended(o.now, jayduty.ResultUnknown)
		case o.down:
		case step.Action == jayduty.ActionNewest:
			o.machine.ApplyNewest(o.now, o.records[max(0, len(o.records)-1):], o.end())
		case step.Action == jayduty.ActionRead && step.End.Era() != o.era:
			o.machine.Restart()
		case step.Action == jayduty.ActionRead:
			o.machine.ApplyRead(o.now, o.records[step.End.Offset():], o.end())
		case step.End != o.end():
			o.machine.Appended(o.now, jayduty.ResultConflict)
		default:
			o.write(step.Record)
			o.machine.Appended(o.now, jayduty.ResultDone)
		}
	}
}

func (o *topic) holds() (int64, bool) {
	lease := o.machine.Lease()
	return lease.Fence, lease.Holds(o.now, time.Second)
}

// Guards against calls of instances that are no candidates.
func TestNoCandidateMakesNoCalls(t *testing.T) {
	o := newTopic(t)
	o.run(time.Minute, false)
	if o.calls != 0 {
		t.Errorf("%d calls", o.calls)
	}
}

// Guards against a candidate that waits after a release, or calls the control API before the waiting time
// after its claim has passed.
func TestReleasedDutiesAreClaimedAtOnce(t *testing.T) {
	o := newTopic(t)
	o.write(jayduty.Record{Kind: jayduty.KindRelease, Machine: "other", Incarnation: "other", Fence: 1, Nonce: "x"})
	o.run(50*time.Millisecond, true)
	if fence, ok := o.holds(); fence != 2 || ok {
		t.Fatalf("fencing token = %d, holds = %t", fence, ok)
	}
	o.run(ttl-100*time.Millisecond, true)
	if _, ok := o.holds(); ok {
		t.Fatal("holds before the end of the waiting time")
	}
	o.run(200*time.Millisecond, true)
	if fence, ok := o.holds(); fence != 2 || !ok {
		t.Fatalf("fencing token = %d, holds = %t", fence, ok)
	}
}

// Guards against a holder that claims anew, with a new waiting time, after an outage of the store in which
// nobody else claimed, and against one that keeps the duties during the outage.
func TestHolderRenewsAfterOutage(t *testing.T) {
	o := newTopic(t)
	o.run(10*time.Second, true)
	before, ok := o.holds()
	if !ok {
		t.Fatal("does not hold the duties")
	}
	o.down = true
	o.run(ttl, true)
	if _, ok := o.holds(); ok {
		t.Fatal("holds the duties after the end of its lease")
	}
	o.run(time.Minute, true)
	o.down = false
	o.run(100*time.Millisecond, true)
	if after, ok := o.holds(); !ok || after != before {
		t.Fatalf("fencing token = %d, before the outage %d; holds = %t", after, before, ok)
	}
}

// Guards against more calls to the store than the page allows for: four renewals in a lease time, and one read
// a second of a candidate.
func TestCallsOfHolderAndCandidate(t *testing.T) {
	holder := newTopic(t)
	holder.run(10*time.Second, true)
	holder.calls = 0
	holder.run(time.Minute, true)
	if holder.calls > 80 {
		t.Errorf("holder made %d calls in a minute", holder.calls)
	}
	candidate := newTopic(t)
	for range 60 {
		candidate.write(jayduty.Record{Kind: jayduty.KindRenew, Machine: "other", Incarnation: "other", Fence: 1, Nonce: "x"})
		candidate.run(time.Second, true)
	}
	if candidate.calls > 61 {
		t.Errorf("candidate made %d calls in a minute", candidate.calls)
	}
}

// Guards against a record of another format that is taken for no record, so that its lease is ignored.
func TestMalformedRecordDelaysClaim(t *testing.T) {
	o := newTopic(t)
	o.records = append(o.records, jaystore.Record{Key: jayduty.Key, Value: []byte("torn")})
	o.run(ttl+jayduty.ClaimMargin, true)
	if fence, _ := o.holds(); fence != 0 {
		t.Fatalf("claimed with fencing token %d", fence)
	}
	o.run(time.Second, true)
	if fence, _ := o.holds(); fence != 2 {
		t.Fatalf("fencing token = %d", fence)
	}
}

// Guards against a lease that is counted from the newest append when an older one took effect: others have
// read the older one, and may claim before that lease ends.
func TestLateAppendDoesNotExtendLease(t *testing.T) {
	o := newTopic(t)
	o.run(10*time.Second, true)
	before, end := o.machine.Lease(), jaystore.Position(len(o.records))
	o.now = before.ExpiresAt
	late := o.machine.Next(o.now, true)
	if late.Action != jayduty.ActionAppend || late.End != end {
		t.Fatalf("step = %+v", late)
	}
	o.machine.Appended(o.now, jayduty.ResultUnknown)
	// The read is answered before the append takes effect, and its answer is processed two seconds later.
	o.write(late.Record)
	o.now += 2 * time.Second
	o.machine.ApplyRead(o.now, nil, end)
	if next := o.machine.Next(o.now, true); next.Action != jayduty.ActionAppend || next.End != end {
		t.Fatalf("step = %+v", next)
	}
	o.machine.Appended(o.now, jayduty.ResultConflict)
	o.machine.ApplyRead(o.now, o.records[end:], end+1)
	if lease := o.machine.Lease(); lease != before {
		t.Errorf("lease = %+v, before the late append %+v", lease, before)
	}
	if next := o.machine.Next(o.now, true); next.Action != jayduty.ActionAppend || next.Record.Kind != jayduty.KindRenew || next.End != end+1 {
		t.Errorf("step after the late append = %+v", next)
	}
}

// Guards against a holder that goes on under a fencing token of before the store came back from a copy, and against duties that
// nobody holds for longer than the waiting time.
func TestHolderClaimsAnewInLaterEra(t *testing.T) {
	for name, length := range map[string]int{"claim kept": 5, "claim lost": 0} {
		t.Run(name, func(t *testing.T) {
			o := newTopic(t)
			o.run(10*time.Second, true)
			before, _ := o.holds()
			o.restore(length)
			o.run(ttl/4+50*time.Millisecond, true)
			if after, ok := o.holds(); after <= before || ok {
				t.Fatalf("fencing token = %d, before %d; holds = %t", after, before, ok)
			}
			o.run(ttl, true)
			if _, ok := o.holds(); !ok {
				t.Fatal("does not hold the duties after the waiting time")
			}
		})
	}
}

// Guards against records that a copy of the store has, or that were written on condition of a former era, and that are taken for
// the newest of the lease.
func TestRecordsOfFormerEraAreWaitedOut(t *testing.T) {
	tests := map[string]func(*topic){
		"none":      func(*topic) {},
		"release":   func(o *topic) { o.write(jayduty.Record{Kind: jayduty.KindRelease, Incarnation: "other", Fence: 1}) },
		"own claim": func(o *topic) { o.write(jayduty.Record{Kind: jayduty.KindClaim, Incarnation: "own", Fence: 1}) },
		"own append": func(o *topic) {
			o.write(jayduty.Record{Kind: jayduty.KindRenew, Incarnation: "own", Fence: 1, Nonce: "1"})
		},
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTopic(t)
			o.restore(0)
			write(o)
			o.run(ttl+jayduty.ClaimMargin, true)
			if fence, _ := o.holds(); fence != 0 {
				t.Fatalf("claimed with fencing token %d", fence)
			}
			o.run(time.Second, true)
			if fence, _ := o.holds(); fence <= int64(jaystore.NewPosition(1, 0)) {
				t.Fatalf("fencing token = %d", fence)
			}
		})
	}
}
