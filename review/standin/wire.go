package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// wireText holds the names and message formats of the platform's pages.
//
//go:embed wire.json
var wireText []byte

var wire = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(wireText, &m); err != nil {
		panic(err)
	}
	return m
}()

// message fills in a message format. pairs alternates names and values.
func message(format string, pairs ...string) string {
	var r []string
	for i := 0; i+1 < len(pairs); i += 2 {
		r = append(r, "@"+pairs[i], pairs[i+1])
	}
	return strings.NewReplacer(r...).Replace(wire[format])
}

// Names of headers. Header names are not case-sensitive.
const (
	headerID       = "x-request-id"
	headerDeadline = "x-deadline-ms"
	headerExpected = "x-expected-instance"
	headerStamp    = "x-server-stamp"
	headerNotRun   = "x-not-executed"
	headerInstance = "x-instance-id"
)
