package jayconfig

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// Snapshot is a state in the serializable form that is written to checkpoints and sent to peers.
type Snapshot struct {
	Format int `msgpack:"v"`
	// Position is the offset of the first record that is not in the snapshot.
	Position int64     `msgpack:"p"`
	Objects  []Object  `msgpack:"o"`
	Verdicts []Verdict `msgpack:"d"`
}

// DecodeSnapshot decodes a snapshot and checks its format version.
func DecodeSnapshot(body []byte) (Snapshot, error) {
	var snapshot Snapshot
	if err := msgpack.Unmarshal(body, &snapshot); err != nil {
		return Snapshot{}, jayerror.Wrap("snapshot", KindInvalid, err)
	}
	if snapshot.Format > Format {
		return Snapshot{}, jayerror.Newf("snapshot", KindFormat, "snapshot format %d is newer than the supported format %d", snapshot.Format, Format)
	}
	return snapshot, nil
}

// Encode encodes the snapshot.
func (s Snapshot) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return nil, jayerror.Wrap("snapshot", KindInvalid, err)
	}
	return body, nil
}

// State returns the state contained in the snapshot.
func (s Snapshot) State() (*State, error) {
	state := &State{position: s.Position, objects: make(map[Name]Object, len(s.Objects)), verdicts: s.Verdicts}
	for _, o := range s.Objects {
		spec, err := decodeFields(o.Name, o.Fields)
		if err != nil {
			return nil, jayerror.Wrap("snapshot", KindInvalid, err)
		}
		o.spec = spec
		state.objects[o.Name] = o
	}
	return state, nil
}

// Snapshot returns the state in its serializable form.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Format: Format, Position: s.position, Objects: s.Objects(), Verdicts: s.verdicts}
}
