// Package dgexamples holds the example texts of this folder, for the demo and
// for tests.
package dgexamples

import _ "embed" // the example texts

// Kelani is examples/kelani.ini.
//
//go:embed kelani.ini
var Kelani string

// Stejar is examples/stejar.ini.
//
//go:embed stejar.ini
var Stejar string
