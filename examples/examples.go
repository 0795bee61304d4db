// Package dgexamples embeds the example deployment texts of this folder, for the
// commands and for tests.
package dgexamples

import _ "embed" // for go:embed

// Kelani is the text of kelani.ini.
//
//go:embed kelani.ini
var Kelani string

// Stejar is the text of stejar.ini.
//
//go:embed stejar.ini
var Stejar string
