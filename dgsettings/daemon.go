package dgsettings

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Daemon holds the settings of one VM. Source: the daemon's INI text.
type Daemon struct {
	VM   dandeliongap.VMName
	Zone dandeliongap.ZoneName
	// CallerListen and PeerListen are the "IP:port" that the daemon binds.
	CallerListen string
	PeerListen   string
	// CallerAnnounce and PeerAnnounce are the "IP:port" that others connect to;
	// equal to the listen addresses unless the text says otherwise.
	CallerAnnounce string
	PeerAnnounce   string
	Platform       string   // "host:port" of the platform's HTTP API
	Seeds          []string // peer addresses "IP:port", for a start while the platform is down
	OperatorToken  Token
	LogLevel       string // debug, info, warn or error
	Limits         Limits
	Shutdown       time.Duration // time limit of a graceful shutdown
	ClockSkew      time.Duration // largest accepted difference between clocks
}

// Limits bounds what the listeners of a daemon accept.
type Limits struct {
	BodyBytes   int // of one request
	HeaderBytes int // of all headers of one request
	Connections int // open at the same time, per listener
	Requests    int // of callers, in flight at the same time
}

// Token is a secret. It prints as a placeholder so that no log line holds it.
type Token string

// String returns a placeholder.
func (Token) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Token) GoString() string { return "[secret]" }

// DefaultDaemon returns the values that apply where a text gives none. The keys
// that every text must give are empty.
func DefaultDaemon() Daemon {
	return Daemon{
		LogLevel: "info",
		Limits: Limits{
			BodyBytes:   2 << 20,
			HeaderBytes: 8 << 10,
			Connections: 1000,
			Requests:    1000,
		},
		Shutdown:  30 * time.Second,
		ClockSkew: 250 * time.Millisecond,
	}
}
