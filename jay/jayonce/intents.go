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

// Intent says which incarnation wants to be the home of a key without a ticket.
type Intent struct {
	Key  Key    `msgpack:"k"`
	Home string `msgpack:"h"`
}

// Intents are the first intents of keys, by log order. All readers agree on a key's home for as
// long as the log keeps its first intent.
type Intents struct {
	homes map[Key]string
	begun map[Key]bool
	limit int
}

// NewIntents returns intents of at most limit keys.
func NewIntents(limit int) *Intents {
	return &Intents{homes: make(map[Key]string), begun: make(map[Key]bool), limit: limit}
}

// Add takes in an intent; the first of a key wins.
func (i *Intents) Add(intent Intent) {
	if _, ok := i.homes[intent.Key]; !ok && len(i.homes) < i.limit {
		i.homes[intent.Key] = intent.Home
	}
}

// Begin reports whether the home may begin the key's work: it is the winner and has not begun before.
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

// Size returns the number of keys kept.
func (i *Intents) Size() int {
	return len(i.homes)
}

// decodeEntry hands the content of a record over.
func decodeEntry(entry jaylog.Entry, intent func(Intent), outcome func(Recorded)) {
	switch entry.Record.Kind {
	case RecordIntents:
		var list []Intent
		if msgpack.Unmarshal(entry.Record.Body, &list) == nil {
			for _, i := range list {
				intent(i)
			}
		}
	case RecordOutcomes:
		var list []Recorded
		if msgpack.Unmarshal(entry.Record.Body, &list) == nil {
			for _, r := range list {
				outcome(r)
			}
		}
	}
}
