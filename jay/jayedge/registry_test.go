package jayedge

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaystore"
)

const (
	beatInterval = 1200 * time.Millisecond
	// silence is the time without a write after which the store removes an entry.
	silence = 3 * beatInterval
	// stableTime is how long the store has lost no answers before a departure that has to be kept.
	stableTime   = 4 * time.Second
	registryStep = 300 * time.Millisecond
	// historyTime is the time of the records that are read after a snapshot.
	historyTime = registryHistoryLen * beatInterval
)

// jsonAdapter reads entries that are JSON of upstreams.
type jsonAdapter struct{ Adapter }

func (jsonAdapter) ReadUpstream(_ string, value []byte) (jayfleet.Upstream, error) {
	var u jayfleet.Upstream
	err := json.Unmarshal(value, &u)
	return u, err //nolint:wrapcheck // For tests.
}

// registryLog is the store's log of the registry. The store may come back from a copy of itself.
type registryLog struct {
	era     int64
	records []jaystore.Record
	at      []time.Time
	late    []lateWrite
}

type lateWrite struct {
	upstream jayfleet.Upstream
	due      time.Time
}

func (l *registryLog) end() jaystore.Position {
	return jaystore.NewPosition(l.era, int64(len(l.records)))
}

// restore begins an era without the records of the last while.
func (l *registryLog) restore(lost time.Duration) {
	count := len(l.records)
	for count > 0 && time.Since(l.at[count-1]) < lost {
		count--
	}
	l.era++
	l.records, l.at = slices.Clone(l.records[:count]), slices.Clone(l.at[:count])
	for n := range l.records {
		l.records[n].Position = jaystore.NewPosition(l.era, int64(n))
	}
}

func (l *registryLog) put(key string, value []byte) {
	l.records, l.at = append(l.records, jaystore.Record{Key: key, Value: value, Position: l.end()}), append(l.at, time.Now())
}

func (l *registryLog) write(u jayfleet.Upstream) {
	value, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	l.put(u.ID, value)
}

// newest returns the newest record of a key and when it was written.
func (l *registryLog) newest(key string) (jaystore.Record, time.Time) {
	for n := len(l.records) - 1; n >= 0; n-- {
		if l.records[n].Key == key {
			return l.records[n], l.at[n]
		}
	}
	return jaystore.Record{}, time.Time{}
}

// snapshot returns the newest record of each key, and where the records of the last historyTime begin.
func (l *registryLog) snapshot() ([]jaystore.Record, jaystore.Position) {
	newest := make(map[string]jaystore.Record)
	from := l.end()
	for n, r := range slices.Backward(l.records) {
		if _, ok := newest[r.Key]; !ok {
			newest[r.Key] = r
		}
		if time.Since(l.at[n]) <= historyTime {
			from = r.Position
		}
	}
	maps.DeleteFunc(newest, func(_ string, r jaystore.Record) bool { return len(r.Value) == 0 })
	return slices.Collect(maps.Values(newest)), from
}

// registryReader is an instance that follows the registry.
type registryReader struct {
	placer *placer
	mirror *jaystore.Mirror
	next   jaystore.Position
	joined time.Time
	// left holds the upstreams that it knows to have left, by their start times.
	left map[string]int64
}

func newRegistryReader() *registryReader {
	p := newPlacer(jsonAdapter{}, jayplace.Location{Zone: "z", Region: "r"}, nil, slog.New(slog.DiscardHandler))
	return &registryReader{
		placer: p, mirror: jaystore.NewMirror(p, jaystore.WithHistory(newRegistryHistory(jsonAdapter{}), jayfleet.Retention)), next: -1, joined: time.Now(),
		left: make(map[string]int64),
	}
}

func (r *registryReader) replace(records []jaystore.Record, end jaystore.Position) {
	r.mirror.MarkPending(time.Now(), end)
	r.mirror.Replace(context.Background(), records, end)
	r.next = end
}

func (r *registryReader) extend(records []jaystore.Record, end jaystore.Position) {
	r.next = end
	if len(records) == 0 {
		r.mirror.MarkRead(time.Now(), end)
		return
	}
	r.mirror.MarkPending(time.Now(), end)
	r.mirror.Apply(context.Background(), records)
}

// readLog reads the store.
func (r *registryReader) readLog(l *registryLog) {
	if r.next < 0 || r.next.Era() != l.era {
		r.replace(l.snapshot())
	}
	r.extend(l.records[r.next.Offset():], l.end())
}

