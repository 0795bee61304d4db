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
}

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
)

// EdgeStore is an ObjectStore that holds the control state of the VMs that forward
// requests along routes. It also decodes that state.
type EdgeStore interface {
	ObjectStore
	// ListStale is a cheaper List whose result may be some seconds old. A watch
	// from the returned version delivers the changes since then.
	ListStale(ctx context.Context, kind string) ([]Object, Version, error)
	// DecodeRoutes decodes the object of KindRoutes. Its error wraps ErrInvalid.
	DecodeRoutes(o Object) (*RouteConfig, error)
	// DecodeInstance decodes an object of KindInstances. Its error wraps ErrInvalid.
	DecodeInstance(o Object) (Instance, error)
}
