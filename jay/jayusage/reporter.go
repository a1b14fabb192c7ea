package jayusage

import (
	"jayfield.example/jay/jaystore"
	"maps"
	"slices"
	"time"
)

const (
	// slots is the number of windows whose reports the store keeps: key = window modulo slots.
	slots = 8
	// collectFirst is when the counts of a window are collected for the first time after its end,
	// collectInterval the time between two collections, and collectEnd when the report is made. Counts reach
	// the second hub of a zone within a second, and a plain request counts up to half of its duration late.
	collectFirst    = 1500 * time.Millisecond
	collectInterval = time.Second
	collectEnd      = 4 * time.Second
	// maxAsked is how often a zone that does not answer is asked before a report is made without it.
	maxAsked = 3
	// recoverFor is the age of a window's end up to which a report is still made, and up to which a successor
	// repeats the report, which may not have been sent. Cells are kept for 30 s; a collection takes up to 1 s.
	recoverFor = 28 * time.Second
	// muteFor is how long a zone that did not answer maxAsked times is asked only once for each further window.
	// Otherwise, the windows that a successor makes up for wait for the zone one after the other.
	muteFor = 5 * time.Second
	// retryDelay is the time after which a call that failed is repeated.
	retryDelay = time.Second
	// maxUnsent bounds the reports that wait for the receiver; the oldest is given up first.
	maxUnsent = 64
)

// ActionKind is what the holder of the duty does next.
type ActionKind string

// Kinds of actions.
const (
	// ActionNone means that nothing is to be done now.
	ActionNone ActionKind = "none"
	// ActionRead reads the reports in the store.
	ActionRead ActionKind = "read"
	// ActionCollect collects the counts of a window.
	ActionCollect ActionKind = "collect"
	// ActionWrite writes a report to the store at End.
	ActionWrite ActionKind = "write"
	// ActionRewrite writes a report to the store at End that the store had and lacks, exactly as it was.
	ActionRewrite ActionKind = "rewrite"
	// ActionSend sends a report that the store holds.
	ActionSend ActionKind = "send"
)

// Action is what the holder of the duty does next.
type Action struct {
	Kind   ActionKind
	Window int64
	// Counts are the counts of a report by the hash of the account, with ActionWrite. Zones are the zones that
	// supplied counts, Missing those that did not.
	Counts         map[uint32]uint64
	Zones, Missing []string
	// End is the offset at which the store's topic has to end.
	End jaystore.Position
	// Report is the report to send, exactly as the store holds it, or to write again.
	Report Stored
}

// Stored is a report in the store.
type Stored struct {
	Window int64
	Counts map[string]int
}

// Outcome is the result of a call.
type Outcome string

// Outcomes of calls.
const (
	OutcomeDone Outcome = "done"
	// OutcomeConflict means that the store's topic did not end at the offset.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnavailable means that there was no answer; the call may take effect later.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeFenced means that the receiver has seen a higher fencing token.
	OutcomeFenced Outcome = "fenced"
	// OutcomeInvalid means that the receiver does not accept the report at all.
	OutcomeInvalid Outcome = "invalid"
)

// ZoneCounts are the counts of a window in a zone, nil if the zone did not answer.
type ZoneCounts struct {
	Zone   string
	Counts map[uint32]uint64
}

// Reporter decides what the holder of the duty does for usage reports. Times are agreed ones.
//
// A report is sent only once the store is known to hold it, and the store keeps the first report of a window:
// a write is conditional on the end of the topic, and is made only if what was read up to that end
// has no report of the window or a later one in its slot. So two reports of a window never differ, whoever
// writes them, and whenever a write without an answer takes effect.
//
// A store that comes back from a copy lacks the newest reports. The holder writes those that it has read or written again, before
// any that are new.
type Reporter struct {
	window time.Duration
	// holds is set while this instance holds the duty, since the time of gained. fenced is set once the receiver refused its token.
	holds, fenced bool
	gained        time.Time
	// synced is set while the state equals the store's topic up to end. newest is the latest
	// window with a report, or none.
	synced bool
	end    jaystore.Position
	newest int64
	// next is the first window without a report that is still to be made.
	next int64
	// current holds what was collected for next.
	current collected
	// mute is when a zone last had not answered for a window although it was asked maxAsked times.
	mute map[string]time.Time
	// unsent are the reports that the store holds and that are to be sent, by window.
	unsent map[int64]Stored
	// sent are the windows whose reports this instance has sent.
	sent map[int64]bool
	// known are the reports that the store is known to have held, by window, and lost the windows of those that it lacks,
	// in order.
	known map[int64]Stored
	lost  []int64
	// readAt, writeAt and sendAt are the earliest times of these calls.
	readAt, writeAt, sendAt time.Time
	skipped, givenUp        int
}

// collected is what was collected for a window.
type collected struct {
	zones map[string]map[uint32]uint64
	// at is when the counts were last asked for, asked how often.
	at    time.Time
	asked int
}

// none stands for no window.
const none = -1

