package jayini

import (
	"gopkg.in/ini.v1"

	"jayfield.example/jay/jayerror"
)

// Section is a named group of keys.
type Section struct {
	// File is the name used in faults.
	File string
	// Name is the text between the brackets.
	Name string
	// Line is the line of the header.
	Line int
	// Keys are in the order of the file.
	Keys []Key
}

// Key is a key of a section with its value.
type Key struct {
	Name, Value string
	Line        int
}

// Field tells how a key of a section is read.
type Field struct {
	// Name is the key.
	Name string
	// Required refuses a section without the key.
	Required bool
	// Set checks and stores the value.
	Set func(value string) error
}

func newSection(file string, s *ini.Section, lines map[position]int) (Section, error) {
	section := Section{File: file, Name: s.Name(), Line: lines[position{section: s.Name()}]}
	for _, k := range s.Keys() {
		line := lines[position{section: s.Name(), key: k.Name()}]
		key := Key{Name: k.Name(), Value: k.Value(), Line: line}
		section.Keys = append(section.Keys, key)
		if len(k.ValueWithShadows()) > 1 {
			return section, section.fault("parse", KindDuplicate, k.Name(), "key appears twice; keep one")
		}
	}
	return section, nil
}

// Decode hands each key to its field and refuses unknown and missing keys.
func (s Section) Decode(fields ...Field) error {
	for _, key := range s.Keys {
		field, ok := fieldOf(fields, key.Name)
		if !ok {
			return s.fault("decode", KindUnknown, key.Name, "unknown key; accepted: "+names(fields))
		}
		if err := field.Set(key.Value); err != nil {
			return s.fault("decode", KindValue, key.Name, err.Error())
		}
	}
	for _, field := range fields {
		if _, ok := s.Value(field.Name); field.Required && !ok {
			return s.fault("decode", KindMissing, field.Name, "key is missing; add it to the section")
		}
	}
	return nil
}

// Fault returns an error at a key of the section, or at its header where key is empty.
func (s Section) Fault(kind Kind, key, reason string) error {
	return s.fault("check", kind, key, reason)
}

// Value returns the value of a key and whether it is there.
func (s Section) Value(name string) (string, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k.Value, true
		}
	}
	return "", false
}

func (s Section) fault(op string, kind Kind, key, reason string) error {
	f := &FaultError{File: s.File, Line: s.Line, Section: s.Name, Key: key, Reason: reason}
	for _, k := range s.Keys {
		if k.Name == key {
			f.Line = k.Line
		}
	}
	return jayerror.Wrap(op, kind, f)
}

func fieldOf(fields []Field, name string) (Field, bool) {
	for _, f := range fields {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

func names(fields []Field) string {
	var list string
	for i, f := range fields {
		if i > 0 {
			list += ", "
		}
		list += f.Name
	}
	return list
}
