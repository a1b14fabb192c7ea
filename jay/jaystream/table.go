package jaystream

import (
	"maps"
	"slices"
	"time"
)

// maxRemembered is the largest number of own streams, and of those of the log, that are remembered.
const maxRemembered = 200_000

// Table is what one instance knows of the versions of services and of the streams that they began. It is not safe for
// concurrent use.
type Table struct {
	window time.Duration
	// loaded is since when the registry was read without a gap, zero before.
	loaded time.Time
	// complete is set once the log has been read up to its end since then.
	complete bool
	services map[uint64]*service
	// own are the streams that this instance began, unrecorded those of them that are not in the log.
	own, unrecorded map[Key]*stream
	// read are the streams of the log and of other instances, and order the readings of their records, the oldest first.
	read    map[Key]*stream
	order   []reading
	dropped int
}

// reading is when a record of a stream was read.
type reading struct {
	key Key
	at  time.Time
}

// service is what is known of the versions of a service.
type service struct {
	// name is empty if only records of the log name the service.
	name       string
	registered map[string]bool
	// seen holds when versions were last registered, logged when they were last read from the log. Those of recorded are in play
	// since they were read from the log.
	seen, logged, recorded map[string]time.Time
	// inPlay are the versions that were in play at the last tick, left those of several of which the log is to state that they
	// are no longer in play.
	inPlay []string
	left   map[string]bool
}

// stream is a stream that began.
type stream struct {
	service uint64
	version string
	// ambiguous is set if two versions began streams under the same key.
	ambiguous bool
	// kept is set if only other instances, not the log, have shown the record.
	kept bool
	// open is the number of responses in progress.
	open int
	// at is when the last response ended, or when the record was read.
	at time.Time
}

// Change is a service of which several versions came into play, or of which only one is left.
type Change struct {
	Service  string
	Versions []string
	Several  bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		window: minWindow, services: make(map[uint64]*service),
		own: make(map[Key]*stream), unrecorded: make(map[Key]*stream), read: make(map[Key]*stream),
	}
}

// SetTimeout sets the longest timeout of a stream. A shorter one than before has no effect, since streams may have begun before.
func (t *Table) SetTimeout(timeout time.Duration) {
	t.window = max(t.window, Window(timeout))
}

// Observe processes a version of a service in a record of the registry, also one that is out of date.
func (t *Table) Observe(now time.Time, name, version string) {
	t.named(name).seen[version] = now
}

// SetRegistered replaces the registered versions of all services.
func (t *Table) SetRegistered(now time.Time, versions map[string][]string) {
	if t.loaded.IsZero() {
		t.loaded = now
	}
	for _, s := range t.services {
		for version := range s.registered {
			s.seen[version] = now
		}
		clear(s.registered)
	}
	for name, list := range versions {
		s := t.named(name)
		for _, version := range list {
			s.registered[version] = true
		}
	}
}

// Gap processes that versions may have come and gone which the registry did not show to this instance. It trusts the registry
// as little as one that has just started.
func (t *Table) Gap(now time.Time) {
	t.loaded, t.complete = now, false
	for _, s := range t.services {
		for version := range s.logged {
			s.recorded[version] = now
		}
	}
}

// Versions returns the versions of a service that are in play, in the order of their names.
func (t *Table) Versions(now time.Time, name string) []string {
	return t.inPlay(now, serviceHash(name))
}

