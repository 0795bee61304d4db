// Package dgexamples embeds the example deployment texts of this folder.
package dgexamples

import _ "embed" // the example texts

// Kelani is the text of kelani.ini.
//
//go:embed kelani.ini
var Kelani string

// Stejar is the text of stejar.ini.
//
//go:embed stejar.ini
var Stejar string
