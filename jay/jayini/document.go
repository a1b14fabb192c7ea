// Package jayini reads strict INI documents: it refuses duplicates, unknown
// sections and unknown keys, and names the line of each fault.
package jayini

import (
	"strings"

	"gopkg.in/ini.v1"

	"jayfield.example/jay/jayerror"
)

// Document is a parsed INI file.
type Document struct {
	// File is the name used in faults.
	File string
	// Sections are in the order of the file.
	Sections []Section
}

// Parse reads text and refuses duplicate sections and keys.
func Parse(file, text string) (*Document, error) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return nil, jayerror.Wrap("parse", KindSyntax, &FaultError{File: file, Reason: err.Error()})
	}
	lines := locate(text)
	doc := &Document{File: file}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		section, err := newSection(file, s, lines)
		if err != nil {
			return nil, err
		}
		if doc.has(section.Name) {
			return nil, section.fault("parse", KindDuplicate, "", "section appears twice; merge the two")
		}
		doc.Sections = append(doc.Sections, section)
	}
	return doc, nil
}

func (d *Document) has(name string) bool {
	for _, s := range d.Sections {
		if s.Name == name {
			return true
		}
	}
	return false
}

// position is the place of a section or key within the text.
type position struct {
	section, key string
}

// locate maps each section and key to its first line, which the parser does not report.
func locate(text string) map[position]int {
	lines := make(map[position]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		var at position
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			at = position{section: section}
		default:
			key, _, _ := strings.Cut(line, "=")
			at = position{section: section, key: strings.TrimSpace(key)}
		}
		if _, ok := lines[at]; !ok {
			lines[at] = i + 1
		}
	}
	return lines
}