// NewReporter returns a reporter for windows of a length.
func NewReporter(window time.Duration) *Reporter {
	return &Reporter{
		window: window, newest: none, mute: make(map[string]time.Time), unsent: make(map[int64]Stored), sent: make(map[int64]bool),
		known: make(map[int64]Stored), current: newCollected(),
	}
}

func newCollected() collected {
	return collected{zones: make(map[string]map[uint32]uint64)}
}

// Gain is called when this instance gets the duty, also with another fencing token. What was known of the store is
// read again.
func (r *Reporter) Gain(now time.Time) {
	r.holds, r.fenced, r.synced, r.gained = true, false, false, now
	r.readAt, r.writeAt, r.sendAt = time.Time{}, time.Time{}, time.Time{}
	r.current = newCollected()
}

// Lose is called when this instance no longer holds the duty.
func (r *Reporter) Lose() {
	r.holds, r.synced = false, false
}

// Holds reports whether this instance holds the duty and may call the receiver.
func (r *Reporter) Holds() bool {
	return r.holds && !r.fenced
}

// Skipped returns the number of windows that got no report, and of reports that were given up unsent.
func (r *Reporter) Skipped() (windows, reports int) {
	return r.skipped, r.givenUp
}

// Next returns what is to be done now. The result of each action has to be recorded before the next one.
// Collections come first, since the counts are kept for a limited time, and sends last, since a receiver that
// does not answer must not hold up the rest.
func (r *Reporter) Next(now time.Time) Action {
	switch {
	case !r.Holds():
		return Action{Kind: ActionNone}
	case !r.synced:
		if now.Before(r.readAt) {
			return Action{Kind: ActionNone}
		}
		return Action{Kind: ActionRead}
	}
	r.skipLost(now)
	r.skipUnused(now)
	since := now.Sub(WindowEnd(r.next, r.window))
	due := since >= collectFirst && now.Sub(r.current.at) >= collectInterval
	switch {
	case due && (since < collectEnd || !r.sufficient(now)):
		return Action{Kind: ActionCollect, Window: r.next}
	case now.Before(r.writeAt):
	case len(r.lost) > 0:
		return Action{Kind: ActionRewrite, Window: r.lost[0], End: r.end, Report: r.known[r.lost[0]]}
	case since >= collectEnd && r.sufficient(now):
		return r.write()
	}
	return r.send(now)
}

// sufficient reports whether a report may be made: all zones have answered, or some have and the others were
// asked often enough, for this window or recently for another one.
func (r *Reporter) sufficient(now time.Time) bool {
	missing, waiting, c := 0, false, r.current
	for zone, counts := range c.zones {
		if counts == nil {
			missing++
			since, mute := r.mute[zone]
			waiting = waiting || c.asked < maxAsked && (!mute || now.Sub(since) > muteFor)
		}
	}
	return missing < len(c.zones) && !waiting
}

// noteMute notes which zones have not answered for the current window.
func (r *Reporter) noteMute(now time.Time) {
	for zone, counts := range r.current.zones {
		switch {
		case counts != nil:
			delete(r.mute, zone)
		case r.current.asked >= maxAsked:
			r.mute[zone] = now
		}
	}
}

// empty reports whether no zone has counts.
func (c collected) empty() bool {
	for _, counts := range c.zones {
		if len(counts) > 0 {
			return false
		}
	}
	return true
}

// skipLost passes over windows whose counts may no longer be complete.
func (r *Reporter) skipLost(now time.Time) {
	if first := r.firstKept(now); r.next < first {
		r.skipped += int(first - r.next)
		r.next, r.current = first, newCollected()
	}
}

// skipUnused passes over the windows before the first holder in which nothing ran: as long as nothing has been
// reported, it is unknown whether there were instances.
func (r *Reporter) skipUnused(now time.Time) {
	for r.newest == none && r.sufficient(now) && r.current.empty() && WindowEnd(r.next, r.window).Before(r.gained) {
		r.next, r.current = r.next+1, newCollected()
	}
}

// firstKept returns the first window of which a report may still be made.
func (r *Reporter) firstKept(now time.Time) int64 {
	return WindowAt(now.Add(-recoverFor), r.window)
}

func (r *Reporter) write() Action {
	a := Action{Kind: ActionWrite, Window: r.next, End: r.end, Counts: make(map[uint32]uint64)}
	for zone, counts := range r.current.zones {
		if counts == nil {
			a.Missing = append(a.Missing, zone)
			continue
		}
		a.Zones = append(a.Zones, zone)
		for account, count := range counts {
			a.Counts[account] += count
		}
	}
	slices.Sort(a.Zones)
	slices.Sort(a.Missing)
	return a
}

// send returns the oldest report that waits for the receiver.
func (r *Reporter) send(now time.Time) Action {
	if len(r.unsent) == 0 || now.Before(r.sendAt) {
		return Action{Kind: ActionNone}
	}
	report := r.unsent[slices.Min(slices.Collect(maps.Keys(r.unsent)))]
	return Action{Kind: ActionSend, Window: report.Window, Report: report}
}