// readMirror reads another instance.
func (r *registryReader) readMirror(t rapid.TB, from *registryReader) {
	changed, _ := from.mirror.Position()
	if changed.Era() < r.mirror.Next().Era() {
		return
	}
	if r.next >= 0 && changed <= r.next {
		r.mirror.MarkRead(time.Now(), r.next)
		return
	}
	records, next, err := from.mirror.From(r.next)
	if err != nil {
		records, next, err = from.mirror.From(-1)
		r.next = -1
	}
	switch {
	case err != nil:
		t.Fatal(err)
	case next < r.mirror.Next():
	case r.next < 0:
		r.replace(records, next)
	case next >= r.next:
		r.extend(records, next)
	}
}

// modelEngine is an upstream as it is.
type modelEngine struct {
	upstream jayfleet.Upstream
	next     time.Time
	// mutedUntil is until when its writes are not executed.
	mutedUntil time.Time
	// running is set while it beats, listed once a write of this start was executed and has not expired.
	running, listed bool
	// gone is set once it is acknowledged that it takes no more requests, forgotten while the store has lost that.
	gone, forgotten bool
	// setBack is set if its clock was set back while it was listed; doubtedAt is when the registry last
	// was in doubt about its start, and earlierAt when a write of an earlier start last took effect late.
	setBack              bool
	doubtedAt, earlierAt time.Time
	// listedAt is when it was last listed after it was not.
	listedAt time.Time
	latest   int64
}

// registryWorld is a registry, its upstreams and its readers.
type registryWorld struct {
	*rapid.T
	log     registryLog
	engines []*modelEngine
	readers []*registryReader
	// losing is set while the store loses answers, lostAt when it last did.
	losing bool
	lostAt time.Time
	// restoredAt is when the store last came back from a copy.
	restoredAt time.Time
}

// beat makes an engine write.
func (w *registryWorld) beat(e *modelEngine) {
	now := time.Now()
	e.upstream.Sequence++
	e.next = now.Add(beatInterval)
	if now.Before(e.mutedUntil) {
		return
	}
	executed := true
	if w.losing {
		w.lostAt = now
		late := time.Duration(rapid.IntRange(1000, 6000).Draw(w.T, "late")) * time.Millisecond
		fate := rapid.SampledFrom([]string{"executed", "late", "repeated"}).Draw(w.T, "fate")
		if executed = fate != "late"; fate != "executed" {
			w.log.late = append(w.log.late, lateWrite{e.upstream, now.Add(late)})
		}
	}
	if executed {
		e.forgotten = e.forgotten && !e.upstream.Leaving
		if w.log.write(e.upstream); !e.listed {
			e.listed, e.listedAt = true, now
		}
	}
}

// start starts an engine anew under its ID.
func (w *registryWorld) start(e *modelEngine, born int64) {
	newest, _ := w.log.newest(e.upstream.ID)
	// Readers know starts that the store has lost.
	known := len(newest.Value) > 0 || time.Since(w.restoredAt) < jayfleet.Retention
	e.setBack = born < e.latest && known
	e.latest, e.doubtedAt = max(e.latest, born), time.Now()
	e.upstream.Born, e.upstream.Sequence, e.upstream.Leaving = born, 1, false
	e.running, e.listed, e.gone, e.forgotten, e.next, e.mutedUntil = true, true, false, false, time.Now().Add(beatInterval), time.Time{}
	// The first write has an answer.
	w.log.write(e.upstream)
}

// act makes something happen to an engine.
func (w *registryWorld) act(e *modelEngine) {
	stable := !w.losing && time.Since(w.lostAt) >= stableTime && !time.Now().Before(e.mutedUntil)
	most := 120
	if stable && e.running && slices.ContainsFunc(w.log.late, func(l lateWrite) bool { return l.upstream.ID == e.upstream.ID }) {
		// A departure is of interest while a write is still to come.
		most = 8
	}
	switch action := rapid.IntRange(0, most).Draw(w.T, "action"); {
	case !e.running && action < 4:
		w.start(e, e.latest+10)
	case !e.running && action < 8:
		w.start(e, e.upstream.Born-1)
	case !e.running:
	case action == 0:
		e.mutedUntil = time.Now().Add(time.Duration(rapid.IntRange(1, 8).Draw(w.T, "muted")) * time.Second)
	case action == 1: // It crashes.
		e.running, e.listed = false, false
	case action == 2 && e.listed && stable && !e.upstream.Leaving:
		e.upstream.Leaving, e.gone = true, true
		w.beat(e)
	case action == 3 && e.listed && stable:
		e.running, e.listed, e.gone = false, false, true
		w.log.put(e.upstream.ID, nil)
	}
}

