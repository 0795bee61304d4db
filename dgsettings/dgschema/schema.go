// Package dgschema defines the sections and keys of deployment texts and daemon
// settings, and parses single values.
package dgschema

import (
	"regexp"

	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

// Kind is the type of a value.
type Kind uint8

// Types of values.
const (
	KindName          Kind = iota // lower-case letters, digits and "-"
	KindNames                     // names separated by commas
	KindCount                     // a whole number
	KindDuration                  // a whole number with us, ms, s or m
	KindSize                      // a whole number with B, KiB or MiB
	KindShare                     // a number with %
	KindYesNo                     // yes or no
	KindClass                     // urgent, ordinary or archive
	KindLevel                     // debug, info, warn or error
	KindAddress                   // IP:port
	KindListenAddress             // IP:port, where the IP may be unspecified: 0.0.0.0 or [::]
	KindAddresses                 // IP:port separated by commas
	KindHostPort                  // host:port, where the host is an IP or a name
	KindToken                     // printable ASCII without spaces
	KindReplica                   // IP:port in ZONE, or IP:port in ZONE leaving
)

// KeyRule describes one key. Min and Max are the limits of a count, of a duration in
// microseconds, of a size in bytes, of a share in thousandths of a percent, or of the
// number of characters of a token. Other kinds have no limits here.
type KeyRule struct {
	Name     string
	Kind     Kind
	Min, Max int64
	Required bool   // in a service, the key may also come from its defaults section
	Default  string // for documentation, as written in a text; dgsettings.DefaultDaemon holds the values in effect
	Text     string // meaning of the key
}

// SectionRule describes one kind of section.
type SectionRule struct {
	Kind     string
	Named    bool // the header is [KIND NAME] instead of [KIND]
	Required bool
	Keys     []KeyRule
	Text     string // meaning of the section
}

// Schema lists the sections of a deployment text or of daemon settings.
type Schema struct {
	Sections []SectionRule
}

// ReplicaKey is the name of the rule for the keys "replica 1", "replica 2" and
// so on.
const ReplicaKey = "replica N"

// The ordinal has no leading zero, so that there is only one way to write the key of
// a replica.
var replicaKeyPattern = regexp.MustCompile(`^replica ([1-9][0-9]{0,5})$`)

// ReplicaOrdinal returns the N of a key "replica N"; false for any other key.
func ReplicaOrdinal(key string) (string, bool) {
	m := replicaKeyPattern.FindStringSubmatch(key)
	if m == nil {
		return "", false
	}
	return m[1], true
}

// Section returns the rule for a kind of section, or nil if there is none.
func (s *Schema) Section(kind string) *SectionRule {
	for i := range s.Sections {
		if s.Sections[i].Kind == kind {
			return &s.Sections[i]
		}
	}
	return nil
}

// Key returns the rule for a key, or nil if there is none.
func (r *SectionRule) Key(name string) *KeyRule {
	if _, ok := ReplicaOrdinal(name); ok {
		name = ReplicaKey
	}
	for i := range r.Keys {
		if r.Keys[i].Name == name {
			return &r.Keys[i]
		}
	}
	return nil
}

// EachKey calls f for each key of the document that the schema defines.
func (in *Input) EachKey(f func(s *dgtext.Section, k dgtext.Key, rule *KeyRule)) {
	for _, section := range in.Document.Sections {
		rule := in.Schema.Section(section.Kind)
		if rule == nil {
			continue
		}
		for _, key := range section.Keys {
			if keyRule := rule.Key(key.Name); keyRule != nil {
				f(section, key, keyRule)
			}
		}
	}
}
