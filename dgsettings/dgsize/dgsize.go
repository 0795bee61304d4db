// Package dgsize checks the size of a text.
package dgsize

import (
	"bytes"
	"fmt"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

// MaxBytes is the largest text, which is the largest value that the platform's
// object API holds.
const MaxBytes = 1 << 20

// Check is the table entry.
var Check = dgschema.Check{
	Name:  "size",
	Title: "The text has at most 1,048,576 bytes",
	Text: "The platform holds values of at most one megabyte, and the whole text is one value. " +
		"Move keys that services share to a [defaults NAME] section.",
	Since:   "0.1",
	Example: "A text of 1,048,577 bytes. The fault names the line of the first byte over the limit.\n",
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	if len(in.Text) <= MaxBytes {
		return nil
	}
	return []dgtext.Fault{{
		Line:    1 + bytes.Count(in.Text[:MaxBytes], []byte("\n")),
		Message: fmt.Sprintf("the text has %d bytes, which is over %d", len(in.Text), MaxBytes),
	}}
}