// RecordRead records the reports that the store holds and the offset at which its topic ends.
func (r *Reporter) RecordRead(now time.Time, reports []Stored, end jaystore.Position) {
	slots := make(map[int64]int64, len(reports))
	for _, report := range reports {
		slots[Slot(report.Window)] = report.Window
		r.newest = max(r.newest, report.Window)
	}
	r.giveUp(now, slots, end.Era() > r.end.Era())
	r.synced, r.end = true, end
	r.forget(now)
	for _, report := range reports {
		if r.needed(now, report.Window) {
			r.known[report.Window] = report
		}
	}
	r.lost = r.lost[:0]
	for _, window := range slices.Sorted(maps.Keys(r.known)) {
		if slots[Slot(window)] < window {
			r.lost = append(r.lost, window)
		}
		if !r.sent[window] {
			r.unsent[window] = r.known[window]
		}
	}
	next := r.newest + 1
	if r.newest == none {
		next = r.firstKept(now)
	}
	if next != r.next {
		r.next, r.current = next, newCollected()
	}
}

// giveUp gives up the unsent reports that the store has lost and that others may have made again: they are too old now, or their
// slots have later reports that this instance does not know. Slots holds the windows of the reports in the store. Restored is set
// if the store has come back from a copy since it was last read.
func (r *Reporter) giveUp(now time.Time, slots map[int64]int64, restored bool) {
	for window := range r.unsent {
		held := slots[Slot(window)]
		_, known := r.known[held]
		lost := held < window && !r.recent(now, window)
		replaced := held > window && !known && (restored || slices.Contains(r.lost, window))
		if lost || replaced {
			delete(r.unsent, window)
			delete(r.known, window)
			r.givenUp++
		}
	}
}

// recent reports whether a successor would still repeat the report of a window.
func (r *Reporter) recent(now time.Time, window int64) bool {
	return now.Sub(WindowEnd(window, r.window)) <= recoverFor
}

// needed reports whether the report of a window is still to be sent, or a successor would repeat it.
func (r *Reporter) needed(now time.Time, window int64) bool {
	_, unsent := r.unsent[window]
	return unsent || r.recent(now, window)
}

// forget forgets reports that are no longer needed.
func (r *Reporter) forget(now time.Time) {
	maps.DeleteFunc(r.sent, func(window int64, _ bool) bool { return !r.needed(now, window) })
	maps.DeleteFunc(r.known, func(window int64, _ Stored) bool { return !r.needed(now, window) })
}

// RecordReadFailure records that the store was not read.
func (r *Reporter) RecordReadFailure(now time.Time) {
	r.readAt = now.Add(retryDelay)
}

// RecordCounts records the counts that were collected for a window. Counts only grow, so of several
// collections the largest count of an account in a zone is the latest.
func (r *Reporter) RecordCounts(now time.Time, window int64, zones []ZoneCounts) {
	if window != r.next {
		return
	}
	r.current.at = now
	r.current.asked++
	for _, z := range zones {
		known := r.current.zones[z.Zone]
		if known == nil && z.Counts != nil {
			known = make(map[uint32]uint64, len(z.Counts))
		}
		for account, count := range z.Counts {
			known[account] = max(known[account], count)
		}
		r.current.zones[z.Zone] = known
	}
	r.noteMute(now)
}

// RecordWrite records the result of writing a report. Unless it was written, the store is read again, since the
// write may take effect later or another instance may have written.
func (r *Reporter) RecordWrite(now time.Time, report Stored, outcome Outcome) {
	if outcome != OutcomeDone {
		r.synced = false
		if outcome == OutcomeUnavailable {
			r.readAt, r.writeAt = now.Add(retryDelay), now.Add(retryDelay)
		}
		return
	}
	r.end++
	r.writeAt, r.known[report.Window] = time.Time{}, report
	r.lost = slices.DeleteFunc(r.lost, func(window int64) bool { return window == report.Window })
	if report.Window >= r.next {
		r.newest, r.next, r.current = report.Window, report.Window+1, newCollected()
	}
	if !r.sent[report.Window] {
		r.unsent[report.Window] = report
	}
	if len(r.unsent) > maxUnsent {
		delete(r.unsent, slices.Min(slices.Collect(maps.Keys(r.unsent))))
		r.givenUp++
	}
}

// RecordSend records the result of sending a report.
func (r *Reporter) RecordSend(now time.Time, window int64, outcome Outcome) {
	switch outcome {
	case OutcomeDone:
		r.sent[window] = true
		delete(r.unsent, window)
	case OutcomeInvalid:
		delete(r.unsent, window)
		r.givenUp++
	case OutcomeFenced:
		// The next holder repeats the report.
		r.fenced = true
	default:
		r.sendAt = now.Add(retryDelay)
	}
}

// Slot returns the key of a window's report in the store.
func Slot(window int64) int64 {
	return window % slots
}
