package dandeliongap

import (
	"strings"
	"time"
)

// ServiceKind tells how a service is used.
type ServiceKind uint8

// Kinds of services.
const (
	// KindLeaf has replicas and holds one shard.
	KindLeaf ServiceKind = iota
	// KindGroup depends on other services and has no replicas of its own.
	KindGroup
)

// Replica is one backend server as the configuration text describes it.
type Replica struct {
	ID          ReplicaID
	Service     ServiceName
	Address     string // "IP:port"
	Zone        ZoneName
	Slots       Slots         // requests at the same time when warm
	Connections int           // connections at the same time
	ConnectCost time.Duration // time that a new connection takes
	ColdLimit   Slots         // requests at the same time in cold start
	Leaving     bool          // operators asked for no new work
}

// Service is one service section of the configuration text.
type Service struct {
	Name     ServiceName
	Kind     ServiceKind
	Class    Class         // class of requests that name none
	Actions  bool          // accepts requests that may not be repeated
	Partial  bool          // searches may be answered in part
	Deadline time.Duration // for requests that name none
	Depends  []ServiceName // as written
	Leaves   []ServiceName // all leaf services it depends on, each once, sorted; itself for a leaf
	Replicas []Replica     // of a leaf
}

// Deployment is the accepted configuration text in parsed form. It is immutable.
type Deployment struct {
	Name       string
	Zones      []ZoneName
	HedgeExtra float64 // highest share of extra sub-requests, 0.05 = 5%
	Services   map[ServiceName]*Service
}

// Replica returns the replica with the given id, or nil. The id begins with the
// name of its service.
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

// Shard is the share of one leaf service in one index version.
type Shard struct {
	Service ServiceName
	Parts   []PartID
}

// Snapshot is one live version of a group's index and its shard map. A group
// with no entry in the catalog has one implicit snapshot: version 0, one part
// per leaf service.
type Snapshot struct {
	Version IndexVersion
	Parts   int // total number of parts
	Shards  []Shard
}

// Catalog lists the live snapshots of each group, oldest first. Source: the
// platform object "state/catalog".
type Catalog map[ServiceName][]Snapshot

// MemberState is what a member says of itself.
type MemberState uint8

// States of a member.
const (
	MemberJoining MemberState = iota
	MemberLive
	MemberLeaving
)

// Member is one process of the tier as its member object describes it.
type Member struct {
	ID            MemberID
	VM            VMName
	Zone          ZoneName
	CallerAddress string // "IP:port" for callers and operators
	PeerAddress   string // "IP:port" for own processes
	State         MemberState
}

// Placement is one row of the placement table.
type Placement struct {
	Replica ReplicaID
	Owner   MemberID   // empty: none could be found
	Epoch   Epoch      // rises with each move
	Former  []MemberID // earlier owners that may not have released the replica yet
}

// View is everything that traffic needs from control state at one moment. The
// control goroutine publishes a new one on each change; it is immutable.
type View struct {
	Self             MemberID
	Config           Version // version of the configuration text in force
	Deployment       *Deployment
	ZonesOut         map[ZoneName]bool
	Catalog          Catalog
	Members          map[MemberID]Member
	Placement        map[ReplicaID]Placement
	Serving          bool   // false: start no new work
	NotServingReason Reason // why Serving is false
}
