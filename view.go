package dandeliongap

import (
	"strings"
	"time"
)

// ServiceKind distinguishes services with replicas from groups of services.
type ServiceKind uint8

// Kinds of services.
const (
	// KindLeaf is a service that has replicas and holds one shard.
	KindLeaf ServiceKind = iota
	// KindGroup is a service that depends on other services and has no replicas.
	KindGroup
)

// Replica is a backend server as the configuration text describes it.
type Replica struct {
	ID          ReplicaID
	Service     ServiceName
	Address     string // "IP:port"
	Zone        ZoneName
	Slots       Slots         // maximum concurrent requests when warm
	Connections int           // maximum concurrent connections
	ConnectCost time.Duration // time to open a connection
	ColdLimit   Slots         // maximum concurrent requests in cold start
	Leaving     bool          // operators asked that it get no new requests
}

// Service is a service section of the configuration text.
type Service struct {
	Name     ServiceName
	Kind     ServiceKind
	Class    Class         // default class of requests
	Actions  bool          // accepts requests that must not run more than once
	Partial  bool          // searches may return partial results
	Deadline time.Duration // default time limit of requests
	Depends  []ServiceName // direct dependencies, as listed in the configuration text
	Leaves   []ServiceName // distinct leaf services among all dependencies, sorted; a leaf lists itself
	Replicas []Replica     // for a leaf
}

// Deployment is the parsed form of the accepted configuration text. It is
// immutable.
type Deployment struct {
	Name       string
	Zones      []ZoneName
	HedgeExtra float64 // maximum number of extra sub-requests per first sub-request, 0.05 = 5%
	Services   map[ServiceName]*Service
}

// Replica returns the replica with the given id, or nil. It finds the service by
// the part of the id before the slash.
func (d *Deployment) Replica(id ReplicaID) *Replica {
	name, _, _ := strings.Cut(string(id), "/")
	s := d.Services[ServiceName(name)]
	if s == nil {
		return nil
	}
	for i := range s.Replicas {
		if s.Replicas[i].ID == id {
			return &s.Replicas[i]
		}
	}
	return nil
}

// Shard lists the parts of an index version that one leaf service holds.
type Shard struct {
	Service ServiceName
	Parts   []PartID
}

// Snapshot is a live version of a group's index, with its shard map. A group that
// is not in the catalog has one implicit snapshot: version 0, with one part per
// leaf service.
type Snapshot struct {
	Version IndexVersion
	Parts   int // total number of parts
	Shards  []Shard
}

// Catalog lists the live snapshots of each group, oldest first. It is read from
// the platform object "state/catalog".
type Catalog map[ServiceName][]Snapshot

// MemberState is the state that a member reports about itself.
type MemberState uint8

// States of a member.
const (
	MemberJoining MemberState = iota
	MemberLive
	MemberLeaving
)

// Member is a process of the tier as its member object describes it.
type Member struct {
	ID            MemberID
	VM            VMName
	Zone          ZoneName
	CallerAddress string // "IP:port" for callers and operators
	PeerAddress   string // "IP:port" for other members
	State         MemberState
}

// Placement is a row of the placement table: the owner of one replica.
type Placement struct {
	Replica ReplicaID
	Owner   MemberID   // empty: no member could be chosen
	Epoch   Epoch      // increases with each change of owner
	Former  []MemberID // previous owners that may not have released the replica yet
}

// View is the control state that is needed to serve requests, at one moment. It is
// immutable; the control goroutine publishes a new one after each change.
type View struct {
	Self             MemberID
	Config           Version // version of the configuration text in force
	Deployment       *Deployment
	ZonesOut         map[ZoneName]bool
	Catalog          Catalog
	Members          map[MemberID]Member
	Placement        map[ReplicaID]Placement
	Serving          bool   // false: accept no new requests
	NotServingReason Reason // set when Serving is false
}
