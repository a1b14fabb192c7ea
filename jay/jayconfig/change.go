package jayconfig

import (
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayini"
)

// Format is the version of the reducer's rules. An instance stops at a record with a newer format and keeps its last state.
const Format = 1

// Keys of a section that control the publish and are not fields of the object.
const (
	keyVersion = "version"
	keyDelete  = "delete"
)

// Change replaces or deletes one object.
type Change struct {
	Name Name `msgpack:"n"`
	// Base is the version of the object that the change is based on; 0 means that the object is new.
	Base   int64   `msgpack:"b"`
	Delete bool    `msgpack:"d"`
	Fields []Field `msgpack:"f"`
}

// Publish is the body of a record that changes a set of objects atomically.
type Publish struct {
	Format   int      `msgpack:"v"`
	Operator string   `msgpack:"op"`
	Changes  []Change `msgpack:"c"`
}

// ParsePublish parses and validates an operator's document.
func ParsePublish(file, text string) (Publish, error) {
	doc, err := jayini.Parse(file, text)
	if err != nil {
		return Publish{}, jayerror.Wrap("publish", KindInvalid, err)
	}
	publish := Publish{Format: Format}
	for _, section := range doc.Sections {
		change, err := parseChange(section)
		if err != nil {
			return Publish{}, jayerror.Wrap("publish", KindInvalid, err)
		}
		publish.Changes = append(publish.Changes, change)
	}
	if len(publish.Changes) == 0 {
		return Publish{}, jayerror.New("publish", KindInvalid, file+": document has no sections; add one such as [route NAME]")
	}
	return publish, nil
}

// Encode encodes the publish as the body of a record.
func (p Publish) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(&p)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindInvalid, err)
	}
	return body, nil
}

// WithBases returns a copy of the publish that is rebased on the object versions that version
// returns, such as those in force.
func (p Publish) WithBases(version func(Name) int64) Publish {
	changes := make([]Change, len(p.Changes))
	for i, c := range p.Changes {
		c.Base = version(c.Name)
		changes[i] = c
	}
	p.Changes = changes
	return p
}

// WithOperator returns a copy of the publish with the operator's name set.
func (p Publish) WithOperator(name string) Publish {
	p.Operator = name
	return p
}

func parseChange(section jayini.Section) (Change, error) {
	name, ok := ParseName(section.Name)
	if !ok {
		return Change{}, section.Fault(jayini.KindSyntax, "", "section is not named [class name]")
	}
	change := Change{Name: name}
	object := section
	object.Keys = nil
	for _, key := range section.Keys {
		switch key.Name {
		case keyVersion:
			base, err := strconv.ParseInt(key.Value, 10, 64)
			if err != nil || base < 0 {
				return Change{}, section.Fault(jayini.KindValue, key.Name, "not a version number; use the one printed by jayfield get")
			}
			change.Base = base
		case keyDelete:
			if key.Value != "yes" && key.Value != "no" {
				return Change{}, section.Fault(jayini.KindValue, key.Name, strconv.Quote(key.Value)+" is not yes or no")
			}
			change.Delete = key.Value == "yes"
		default:
			object.Keys = append(object.Keys, key)
			change.Fields = append(change.Fields, Field{Key: key.Name, Value: key.Value})
		}
	}
	if change.Delete {
		return change, nil
	}
	_, err := decodeSpec(object, name)
	return change, err
}

func decodeSpec(section jayini.Section, name Name) (Spec, error) {
	spec, err := newSpec(name.Class)
	if err != nil {
		return nil, section.Fault(jayini.KindUnknown, "", err.Error())
	}
	return spec, section.Decode(spec.fields()...)
}

// decodeFields validates the fields of an object read from a record and returns its spec.
func decodeFields(name Name, fields []Field) (Spec, error) {
	section := jayini.Section{File: "record", Name: name.String()}
	for _, f := range fields {
		section.Keys = append(section.Keys, jayini.Key{Name: f.Key, Value: f.Value})
	}
	return decodeSpec(section, name)
}
