// Package dgtext parses an INI text into sections and keys with their line numbers.
//
// The INI library gives no line numbers. This package therefore has its own scanner
// and parses the text with the library too; a difference between the two results
// is a fault. Rules of the scanner:
//
//  1. A line that is blank or starts with "#" or ";" is skipped.
//  2. "[KIND]" or "[KIND NAME]" starts a section; only a comment may follow.
//  3. "key = value" belongs to the section above it. The value ends before " #"
//     or " ;", which start a comment.
//  4. Syntax that the library would continue on the next line or replace by
//     another value is a fault: quotes, back quotes, variables "%(name)s", the
//     key "-", which the library replaces by a number, empty values and values
//     that start with a comment sign.
//  5. If rules 1 to 4 find no fault, the library's sections, keys and values must
//     equal those of the scanner.
//
// The messages of this package never quote a value, because a value can be a secret.
package dgtext

import (
	"strings"
	"unicode"

	"gopkg.in/ini.v1"
)

// Document is a parsed text. Its sections and their keys are in the order of the
// text.
type Document struct {
	Sections     []*Section
	SyntaxFaults Report // invalid lines, and differences from the INI library
}

// Section is one section of a text.
type Section struct {
	Line int
	Kind string // first word between the brackets, empty if there is none or no closing bracket
	Name string // the other words between the brackets, empty if there are none
	Keys []Key
	raw  string // text between the brackets, which the library uses as the name of the section
	// firstIndex maps each name to the index of its first key. It avoids linear searches,
	// because thousands of services may look up keys in one long defaults section.
	firstIndex map[string]int
}

// Key is one "key = value" line.
type Key struct {
	Line  int
	Name  string // words separated by single spaces
	Value string // without comment and surrounding spaces
	raw   string // name as written in the text, which the library uses as the name of the key
}

// Header returns the section's header with single spaces.
func (s *Section) Header() string {
	if s.Name == "" {
		return "[" + s.Kind + "]"
	}
	return "[" + s.Kind + " " + s.Name + "]"
}

// Key returns the first key with the given name.
func (s *Section) Key(name string) (Key, bool) {
	i, ok := s.firstIndex[name]
	if !ok {
		return Key{}, false
	}
	return s.Keys[i], true
}

func (s *Section) add(key Key) {
	if s.firstIndex == nil {
		s.firstIndex = map[string]int{}
	}
	if _, ok := s.firstIndex[key.Name]; !ok {
		s.firstIndex[key.Name] = len(s.Keys)
	}
	s.Keys = append(s.Keys, key)
}

