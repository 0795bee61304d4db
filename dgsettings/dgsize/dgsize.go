// Package dgsize checks that a text is not larger than the platform can store.
package dgsize

import (
	"bytes"
	"fmt"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

// MaxBytes is the largest size of a text. The whole text is stored as one value, and
// this is the largest value that the platform's object API accepts.
const MaxBytes = 1 << 20

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "size",
	Title: "The text has at most 1,048,576 bytes",
	Text: "The platform stores values of at most one megabyte, and the whole text is one value. " +
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
