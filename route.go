package dandeliongap

import (
	"context"
	"time"
)

// RouteName names a route of a routing configuration.
type RouteName string

// InstanceID names one run of a backend server process, as the server registered
// it.
type InstanceID string

// AccountName names a client account of a routing configuration.
type AccountName string

// KeyHash is the SHA-256 hash of a key.
type KeyHash [32]byte

// Account is a client account. Callers identify themselves by one of its keys. A
// configuration from the store has the keys, one from another VM their hashes.
type Account struct {
	Name        AccountName
	Keys        []string
	KeyHashes   []KeyHash
	Priority    int // 0 is the highest; only if HasPriority
	HasPriority bool
	Rate        float64 // requests per second, over all VMs together; 0: no limit
	Burst       float64 // requests beyond Rate that may arrive at once
}

// SoftwareVersion names a version of the software of backend servers.
type SoftwareVersion string

// ServiceWeight is the weight of one service in a traffic split.
type ServiceWeight struct {
	Service ServiceName
	Weight  float64
}

// Route tells to which services requests are forwarded, and within which limits.
// Exactly one of Service, Split and Shards is set.
type Route struct {
	Name             RouteName
	Host             string
	Prefix           string        // begins and ends with a slash
	Idempotent       bool          // requests may run more than once
	Timeout          time.Duration // maximum response time; 0: no limit
	LatencyObjective time.Duration // target response time; 0: none
	Priority         int           // 0 is the highest
	MaxAttempts      int           // maximum number of attempts per shard that reach a replica
	Service          ServiceName
	Split            []ServiceWeight
	Shards           []ServiceName
	TopK             int     // maximum number of records in a merged response
	MinCoverage      float64 // minimum share of the shards in a response, 0 to 1
	Public           bool    // requests need no key of an account
}

// ServiceLimits are the limits of each replica of a service.
type ServiceLimits struct {
	Connections int     // connections that a replica accepts from all clients together; 0: unknown
	ColdRate    float64 // requests per second that a replica tolerates in cold start; 0: no limit
}

// CallerLimits bound the size of requests and the time that a caller may take to
// send them. Zero values mean no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteConfig is one version of the routing configuration. It is immutable.
type RouteConfig struct {
	Number   uint64  // version number that the operator assigned
	Version  Version // of the object that holds the configuration
	Routes   []Route
	Services map[ServiceName]ServiceLimits
	Limits   CallerLimits
	Accounts []Account // not checked; empty: requests need no key
}

// Instance is a backend server as it registered itself.
type Instance struct {
	ID       InstanceID
	Service  ServiceName
	Address  string // "IP:port"
	Zone     ZoneName
	Slots    Slots
	Draining bool
	// ColdRemaining is the rest of the cold start. In a registration it counts from the
	// last change of the registration; dgcatalog.Catalog.Instances makes it count from
	// the time of the call.
	ColdRemaining time.Duration
	StartUnixMs   int64 // start of the process, Unix milliseconds; 0: unknown
	// Software is the version of the software; "" if the server states none.
	Software SoftwareVersion
}

// RolloutOrder is an operator's order to move the traffic of a service to the replicas of
// a version.
type RolloutOrder struct {
	Service  ServiceName
	Target   SoftwareVersion
	Duration time.Duration // from the write of the order to the deadline
	Version  Version       // of the object that holds the order
	Status   RolloutStatus
}

// RolloutStatus is what the tier reports to the operator about an order.
type RolloutStatus struct {
	State  RolloutState
	Target SoftwareVersion
}

// RolloutState is the state of an order in its status.
type RolloutState uint8

// States of an order. The zero value means that no status was written.
const (
	RolloutNone RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

// EdgeMember is a VM that serves callers, as its registration describes it.
type EdgeMember struct {
	VM     VMName
	Zone   ZoneName
	Entry  string // "IP:port" for callers
	Gossip string // "IP:port" for gossip from the other VMs, over UDP
	Boot   int64  // start of the process, Unix nanoseconds
	// Cores is the number of processor cores, which may be a fraction; 0: unknown.
	Cores float64 `json:",omitempty"`
	// ShortForm reports that the VM reads heartbeats in their short form (dgpresence V6).
	// VMs of earlier versions do not.
	ShortForm bool `json:",omitempty"`
	// Rollouts reports that the VM takes part in rollouts and reads heartbeats with the
	// versions of KindRollouts and KindRolloutStates.
	Rollouts bool `json:",omitempty"`
	// Eras reports that the VM knows eras of the store (dgwatch W7). VMs of earlier versions
	// do not.
	Eras bool `json:",omitempty"`
}

// Kinds of control state that an EdgeStore holds.
const (
	KindRoutes    = "routes"    // the routing configuration, a single object
	KindInstances = "instances" // registrations of backend servers
	KindZonesOut  = "zonesout"  // availability zones that operators took out of service
	KindMembers   = "members"   // registrations of VMs
	// KindRollouts holds the orders of operators, one object for each service. It is
	// followed only if rollouts are on.
	KindRollouts = "rollouts"
	// KindRolloutStates holds the state of the rollout of each order (dgrollout.State).
	KindRolloutStates = "rolloutstates"
)

// EdgeStore is an ObjectStore that holds the control state of the VMs that forward
// requests along routes. It also decodes that state.
type EdgeStore interface {
	ObjectStore
	// ListStale is a cheaper List whose result may be some seconds old. A watch
	// from the returned version delivers the changes since then.
	ListStale(ctx context.Context, kind string) ([]Object, Version, error)
	// DecodeRoutes decodes the object of KindRoutes, as the store has it. Its error wraps
	// ErrInvalid.
	DecodeRoutes(o Object) (*RouteConfig, error)
	// ShareRoutes returns the form in which VMs keep the object of KindRoutes and pass it
	// on, which has hashes in place of keys. Without accounts it is the object itself, and
	// without content if DecodeRoutes refuses it.
	ShareRoutes(o Object) Object
	// DecodeSharedRoutes decodes the form that ShareRoutes returns. Its error wraps
	// ErrInvalid, and also ErrHasKeys if the object has keys.
	DecodeSharedRoutes(o Object) (*RouteConfig, error)
	// DecodeInstance decodes an object of KindInstances whose name CheckName accepts. Its
	// error wraps ErrInvalid.
	DecodeInstance(o Object) (Instance, error)
	// DecodeRollout decodes an object of KindRollouts. Its error wraps ErrInvalid; the
	// order then has the fields that could be read, Version and Service always among them.
	DecodeRollout(o Object) (RolloutOrder, error)
	// PutRolloutStatus replaces the status of an object of KindRollouts if its version is
	// that of o, and returns the new version. Its errors are those of Put.
	PutRolloutStatus(ctx context.Context, o Object, status RolloutStatus) (Version, error)
}
