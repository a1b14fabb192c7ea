package jayonce

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylog"
)

// Kinds of records in the stream of work that runs at most once.
const (
	RecordIntents  = "intents"
	RecordOutcomes = "outcomes"
)

// Intent proposes an incarnation as the home of a key without a ticket.
type Intent struct {
	Key  Key    `msgpack:"k"`
	Home string `msgpack:"h"`
}

// Intents holds the first intent of each key in log order. All readers agree on a key's home for as
// long as the log retains its first intent.
type Intents struct {
	homes map[Key]string
	begun map[Key]bool
	limit int
}

// NewIntents returns a set of intents for at most limit keys.
func NewIntents(limit int) *Intents {
	return &Intents{homes: make(map[Key]string), begun: make(map[Key]bool), limit: limit}
}

// Add applies an intent; only the first of a key counts.
func (i *Intents) Add(intent Intent) {
	if _, ok := i.homes[intent.Key]; !ok && len(i.homes) < i.limit {
		i.homes[intent.Key] = intent.Home
	}
}

// Begin reports whether the home may begin the key's work: the key was decided for it and has not begun before.
func (i *Intents) Begin(key Key, home string) bool {
	if i.homes[key] != home || i.begun[key] {
		return false
	}
	i.begun[key] = true
	return true
}

// Home returns the home of a key and whether it is decided.
func (i *Intents) Home(key Key) (string, bool) {
	home, ok := i.homes[key]
	return home, ok
}

// Size returns the number of keys held.
func (i *Intents) Size() int {
	return len(i.homes)
}

// decodeEntry decodes a record and passes each of its intents to addIntent and each outcome to addOutcome.
// Records that cannot be decoded are skipped.
func decodeEntry(entry jaylog.Entry, addIntent func(Intent), addOutcome func(KeyOutcome)) {
	switch entry.Record.Kind {
	case RecordIntents:
		var list []Intent
		if msgpack.Unmarshal(entry.Record.Body, &list) == nil {
			for _, i := range list {
				addIntent(i)
			}
		}
	case RecordOutcomes:
		var list []KeyOutcome
		if msgpack.Unmarshal(entry.Record.Body, &list) == nil {
			for _, r := range list {
				addOutcome(r)
			}
		}
	}
}
