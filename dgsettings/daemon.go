package dgsettings

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Daemon holds the settings of the daemon on one VM, as read from its INI text.
type Daemon struct {
	VM   dandeliongap.VMName
	Zone dandeliongap.ZoneName
	// CallerListen and PeerListen are the "IP:port" that the daemon binds.
	CallerListen string
	PeerListen   string
	// CallerAnnounce and PeerAnnounce are the "IP:port" that callers and other VMs
	// connect to. They default to the listen addresses.
	CallerAnnounce string
	PeerAnnounce   string
	Platform       string   // "host:port" of the platform's HTTP API
	Seeds          []string // peer addresses "IP:port" of other VMs, used to start while the platform is down
	OperatorToken  Token
	LogLevel       string // debug, info, warn or error
	Limits         Limits
	Shutdown       time.Duration // time limit of a graceful shutdown
	ClockSkew      time.Duration // largest accepted difference between clocks
}

// Limits holds the limits that the listeners of a daemon enforce.
type Limits struct {
	BodyBytes   int // body of one request
	HeaderBytes int // all headers of one request
	Connections int // concurrently open connections per listener
	Requests    int // concurrent requests of callers
}

// Token is a secret. It formats as a placeholder, so that no log line contains it.
type Token string

// String returns a placeholder for the secret.
func (Token) String() string { return "[secret]" }

// GoString keeps the secret out of output formatted with %#v.
func (Token) GoString() string { return "[secret]" }

// DefaultDaemon returns the default settings. Fields without a fixed default are
// empty.
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