// step plays the registry for a step of time.
func (w *registryWorld) step() {
	time.Sleep(registryStep)
	now := time.Now()
	slices.SortFunc(w.log.late, func(a, b lateWrite) int { return a.due.Compare(b.due) })
	for len(w.log.late) > 0 && !now.Before(w.log.late[0].due) {
		u := w.log.late[0].upstream
		w.log.late = w.log.late[1:]
		w.log.write(u)
		for _, e := range w.engines {
			if e.upstream.ID == u.ID && e.upstream.Born != u.Born {
				e.doubtedAt, e.earlierAt = now.Add(beatInterval), now
			}
		}
	}
	for _, e := range w.engines {
		if w.act(e); e.running && !now.Before(e.next) {
			w.beat(e)
		}
		if r, at := w.log.newest(e.upstream.ID); len(r.Value) > 0 && now.Sub(at) >= silence {
			w.log.put(e.upstream.ID, nil)
			e.listed = false
		}
		// Until then, the removal may be the expiry of an entry that is about to come back.
		if r, _ := w.log.newest(e.upstream.ID); len(r.Value) == 0 && now.Sub(w.restoredAt) > jayfleet.RemovalGrace+fleetTickInterval {
			e.forgotten = false
		}
	}
	if rapid.IntRange(0, 100).Draw(w.T, "copy") == 77 {
		w.restore()
	}
	if rapid.IntRange(0, 14).Draw(w.T, "store") == 0 {
		w.losing = !w.losing
	}
}

// restore has the store come back from a copy, at times again at once.
func (w *registryWorld) restore() {
	for range rapid.IntRange(1, 2).Draw(w.T, "restores") {
		w.log.restore(time.Duration(rapid.IntRange(0, 4000).Draw(w.T, "lost")) * time.Millisecond)
	}
	now := time.Now()
	w.lostAt, w.restoredAt = now, now
	for _, e := range w.engines {
		newest, _ := w.log.newest(e.upstream.ID)
		var u jayfleet.Upstream
		listed := len(newest.Value) > 0 && json.Unmarshal(newest.Value, &u) == nil
		e.forgotten = e.gone && (!listed || u.Born != e.upstream.Born || !u.Leaving)
		// An entry whose removal was lost is not back until its upstream registers.
		e.listed = e.listed && e.running && listed && u.Born == e.upstream.Born
		// The start before the current one may be the newest again.
		e.setBack = e.setBack || e.upstream.Born < e.latest
		e.doubtedAt = now.Add(beatInterval)
	}
}

// read makes all readers read: the first one the store, the second one the first one, the third one the second
// one, the fourth one any of them, and the last one as a new instance from time to time.
func (w *registryWorld) read() {
	w.readers[0].readLog(&w.log)
	w.readers[1].readMirror(w.T, w.readers[0])
	w.readers[2].readMirror(w.T, w.readers[1])
	switch rapid.IntRange(0, 5).Draw(w.T, "source") {
	case 0, 1:
		w.readers[3].readLog(&w.log)
	case 2:
		w.readers[3].next = -1
		w.readers[3].readLog(&w.log)
	default:
		w.readers[3].readMirror(w.T, w.readers[2])
	}
	last := len(w.readers) - 1
	if rapid.IntRange(0, 7).Draw(w.T, "restart") == 0 {
		w.readers[last].placer.owner.Stop()
		w.readers[last] = newRegistryReader()
	}
	if w.readers[last].next >= 0 || rapid.Bool().Draw(w.T, "from the store") {
		w.readers[last].readLog(&w.log)
		return
	}
	w.readers[last].readMirror(w.T, w.readers[1])
}

// check compares what the readers hold true with what is.
func (w *registryWorld) check() {
	for n, r := range w.readers {
		for _, e := range w.engines {
			takes := r.placer.TakesWork(e.upstream.ID)
			// A reader that began after the store had lost it may not know that the upstream has left.
			if born, known := r.left[e.upstream.ID]; takes && e.gone && (!e.forgotten || known && born == e.upstream.Born) {
				w.fail(fmt.Sprintf("reader %d sends to %s, which has left", n, e.upstream.ID))
			}
			if e.gone && !takes {
				r.left[e.upstream.ID] = e.upstream.Born
			}
			since := e.doubtedAt
			if r.joined.After(since) {
				since = r.joined
			}
			held := e.setBack && time.Since(since) <= jayfleet.LateGrace+fleetTickInterval
			// A new instance that has seen a late write of an earlier start without a write before it takes that start for
			// the later one. It is in doubt until the upstream has registered since.
			// All are new to another era of the store.
			joined := slices.MaxFunc([]time.Time{r.joined, w.restoredAt}, time.Time.Compare)
			if time.Since(joined) < jayfleet.Retention && time.Since(e.earlierAt) < jayfleet.Retention {
				since = slices.MaxFunc([]time.Time{joined, e.earlierAt, e.listedAt}, time.Time.Compare)
				held = held || time.Since(since) <= beatInterval+jayfleet.ReturnGrace+fleetTickInterval
			}
			if e.running && e.listed && !e.gone && !takes && !held {
				w.fail(fmt.Sprintf("reader %d does not send to %s, which is registered with sequence %d", n, e.upstream.ID, e.upstream.Sequence))
			}
		}
	}
}

