package dgsoak

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
)

// RequestID identifies a request of a caller.
type RequestID string

// Platform is a stand-in of the platform: its store, backend servers and callers. Its
// implementation knows the names and formats on the wire.
type Platform interface {
	// StoreAddress returns the address of the store, "IP:port".
	StoreAddress() string
	SetStoreFault(StoreFault)
	// ForgetHistory makes the store drop the changes that it holds for watches.
	ForgetHistory()
	// NumberEras makes the store number the times that it is restored.
	NumberEras()
	// CopyStore copies the state of the store. The function that it returns restores the
	// store from the copy: it is unavailable for a moment, and operators and backend servers
	// write again what they wrote since, within RewriteTime. The function returns when they
	// have done so. If passed is set, some write before the store answers again, and its
	// revisions pass those that it had.
	CopyStore() (restore func(passed bool))
	// Publish puts a configuration into the store, as operators do. It is accepted when
	// Publish returns.
	Publish(*dandeliongap.RouteConfig) error
	// Register writes or replaces the registration of a backend server.
	Register(dandeliongap.Instance) error
	Deregister(dandeliongap.InstanceID)
	// SetZoneOut takes a zone out of service or returns it.
	SetZoneOut(zone dandeliongap.ZoneName, out bool) error
	// Order writes an order to move the traffic of a service to a version until a deadline.
	Order(dandeliongap.ServiceName, dandeliongap.SoftwareVersion, time.Duration) error
	// Withdraw removes the order of a service.
	Withdraw(dandeliongap.ServiceName)
	// OrderStatus returns the status of the order of a service.
	OrderStatus(dandeliongap.ServiceName) dandeliongap.RolloutStatus
	// FailVersion makes a share of the requests to the servers of a version fail.
	FailVersion(version dandeliongap.SoftwareVersion, share float64)
	// RerouteGossip makes the registrations that VMs write from now on name the addresses
	// for gossip that the function returns for them.
	RerouteGossip(func(dandeliongap.VMName) string)
	// WriteOdd writes an entry among the registrations that names no backend server. n
	// selects the entry.
	WriteOdd(n int)
	// NewServer starts a backend server.
	NewServer(ServerOptions) (Server, error)
	// NewCaller returns a caller with connections of its own.
	NewCaller() Caller
	// Directory asks the VM at addr for the addresses of the VMs that accept callers.
	Directory(ctx context.Context, addr string) ([]string, error)
	// Ready reports whether the VM with the given address for readiness checks is ready.
	Ready(ctx context.Context, addr string) bool
	Close() error
}

// StoreFault is how the store misbehaves.
type StoreFault uint8

// Faults of the store.
const (
	StoreSound StoreFault = iota
	StoreRefuses
	StoreBusy // refuses because of its rate limit
	StoreSlow
	StoreSilent
	StoreLosesAnswers // of writes, which take effect
	StoreStale        // cheap lists show the state of when the fault began
	storeFaults       // number of faults
)

// ServerFault is how a backend server misbehaves.
type ServerFault uint8

// Faults of a backend server.
const (
	ServerSound ServerFault = iota
	ServerSlow
	ServerFails      // responds with a failure
	ServerHangsUp    // closes instead of a response
	ServerSilent     // no response until the caller closes
	ServerCutsHead   // closes in the middle of the head
	ServerCutsBody   // closes in the middle of a body with a length
	ServerCutsChunks // closes in the middle of a chunked body
	ServerEndlessHead
	ServerEndlessBody
	ServerGarbage    // bytes that are no response
	ServerExtraBytes // bytes after a whole response
	ServerRefuses    // refuses as not run
	ServerPauses     // refuses as not run and asks for a pause
	serverFaults     // number of faults
)

// ServerOptions describe a backend server.
type ServerOptions struct {
	Instance dandeliongap.Instance // without Address
	// Content returns the body of the response to a request.
	Content func(dandeliongap.ServiceName, RequestID) []byte
	// Work returns the time that a request takes; nil: none.
	Work func(dandeliongap.ServiceName, RequestID) time.Duration
	// Stamp returns the stamp of the response to a request.
	Stamp func(dandeliongap.InstanceID, dandeliongap.ServiceName, RequestID) string
	// Record is called with a request that was read, and again when more is known of it.
	Record func(Arrival)
	Now    func() dandeliongap.Instant
}

// RewriteTime is how long writers take to write again after the store was restored. The
// platform documents about two seconds.
const RewriteTime = 1800 * time.Millisecond

// PauseTime is the pause for which a server with the fault ServerPauses asks.
const PauseTime = 2500 * time.Millisecond

// Server is a backend server.
type Server interface {
	Address() string
	SetFault(ServerFault)
	// SetLeaving makes all responses say that the server is leaving.
	SetLeaving()
	Close() error
}

// Arrival is a request that a backend server has read.
type Arrival struct {
	Number   uint64 // the same in all records of this arrival, and in those of no other
	At       dandeliongap.Instant
	Request  RequestID
	Service  dandeliongap.ServiceName
	Instance dandeliongap.InstanceID
	Method   string
	Path     string
	Body     string
	Accounts []string // names of accounts that the head or the trailer states
	SawKey   bool     // the head or the trailer has a text with KeyPrefix
	Ran      bool
	// Misdirected reports that the request was for another instance and was refused.
	Misdirected bool

	AnsweredAt dandeliongap.Instant // 0: no response was sent yet
	Leaving    bool                 // the response said that the server is leaving
	Pause      time.Duration        // for which the response asked
}

// Request is a request of a caller.
type Request struct {
	ID       RequestID
	Method   string
	Host     string
	Path     string
	Body     string
	Deadline time.Duration
	Key      string // of an account; "": none
	Forge    Forge
}

// KeyPrefix begins every key, so that servers recognize keys wherever they appear.
const KeyPrefix = "soak-key-"

// ForgedAccount is the name of an account that callers state in vain.
const ForgedAccount = "forged"

// Forge is how a caller states the name of an account.
type Forge uint8

// Ways to state the name of an account.
const (
	ForgeNothing    Forge = iota
	ForgeHeader           // in the header that VMs set
	ForgeTwice            // in two of them, in other letter cases
	ForgeConnection       // in a header that Connection names
	ForgeUnderscore       // in a header with underscores in place of hyphens
	ForgeTrailer          // after the body, if there is one
	forges                // number of ways
)

// MissingUnreadable is the value of Response.Missing if the response states no number. It
// fits no configuration (K2).
const MissingUnreadable = -1

// Response is what a caller got. Status is 0 if no whole response arrived.
type Response struct {
	Status  int
	Stamps  []string // of the backend servers whose responses are in it
	Missing int      // number of shards that are not in it
	Body    []byte
	Err     error
}

// Promised reports whether the response promises that the request has not run.
func (r Response) Promised() bool {
	switch r.Status {
	case 401, 408, 421, 429, 503:
		return true
	}
	return false
}

// Caller sends requests, over connections that it keeps. It is not safe for concurrent
// use.
type Caller interface {
	// Send sends a request once to the VM at addr.
	Send(addr string, r Request) Response
	Close() error
}