func (t *Table) inPlay(now time.Time, hash uint64) []string {
	s, ok := t.services[hash]
	if !ok {
		return nil
	}
	versions := maps.Clone(s.registered)
	for _, times := range []map[string]time.Time{s.seen, s.recorded} {
		for version, at := range times {
			if now.Sub(at) <= t.window {
				versions[version] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

func (t *Table) named(name string) *service {
	s := t.service(serviceHash(name))
	s.name = name
	return s
}

func (t *Table) service(hash uint64) *service {
	s, ok := t.services[hash]
	if !ok {
		s = &service{
			registered: make(map[string]bool), left: make(map[string]bool),
			seen: make(map[string]time.Time), logged: make(map[string]time.Time), recorded: make(map[string]time.Time),
		}
		t.services[hash] = s
	}
	return s
}

// Begin processes a stream whose first event came from a version.
func (t *Table) Begin(now time.Time, name, attempt, version string) {
	key := NewKey(name, attempt)
	s, ok := t.own[key]
	if !ok && len(t.own) >= maxRemembered {
		t.dropped++
		return
	}
	if !ok {
		s = &stream{service: serviceHash(name), version: version}
		t.own[key], t.unrecorded[key] = s, s
	}
	s.ambiguous = s.ambiguous || s.version != version
	s.open++
	s.at = now
}

// End processes the end of a response to a stream that began, and reports whether its record is urgent: the caller may
// take the stream up at another instance at once. One that ended complete is recorded too while several versions are in play,
// since its caller may not have received the end.
func (t *Table) End(now time.Time, name, attempt string, complete bool) bool {
	key := NewKey(name, attempt)
	s, ok := t.own[key]
	if !ok || s.open == 0 {
		return false
	}
	s.open--
	s.at = now
	several := len(t.inPlay(now, s.service)) > 1
	if complete && s.open == 0 && !several {
		t.forget(key)
	}
	return !complete && several && t.unrecorded[key] != nil
}

func (t *Table) forget(key Key) {
	delete(t.own, key)
	delete(t.unrecorded, key)
}

// Tick drops what is older than the window, and returns the services whose number of versions in play has changed to
// or from one.
func (t *Table) Tick(now time.Time) []Change {
	t.expireStreams(now)
	var changes []Change
	for hash, s := range t.services {
		for _, times := range []map[string]time.Time{s.seen, s.logged, s.recorded} {
			maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > t.window })
		}
		versions := t.inPlay(now, hash)
		before, several := len(s.inPlay) > 1, len(versions) > 1
		for _, version := range s.inPlay {
			s.left[version] = before
		}
		maps.DeleteFunc(s.left, func(version string, left bool) bool { return !left || slices.Contains(versions, version) })
		if s.inPlay = versions; several != before {
			changes = append(changes, Change{Service: s.name, Versions: versions, Several: several})
		}
		if len(versions) == 0 && len(s.logged) == 0 {
			delete(t.services, hash)
		}
	}
	return changes
}

func (t *Table) expireStreams(now time.Time) {
	for key, s := range t.own {
		if s.open > 0 || now.Sub(s.at) <= t.window {
			continue
		}
		if t.unrecorded[key] != nil && len(t.inPlay(now, s.service)) > 1 {
			t.dropped++
		}
		t.forget(key)
	}
	t.expireRead(now)
}

// expireRead drops the oldest streams of the log.
func (t *Table) expireRead(now time.Time) {
	for len(t.order) > 0 && (len(t.read) > maxRemembered || now.Sub(t.order[0].at) > t.window) {
		if !t.isOutdated(t.order[0]) {
			delete(t.read, t.order[0].key)
		}
		t.order = t.order[1:]
	}
}

// isOutdated reports whether a record of the stream has been read again since.
func (t *Table) isOutdated(r reading) bool { return t.read[r.key].at.After(r.at) }

// Rewind processes that the store came back from a copy, which may lack records of this instance.
func (t *Table) Rewind() { maps.Copy(t.unrecorded, t.own) }

// Dropped returns the number of streams that were dropped without a record although several versions were in play, or of
// which there were too many.
func (t *Table) Dropped() int { return t.dropped }

// Due returns what is to be appended to the log, nil if there is nothing. The caller reads the registry up to its end before it
// appends that a version is no longer in play, and calls Due again.
func (t *Table) Due(now time.Time) []Group {
	type kind struct {
		service uint64
		version string
	}
	count, due := 0, make(map[kind][]Key)
	several := make(map[uint64]bool)
	for hash := range t.services {
		several[hash] = len(t.inPlay(now, hash)) > 1
	}
	for key, s := range t.unrecorded {
		if several[s.service] && count < maxBatch {
			due[kind{s.service, s.version}] = append(due[kind{s.service, s.version}], key)
			count++
		}
	}
	var groups []Group
	for k, keys := range due {
		groups = append(groups, Group{Service: k.service, Version: k.version, Streams: keys})
	}
	for hash, s := range t.services {
		versions := t.inPlay(now, hash)
		for version := range s.left {
			if !slices.Contains(versions, version) {
				groups = append(groups, Group{Service: hash, Version: version})
			}
		}
	}
	return groups
}

// Appended processes that groups are in the log.
func (t *Table) Appended(groups []Group) {
	for _, g := range groups {
		for _, key := range g.Streams {
			delete(t.unrecorded, key)
		}
		if s, ok := t.services[g.Service]; ok && len(g.Streams) == 0 {
			delete(s.left, g.Version)
		}
	}
}

// Read processes groups that were read from the log, in their order.
func (t *Table) Read(now time.Time, groups []Group) {
	// The registry shows an instance that has run for longer than the window all versions in play.
	young := !t.mature(now)
	for _, g := range groups {
		s := t.service(g.Service)
		if len(g.Streams) == 0 {
			delete(s.logged, g.Version)
			delete(s.recorded, g.Version)
			continue
		}
		s.logged[g.Version] = now
		if young {
			s.recorded[g.Version] = now
		}
		for _, key := range g.Streams {
			t.remember(now, key, g, false)
		}
	}
}

func (t *Table) remember(now time.Time, key Key, g Group, kept bool) {
	if s, ok := t.read[key]; ok {
		s.kept = s.kept && kept
		s.ambiguous = s.ambiguous || s.version != g.Version
		if !s.at.Before(now) {
			return
		}
		s.at = now
	} else {
		t.read[key] = &stream{service: g.Service, version: g.Version, kept: kept, at: now}
	}
	if t.order = append(t.order, reading{key, now}); len(t.order) > 2*maxRemembered {
		t.expireRead(now)
		t.order = slices.DeleteFunc(t.order, t.isOutdated)
	}
}

// ReadAll processes that the log was read up to its end by a read that began at a time.
func (t *Table) ReadAll(began time.Time) { t.complete = t.complete || !began.Before(t.loaded) }

// Complete reports whether the log has been read up to its end, or need not be, since the registry shows all versions in play.
func (t *Table) Complete(now time.Time) bool { return t.complete || t.mature(now) }

// mature reports whether the instance has followed the registry for longer than a version remains in play.
func (t *Table) mature(now time.Time) bool {
	return !t.loaded.IsZero() && now.Sub(t.loaded) > t.window
}
