package main

import (
	_ "embed" // for the files with the platform's names
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// The files with the platform's names, which stay out of the code.
var (
	//go:embed wire.json
	wireText []byte
	//go:embed server.json
	registrationText string
	//go:embed quota.json
	quotaConfig []byte
	//go:embed stray.json
	strayConfig []byte
	//go:embed lift-1.json
	liftBefore []byte
	//go:embed lift-2.json
	liftAfter []byte
	//go:embed unreadable.json
	unreadableConfig []byte
)

// names holds the names of headers, fields and paths of the platform.
type names struct {
	RequestID, Account, Deadline, Stamp, ExpectedInstance, NotRun string // headers
	Objects, Ready                                                string // paths
	Revision, More, Wait                                          string // fields of the store
}

var wire = parseNames()

func parseNames() (n names) {
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}

// registration returns what a server writes into the store.
func registration(service string, ln net.Listener, zone string, slots int) json.RawMessage {
	return json.RawMessage(strings.TrimSpace(fmt.Sprintf(registrationText, service, ln.Addr(), zone, slots, time.Now().UnixMilli())))
}

// newRequest returns a request of a client with its own id.
func newRequest(method, url, id, deadlineMs, body string) *http.Request {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is ours
	}
	req.Host = "h.example"
	req.Header.Set(wire.RequestID, id)
	req.Header.Set(wire.Deadline, deadlineMs)
	return req
}
