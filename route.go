package dandeliongap

import (
	"context"
	"time"
)

// RouteName names a route of a routing configuration.
type RouteName string

// InstanceID names one start of a backend server, as the server registered it.
type InstanceID string

// ServiceWeight is one part of a traffic split.
type ServiceWeight struct {
	Service ServiceName
	Weight  float64
}

// Route tells where requests of callers go. Exactly one of Service, Split and
// Shards is set.
type Route struct {
	Name             RouteName
	Host             string
	Prefix           string        // begins and ends with a slash
	Idempotent       bool          // may run more than once
	Timeout          time.Duration // longest time to keep a caller waiting; 0: none
	LatencyObjective time.Duration // latency objective; 0: none
	Priority         int           // 0 is the highest
	MaxAttempts      int           // replicas that one request may reach, for each shard
	Service          ServiceName
	Split            []ServiceWeight
	Shards           []ServiceName
	TopK             int     // records in a merged response
	MinCoverage      float64 // least share of the shards in a response
}

// ServiceLimits are the limits of the replicas of one service.
type ServiceLimits struct {
	Connections int     // of one replica, from all callers; 0: unknown
	ColdRate    float64 // requests a second that a cold replica tolerates; 0: not limited
}

// CallerLimits bound what a caller may send and how long it may take. Zero
// values mean no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteConfig is one version of the routing configuration. It is immutable.
type RouteConfig struct {
	Number   uint64  // the operator's own number of the version
	Version  Version // of the object that holds it
	Routes   []Route
	Services map[ServiceName]ServiceLimits
	Limits   CallerLimits
}

// Instance is one backend server that registered itself.
type Instance struct {
	ID            InstanceID
	Service       ServiceName
	Address       string // "IP:port"
	Zone          ZoneName
	Slots         Slots
	Draining      bool
	ColdRemaining time.Duration // from the time of the registration's last change
	StartUnixMs   int64         // Unix milliseconds of its start; 0: unknown
}

// EdgeMember is one VM that serves callers, as its registration describes it.
type EdgeMember struct {
	VM     VMName
	Zone   ZoneName
	Entry  string // "IP:port" for callers
	Gossip string // "IP:port" for the other VMs, UDP
	Boot   int64  // Unix nanoseconds of the start of its process
}

// Kinds of control state that an EdgeStore holds.
const (
	KindRoutes    = "routes"    // one object: the routing configuration
	KindInstances = "instances" // registrations of backend servers
	KindZonesOut  = "zonesout"  // availability zones that operators took out
	KindMembers   = "members"   // registrations of VMs
)

// EdgeStore is an ObjectStore with the control state of a tier that forwards
// requests along routes, and the means to read it.
type EdgeStore interface {
	ObjectStore
	// ListStale is List at a fraction of the cost: what it returns may be some
	// seconds old, as its version tells. A watch from there brings the rest.
	ListStale(ctx context.Context, kind string) ([]Object, Version, error)
	// DecodeRoutes reads the object of KindRoutes. Its error is ErrInvalid.
	DecodeRoutes(o Object) (*RouteConfig, error)
	// DecodeInstance reads an object of KindInstances. Its error is ErrInvalid.
	DecodeInstance(o Object) (Instance, error)
}
