// Package dgsyntax checks that every line is a section header, a key with a
// value, a comment or blank. Package dgtext finds the faults while it parses.
package dgsyntax

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "syntax",
	Title: "Every line is a section, KEY = VALUE, a comment or blank",
	Text: "A line that is none of these would be ignored or read differently by different programs. " +
		"Values stand on one line and without quotes; a comment starts with # or ;, after a value with a space before it.",
	Since:   "0.1",
	Example: example,
	Run:     func(in *dgschema.Input) []dgtext.Fault { return in.Document.SyntaxFaults },
}