// fail ends the run with the log of the last while.
func (w *registryWorld) fail(what string) {
	for n, r := range w.log.records {
		if age := time.Since(w.log.at[n]); age < 2*jayfleet.Retention {
			w.Logf("%6.1f s before: offset %s, %s %s", age.Seconds(), r.Position, r.Key, r.Value)
		}
	}
	w.Fatal(what)
}

// Guards against a heartbeat that takes effect late and brings an upstream back at instances that did not see the records
// before it: those that read a mirror, and those that start later.
func TestLateWritesAtReaders(t *testing.T) {
	tests := map[string]func(beat func(sequence int64, leaving bool), remove func()){
		"a heartbeat after the removal": func(beat func(int64, bool), remove func()) {
			remove()
			beat(3, false)
		},
		"two heartbeats after the removal": func(beat func(int64, bool), remove func()) {
			remove()
			beat(3, false)
			beat(4, false)
		},
		"the same heartbeat after the removal": func(beat func(int64, bool), remove func()) {
			remove()
			beat(5, false)
		},
		"two heartbeats after a report of leaving": func(beat func(int64, bool), _ func()) {
			beat(6, true)
			beat(3, false)
			beat(7, true)
			beat(4, false)
		},
		"a heartbeat after a report of leaving and the removal": func(beat func(int64, bool), remove func()) {
			beat(6, true)
			remove()
			beat(4, false)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &registryLog{}
				direct, second, third := newRegistryReader(), newRegistryReader(), newRegistryReader()
				fromStore, fromMirror := newRegistryReader(), newRegistryReader()
				readers := []**registryReader{&direct, &second, &third, &fromStore, &fromMirror}
				defer func() {
					for _, r := range readers {
						(*r).placer.owner.Stop()
					}
				}()
				read := func() {
					time.Sleep(registryStep)
					direct.readLog(l)
					second.readMirror(t, direct)
					// It reads the store and a mirror in turn.
					if third.readMirror(t, second); l.end()%2 == 0 {
						third.readLog(l)
					}
					// The last two are new at each record.
					for _, r := range []**registryReader{&fromStore, &fromMirror} {
						(*r).placer.owner.Stop()
						*r = newRegistryReader()
					}
					fromStore.readLog(l)
					fromMirror.readMirror(t, second)
					synctest.Wait()
				}
				left := false
				beat := func(sequence int64, leaving bool) {
					l.write(jayfleet.Upstream{ID: "e", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1, Born: 1000, Sequence: sequence, Leaving: leaving})
					left = left || leaving
					read()
				}
				for sequence := range int64(5) {
					beat(sequence+1, false)
				}
				leave(func(sequence int64, leaving bool) {
					beat(sequence, leaving)
					for n, r := range readers {
						if left && (*r).placer.TakesWork("e") {
							t.Errorf("reader %d sends to the upstream after sequence %d, leaving %v", n, sequence, leaving)
						}
					}
				}, func() {
					l.put("e", nil)
					left = true
					read()
				})
			})
		})
	}
}

// Guards against instances that take an upstream that has left for a new one, or leave a sound one out, by the records
// that they happened to see: writes of upstreams come late, repeatedly and in another order, entries expire, upstreams start
// again, also with a clock set back, and instances read the store, each other or a snapshot.
func TestReadersOfRegistryAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			w := &registryWorld{T: t}
			for n := range 2 {
				id := fmt.Sprint("e", n)
				e := &modelEngine{upstream: jayfleet.Upstream{ID: id, Service: "s", Address: fmt.Sprint("10.0.0.", n, ":80"), Zone: "z", Slots: 1}}
				w.start(e, 1000)
				w.engines = append(w.engines, e)
			}
			for range 5 {
				w.readers = append(w.readers, newRegistryReader())
			}
			defer func() {
				for _, r := range w.readers {
					r.placer.owner.Stop()
				}
			}()
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				w.step()
				w.read()
				synctest.Wait()
				w.check()
			}
		})
	})
}

// bubble hides the test's deadline, which is in real time, not in virtual time.
type bubble struct {
	rapid.TB
}
