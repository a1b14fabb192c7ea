package jayroster

import (
	"time"

	"jayfield.example/jay/jaymember"
)

// ledger holds what this instance reports about members, with the version of the latest change
// of each, so that a message carries only what its receiver has not acknowledged.
type ledger struct {
	version uint64
	entries map[string]*ledgerEntry
	// numbered is the number of the entry that was added last.
	numbered uint32
	// prefixes are the prompt prefixes that were announced recently.
	prefixes []ledgerPrefix
}

// ledgerEntry is the report about one member.
type ledgerEntry struct {
	number         uint32
	identity       identity
	state          memberState
	added, changed uint64
}

// ledgerPrefix is an announced prompt prefix.
type ledgerPrefix struct {
	prefix  jaymember.CachedPrefix
	version uint64
	at      time.Time
	// own is set if an instance of the own zone announced the prefix.
	own bool
}

// identity holds the fields of a member that do not change.
type identity struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Incarnation string
	Name        string
	Address     string
	Peer        string
	Region      string
	Zone        string
}

// memberState holds the fields of a member that are reported when they change.
type memberState struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Alive    bool
	Leaving  bool
	Config   int64
	// Store and StoreChange were added last: instances of a former release neither send nor read them.
	Store       jaymember.StoreContact
	StoreChange uint32
}

// memberChange is a change of a member in a digest. Number identifies the member in all messages
// of the sender; Identity is nil if the receiver has acknowledged it.
type memberChange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Number   uint32
	State    memberState
	Identity *identity
}

// prefixTTL is how long an announced prefix is reported, and for how long it is not reported anew.
const prefixTTL = 2 * time.Second

func newLedger() *ledger {
	return &ledger{entries: make(map[string]*ledgerEntry)}
}

// update records the state of a member.
func (l *ledger) update(m jaymember.Member, alive bool) {
	state := memberState{Alive: alive, Leaving: m.Leaving, Config: m.Config, Store: m.Store, StoreChange: m.StoreChange}
	e, ok := l.entries[m.Incarnation]
	if ok && e.state == state {
		return
	}
	l.version++
	if !ok {
		l.numbered++
		e = &ledgerEntry{number: l.numbered, identity: identityOf(m), added: l.version}
		l.entries[m.Incarnation] = e
	}
	e.state, e.changed = state, l.version
}

// remove drops a member that is no longer reported.
func (l *ledger) remove(incarnation string) {
	delete(l.entries, incarnation)
}

// announce records a prefix, unless it is already being reported.
func (l *ledger) announce(now time.Time, prefix jaymember.CachedPrefix, own bool) {
	for _, p := range l.prefixes {
		if p.prefix == prefix && now.Sub(p.at) < prefixTTL {
			return
		}
	}
	l.version++
	l.prefixes = append(l.prefixes, ledgerPrefix{prefix: prefix, version: l.version, at: now, own: own})
}

// prune drops the prefixes that are no longer reported.
func (l *ledger) prune(now time.Time) {
	current := l.prefixes[:0]
	for _, p := range l.prefixes {
		if now.Sub(p.at) < prefixTTL {
			current = append(current, p)
		}
	}
	l.prefixes = current
}

// changesSince returns the changes after a version, of the members of one zone or, if that is
// empty, of all.
func (l *ledger) changesSince(version uint64, zone string) []memberChange {
	if version == l.version {
		return nil
	}
	var changes []memberChange
	for _, e := range l.entries {
		if e.changed <= version || zone != "" && e.identity.Zone != zone {
			continue
		}
		c := memberChange{Number: e.number, State: e.state}
		if e.added > version {
			c.Identity = &e.identity
		}
		changes = append(changes, c)
	}
	return changes
}

// prefixScope is whose prefixes a digest carries.
type prefixScope string

const (
	// prefixesOfAll are those of all zones, prefixesOfOwn those of the own one and prefixesOfOthers the rest.
	prefixesOfAll    prefixScope = "all"
	prefixesOfOwn    prefixScope = "own"
	prefixesOfOthers prefixScope = "others"
)

// prefixesSince returns the prefixes announced after a version.
func (l *ledger) prefixesSince(version uint64, scope prefixScope) []jaymember.CachedPrefix {
	var prefixes []jaymember.CachedPrefix
	for _, p := range l.prefixes {
		if p.version > version && (scope == prefixesOfAll || p.own == (scope == prefixesOfOwn)) {
			prefixes = append(prefixes, p.prefix)
		}
	}
	return prefixes
}

func identityOf(m jaymember.Member) identity {
	return identity{Incarnation: m.Incarnation, Name: m.Name, Address: m.Address, Peer: m.Peer, Region: m.Region, Zone: m.Zone}
}

// member returns the member with an identity and state.
func (i identity) member(state memberState) jaymember.Member {
	return jaymember.Member{
		Incarnation: i.Incarnation, Name: i.Name, Address: i.Address, Peer: i.Peer, Region: i.Region, Zone: i.Zone,
		Leaving: state.Leaving, Config: state.Config, Store: state.Store, StoreChange: state.StoreChange,
	}
}
