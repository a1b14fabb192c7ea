// Package jayconfig holds the operators' configuration: named objects that
// every instance derives from the log by the same deterministic reducer.
package jayconfig

import (
	"strings"
)

// Class is the sort of an object.
type Class string

// Classes of objects.
const (
	ClassUpstream Class = "upstream"
	ClassService  Class = "service"
	ClassRoute    Class = "route"
	ClassCaller   Class = "caller"
	ClassPlan     Class = "plan"
)

// Name identifies an object; it is written "class name" between the brackets of its section.
type Name struct {
	Class Class  `msgpack:"c"`
	Name  string `msgpack:"n"`
}

// ParseName reads the name of a section.
func ParseName(section string) (Name, bool) {
	class, name, ok := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	return Name{Class: Class(class), Name: name}, ok && name != ""
}

// String returns the name as it is written between brackets.
func (n Name) String() string {
	return string(n.Class) + " " + n.Name
}

// Field is one key of an object as the operator wrote it.
type Field struct {
	Key   string `msgpack:"k"`
	Value string `msgpack:"v"`
}

// Object is a named part of the configuration at one version.
type Object struct {
	Name Name `msgpack:"n"`
	// Version is the offset of the record that made the object as it is.
	Version int64 `msgpack:"v"`
	// Fields are in the operator's order.
	Fields []Field `msgpack:"f"`
	spec   Spec
}

// Spec returns the checked content of the object.
func (o Object) Spec() Spec {
	return o.spec
}

// Text returns the object as a section of a document, with its version.
func (o Object) Text() string {
	var b strings.Builder
	b.WriteString("[" + o.Name.String() + "]\n")
	for _, f := range o.Fields {
		b.WriteString(f.Key + " = " + f.Value + "\n")
	}
	return b.String()
}
