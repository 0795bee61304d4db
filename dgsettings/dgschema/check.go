package dgschema

import "dandeliongap.example/dandeliongap/dgsettings/dgtext"

// Check is one check of a text: its documentation and its code.
type Check struct {
	Name    string // as in faults and in "dandeliongap check --explain NAME"
	Title   string // one line
	Text    string // what is wrong, why it matters, what to do
	Since   string // first release that has the check
	Example string // a text with the fault
	// Run returns all faults of this kind.
	Run func(in *Input) []dgtext.Fault
}

// Input is what a check looks at.
type Input struct {
	Text     []byte
	Document *dgtext.Document // nil for the checks of bytes
	Schema   *Schema
}
