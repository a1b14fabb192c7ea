// Package jayconfig manages the operators' configuration: a set of named objects that
// every instance computes from the log with the same deterministic reducer.
package jayconfig

import (
	"strings"
)

// Class is the type of an object.
type Class string

// Classes of objects.
const (
	ClassUpstream Class = "upstream"
	ClassService  Class = "service"
	ClassRoute    Class = "route"
	ClassCaller   Class = "caller"
	ClassPlan     Class = "plan"
)

// Name identifies an object. It is written as "class name" in the section header.
type Name struct {
	Class Class  `msgpack:"c"`
	Name  string `msgpack:"n"`
}

// ParseName parses a section header into an object name. It returns false if the name is missing.
func ParseName(section string) (Name, bool) {
	class, name, ok := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	return Name{Class: Class(class), Name: name}, ok && name != ""
}

// String returns the name as written in the section header.
func (n Name) String() string {
	return string(n.Class) + " " + n.Name
}

// Field is one key and value of an object, as the operator wrote them.
type Field struct {
	Key   string `msgpack:"k"`
	Value string `msgpack:"v"`
}

// Object is a named configuration object at one version.
type Object struct {
	Name Name `msgpack:"n"`
	// Version is the offset of the record that last changed the object, plus one.
	Version int64 `msgpack:"v"`
	// Fields are in the order in which the operator wrote them.
	Fields []Field `msgpack:"f"`
	spec   Spec
}

// Spec returns the validated content of the object.
func (o Object) Spec() Spec {
	return o.spec
}

// Text formats the object as a section of a document, without its version.
func (o Object) Text() string {
	var b strings.Builder
	b.WriteString("[" + o.Name.String() + "]\n")
	for _, f := range o.Fields {
		b.WriteString(f.Key + " = " + f.Value + "\n")
	}
	return b.String()
}