// SectionsOfKind returns the sections of one kind, in the order of the text.
func (d *Document) SectionsOfKind(kind string) []*Section {
	var found []*Section
	for _, s := range d.Sections {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

// Parse parses a text, which must be valid UTF-8. Faults are reported in
// SyntaxFaults.
func Parse(text []byte) *Document {
	d := &Document{}
	line := 0
	for raw := range strings.Lines(strings.TrimPrefix(string(text), byteOrderMark)) {
		line++
		d.addLine(line, strings.TrimSpace(raw))
	}
	if len(d.SyntaxFaults) == 0 {
		d.compareWithLibrary(text)
	}
	return d
}

const byteOrderMark = "\ufeff"

func (d *Document) addLine(line int, s string) {
	switch {
	case s == "" || isComment(s):
	case s[0] == '[':
		d.addSection(line, s)
	default:
		d.addKey(line, s)
	}
}

// addSection starts a section even if the header is invalid, so that its keys are
// not added to the section above.
func (d *Document) addSection(line int, s string) {
	section := &Section{Line: line}
	d.Sections = append(d.Sections, section)
	end := strings.LastIndexByte(s, ']')
	if end < 0 {
		d.SyntaxFaults.Add(line, "the section header has no closing bracket")
		return
	}
	section.raw = s[1:end]
	section.Kind, section.Name, _ = strings.Cut(collapseSpaces(section.raw), " ")
	switch rest := strings.TrimSpace(s[end+1:]); {
	case strings.ContainsAny(section.raw, "[]"):
		d.SyntaxFaults.Add(line, "a section name must not contain brackets")
	case section.Kind == "":
		d.SyntaxFaults.Add(line, "the section header is empty")
	case rest != "" && !isComment(rest):
		d.SyntaxFaults.Add(line, "only a comment may follow a section header")
	}
}

func (d *Document) addKey(line int, s string) {
	name, rest, found := strings.Cut(s, "=")
	key := Key{Line: line, Name: collapseSpaces(name), Value: trimComment(rest), raw: strings.TrimSpace(name)}
	switch {
	case !found:
		d.SyntaxFaults.Add(line, "neither a section, a key with a value nor a comment; write KEY = VALUE")
	case key.Name == "":
		d.SyntaxFaults.Add(line, "there is no key before the equals sign")
	case key.Name == "-" || strings.ContainsAny(key.Name, "\"`"):
		d.SyntaxFaults.Add(line, "a key is written in words, without quotes")
	case len(d.Sections) == 0:
		d.SyntaxFaults.Add(line, "the key %q comes before the first section", key.Name)
	case key.Value == "":
		d.SyntaxFaults.Add(line, "the key %q has no value", key.Name)
	case strings.ContainsAny(key.Value[:1], "\"'`"):
		d.SyntaxFaults.Add(line, "the value of %q starts with a quote; write values without quotes", key.Name)
	case isComment(key.Value):
		d.SyntaxFaults.Add(line, "the value of %q starts with a comment sign", key.Name)
	case strings.Contains(key.Value, "%("):
		d.SyntaxFaults.Add(line, "the value of %q contains a variable; variables are not supported", key.Name)
	default:
		d.Sections[len(d.Sections)-1].add(key)
	}
}

func collapseSpaces(s string) string { return strings.Join(strings.Fields(s), " ") }

func isComment(s string) bool { return s[0] == '#' || s[0] == ';' }

// trimComment removes a trailing comment and the surrounding spaces from the part
// of a line after the equals sign. It keeps a comment sign at the start, which addKey
// reports.
func trimComment(s string) string {
	s = strings.TrimFunc(s, unicode.IsSpace)
	for i := 1; i < len(s); i++ {
		if s[i-1] == ' ' && isComment(s[i:]) {
			return strings.TrimSpace(s[:i])
		}
	}
	return s
}

// compareWithLibrary reports differences between the scanner and the library, as
// rule 5 of the package comment requires. For a key that occurs more than once, the
// library keeps the last value.
func (d *Document) compareWithLibrary(text []byte) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// By default, the library looks up a key that [a.b] lacks in [a]. No section name
		// contains a newline, so this delimiter turns the lookup off.
		ChildSectionDelimiter: "\n",
	}, text)
	if err != nil {
		d.SyntaxFaults.Add(1, "the INI library does not accept the text")
		return
	}
	scanned := d.lastKeys()
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			id := [2]string{section.Name(), key.Name()}
			if _, ok := scanned[id]; !ok {
				d.SyntaxFaults.Add(1, "the INI library finds a key %q that the scanner does not find", key.Name())
				continue
			}
			if scanned[id].Value != key.Value() {
				d.SyntaxFaults.Add(scanned[id].Line, "the INI library reads another value of %q", key.Name())
			}
			delete(scanned, id)
		}
	}
	for _, key := range scanned {
		d.SyntaxFaults.Add(key.Line, "the INI library does not find the key %q", key.Name)
	}
	for _, section := range d.Sections {
		if !file.HasSection(section.raw) {
			d.SyntaxFaults.Add(section.Line, "the INI library does not find the section %s", section.Header())
		}
	}
}

// lastKeys returns the last key of each name in each section, indexed by the names of
// section and key as written in the text.
func (d *Document) lastKeys() map[[2]string]Key {
	last := map[[2]string]Key{}
	for _, section := range d.Sections {
		for _, key := range section.Keys {
			last[[2]string{section.raw, key.raw}] = key
		}
	}
	return last
}
