package jaystream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// Keepers is the number of instances that keep the record of a stream whose connection broke.
const Keepers = 2

// Message is what an instance sends to keepers.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // It sets the format.

	// Keep are records to keep.
	Keep []Group
	// Ask are the keys of streams of which the records are asked for.
	Ask []Key
}

// Kept is the reply to a Message.
type Kept struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // It sets the format.

	Groups []Group
	// Ambiguous are the keys under which several versions began streams.
	Ambiguous []Key
}

// EncodePeer returns a Message or a Kept as it is sent. The content is wrapped in a byte string, which instances of a former
// release refuse, rather than take it for another message.
func EncodePeer(value any) ([]byte, error) {
	content, err := msgpack.Marshal(value)
	if err == nil {
		content, err = msgpack.Marshal(content)
	}
	if err != nil {
		return nil, jayerror.Wrap("keep", KindFormat, err)
	}
	return content, nil
}

// DecodePeer decodes what EncodePeer returned.
func DecodePeer(body []byte, value any) error {
	var content []byte
	err := msgpack.Unmarshal(body, &content)
	if err == nil {
		err = msgpack.Unmarshal(content, value)
	}
	if err != nil {
		return jayerror.Wrap("keep", KindFormat, err)
	}
	return nil
}

// KeepersOf returns the keepers of a stream among instances, the first by rendezvous hashing. It does not change the list.
func KeepersOf(key Key, instances []string) []string {
	type ranked struct {
		id     string
		weight uint64
	}
	var first []ranked
	for _, id := range instances {
		first = append(first, ranked{id, xxhash.Sum64(append(key[:], id...))})
		slices.SortFunc(first, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
		})
		first = first[:min(len(first), Keepers)]
	}
	ids := make([]string, 0, Keepers)
	for _, r := range first {
		ids = append(ids, r.id)
	}
	return ids
}

// Broken returns the record of a stream of this instance that its caller may take up at another one, and whether keepers
// are to have it: several versions are in play, and one of them alone began streams under the attempt.
func (t *Table) Broken(now time.Time, name, attempt string) (Group, bool) {
	key := NewKey(name, attempt)
	s := t.own[key]
	if s == nil || s.ambiguous || len(t.inPlay(now, s.service)) < 2 {
		return Group{}, false
	}
	return Group{Service: s.service, Version: s.version, Streams: []Key{key}}, true
}

// Answer returns what the instance knows of streams.
func (t *Table) Answer(keys []Key) Kept {
	var kept Kept
	for _, key := range keys {
		switch s, _ := t.findKey(key); {
		case s == nil:
		case s.ambiguous:
			kept.Ambiguous = append(kept.Ambiguous, key)
		default:
			kept.Groups = append(kept.Groups, Group{Service: s.service, Version: s.version, Streams: []Key{key}})
		}
	}
	return kept
}

// Keep processes records that another instance sent. Unlike those of the log, they say nothing of the versions in play.
func (t *Table) Keep(now time.Time, kept Kept) {
	for _, g := range kept.Groups {
		for _, key := range g.Streams {
			t.remember(now, key, g, true)
		}
	}
	for _, key := range kept.Ambiguous {
		t.remember(now, key, Group{}, true)
		t.read[key].ambiguous = true
	}
}
