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

// Intents holds the intents of keys in log order, for as long as the log keeps them. The first one of a key that the log
// keeps counts, so that all readers agree on a key's home, also those that begin to read later.
type Intents struct {
	// log holds the intents in log order, byKey those of each key.
	log   []loggedIntent
	byKey map[Key][]loggedIntent
	begun map[Key]bool
	limit int
}

// loggedIntent is an intent and the offset of its record.
type loggedIntent struct {
	Intent

	offset int64
}

// NewIntents returns a set of at most limit intents.
func NewIntents(limit int) *Intents {
	return &Intents{byKey: make(map[Key][]loggedIntent), begun: make(map[Key]bool), limit: limit}
}

// Add applies an intent of the record at an offset. Trim must be called after the intents of a batch.
func (i *Intents) Add(offset int64, intent Intent) {
	logged := loggedIntent{Intent: intent, offset: offset}
	i.log = append(i.log, logged)
	i.byKey[intent.Key] = append(i.byKey[intent.Key], logged)
}

// Trim drops the intents of records before the oldest one that the log keeps, and the newest beyond the limit. If a later
// intent of a key is left, its home may not begin the work, which an earlier home may have begun. For this rule, intents
// that were appended while the log kept an earlier one of their key have to be added before that one is dropped.
func (i *Intents) Trim(oldest int64) {
	for len(i.log) > 0 && i.log[0].offset < oldest {
		key := i.log[0].Key
		i.log = i.log[1:]
		if i.byKey[key] = i.byKey[key][1:]; len(i.byKey[key]) > 0 {
			i.begun[key] = true
			continue
		}
		delete(i.byKey, key)
		delete(i.begun, key)
	}
	for len(i.log) > i.limit {
		last := len(i.log) - 1
		key := i.log[last].Key
		i.log = i.log[:last]
		if i.byKey[key] = i.byKey[key][:len(i.byKey[key])-1]; len(i.byKey[key]) == 0 {
			delete(i.byKey, key)
		}
	}
}

// Begin reports whether the home may begin the key's work: the key was decided for it and has not begun before.
func (i *Intents) Begin(key Key, home string) bool {
	if decided, ok := i.Home(key); !ok || decided != home || i.begun[key] {
		return false
	}
	i.begun[key] = true
	return true
}

// Home returns the home of a key and whether it is decided.
func (i *Intents) Home(key Key) (string, bool) {
	list := i.byKey[key]
	if len(list) == 0 {
		return "", false
	}
	return list[0].Home, true
}

// Size returns the number of intents held.
func (i *Intents) Size() int {
	return len(i.log)
}

// decodeEntry decodes a record and passes each of its intents to addIntent and each outcome to addOutcome.
// Records that cannot be decoded are skipped.
func decodeEntry(entry jaylog.Entry, addIntent func(int64, Intent), addOutcome func(KeyOutcome)) {
	switch entry.Record.Kind {
	case RecordIntents:
		var list []Intent
		if msgpack.Unmarshal(entry.Record.Body, &list) == nil {
			for _, i := range list {
				addIntent(entry.Offset, i)
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
