package jayedge

import (
	"testing"
	"time"

	"jayfield.example/jay/jaystream"
)

// Guards against an instance that joins two versions since another one, which did not know of a new version yet, recorded that
// one was left.
func TestRecordThatOneVersionIsLeftMayBeOutOfDate(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := func(table *jaystream.Table, versions ...string) {
		table.SetRegistered(now, map[string][]string{streamService: versions})
	}
	late, first := jaystream.NewTable(), jaystream.NewTable()
	registered(late, "1", "2")
	late.Tick(now)
	registered(late, "2")
	now = now.Add(jaystream.Window(0) + 1)
	// Version 3 has come, which the late instance has not read. Stream y is not recorded yet when all are killed.
	registered(first, "2", "3")
	first.Begin(now, streamService, "x", "3")
	recorded := first.Due(now)
	late.Tick(now)
	settled := late.Due(now)
	// The upstreams of version 3 have ended, and the registry no longer shows them.
	started := jaystream.NewTable()
	registered(started, "2")
	started.Read(now, recorded)
	started.Read(now, settled)
	started.ReadAll(now)
	got := started.LookUp(now, streamService, "y", jaystream.Progress{Confirmed: true, Reads: 3})
	if got.Result != jaystream.ResultUnknown {
		t.Errorf("answer = %+v for a stream that version 3 may have begun, want it to be unknown", got)
	}
}
