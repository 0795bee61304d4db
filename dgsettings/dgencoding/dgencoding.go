// Package dgencoding checks that a text is UTF-8 without control characters.
package dgencoding

import (
	"bytes"
	_ "embed" // for the example
	"fmt"
	"unicode"
	"unicode/utf8"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "encoding",
	Title: "The text is UTF-8 without control characters",
	Text: "A file that an editor saved in another encoding, or that is not text at all, can contain other names " +
		"than its author saw. Control characters other than tab and line end, and byte order marks other than one at " +
		"the start, are not visible and therefore not accepted. Save the file as UTF-8.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

// run reports at most one fault per line, the first.
func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	text := bytes.TrimPrefix(in.Text, []byte("\ufeff"))
	line := 0
	for raw := range bytes.Lines(text) {
		line++
		if message := checkLine(raw); message != "" {
			report.Add(line, "%s", message)
		}
	}
	return report
}

// checkLine returns the message of the first fault of a line, or "" if there is none.
// A carriage return is valid only as part of the line end.
func checkLine(line []byte) string {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	for i := 0; i < len(line); {
		r, size := utf8.DecodeRune(line[i:])
		switch {
		case r == utf8.RuneError && size == 1:
			return fmt.Sprintf("byte 0x%02x at position %d is not UTF-8", line[i], i+1)
		case r != '\t' && unicode.IsControl(r) || r == '\ufeff':
			return fmt.Sprintf("character %U at position %d is not accepted", r, i+1)
		}
		i += size
	}
	return ""
}
