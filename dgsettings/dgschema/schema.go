// Package dgschema holds the tables of sections and keys of the project's texts,
// and reads single values.
package dgschema

// Schema lists the sections of one kind of text.
type Schema struct {
	Sections []SectionRule
}

// Deployment is the schema of deployment texts.
var Deployment = &Schema{}

// Daemon is the schema of daemon settings.
var Daemon = &Schema{}

// SectionRule describes one kind of section.
type SectionRule struct{ Kind string }
