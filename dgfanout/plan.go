package dgfanout

import (
	dandeliongap "dandeliongap.example/dandeliongap"
)

// resolvedView caches data that is derived from one View. Its entries are computed on
// first use. It saves the look-ups of placement, member and zone for each sub-request.
type resolvedView struct {
	view    *dandeliongap.View
	ownZone dandeliongap.ZoneName
	groups  map[dandeliongap.ServiceName]*resolvedGroup
	leaves  map[dandeliongap.ServiceName]*resolvedLeaf
}

// resolvedGroup is a service with its live snapshots, oldest first.
type resolvedGroup struct {
	service   *dandeliongap.Service
	throttles *classThrottles
	snapshots []*resolvedSnapshot
}

// resolvedSnapshot is a snapshot with the leaf services of its shards.
type resolvedSnapshot struct {
	version dandeliongap.IndexVersion
	parts   int
	listed  int // distinct parts that the shards list
	shards  []resolvedShard
}

type resolvedShard struct {
	parts     []dandeliongap.PartID
	exclusive int // parts that no other shard lists
	leaf      *resolvedLeaf
}

// resolvedLeaf is a leaf service with the replicas that can be used according to the
// view (R5).
type resolvedLeaf struct {
	name           dandeliongap.ServiceName
	state          *leafState
	ownZoneLatency *zoneLatency
	candidates     []candidate
}

// candidate is a replica that can be used according to the view, with what the
// planner has learned about it, its leaf service and its availability zone.
type candidate struct {
	replica     *dandeliongap.Replica
	owner       dandeliongap.MemberID
	state       *replicaState
	leaf        *leafState
	zoneLatency *zoneLatency
}

// setView switches the planner to a view. Views are immutable, so comparing the
// pointer is enough to detect a change.
func (p *Planner) setView(v *dandeliongap.View) {
	if p.resolved.view == v {
		return
	}
	p.resolved = resolvedView{
		view:    v,
		ownZone: v.Members[v.Self].Zone,
		groups:  map[dandeliongap.ServiceName]*resolvedGroup{},
		leaves:  map[dandeliongap.ServiceName]*resolvedLeaf{},
	}
	if v.Deployment != p.deployment {
		p.deployment = v.Deployment
		p.applyDeployment()
	}
	if !p.tokensInitialized {
		p.tokensInitialized = true
		p.tokens = budgetInitial
	}
}

// applyDeployment adopts a new configuration: it keeps only the state of services and
// replicas that are still configured, forgets which versions are gone, and sets the
// number of tokens that an attempt adds to the budget (R8).
func (p *Planner) applyDeployment() {
	replicas := map[dandeliongap.ReplicaID]*replicaState{}
	leaves := map[dandeliongap.ServiceName]*leafState{}
	throttles := map[dandeliongap.ServiceName]*classThrottles{}
	p.tokensPerAttempt = budgetShare
	if p.deployment != nil {
		p.copyConfigured(replicas, leaves, throttles)
		if p.deployment.HedgeExtra != 0 {
			p.tokensPerAttempt = max(0, p.deployment.HedgeExtra)
		}
	}
	p.replicas, p.leaves, p.throttles = replicas, leaves, throttles
	p.versionGoneUntil = map[groupVersion]dandeliongap.Instant{}
}

// copyConfigured copies the state of the configured services and replicas to the
// given maps.
func (p *Planner) copyConfigured(replicas map[dandeliongap.ReplicaID]*replicaState, leaves map[dandeliongap.ServiceName]*leafState, throttles map[dandeliongap.ServiceName]*classThrottles) {
	for name, s := range p.deployment.Services {
		if t := p.throttles[name]; t != nil {
			throttles[name] = t
		}
		if l := p.leaves[name]; l != nil {
			leaves[name] = l
		}
		for i := range s.Replicas {
			id := s.Replicas[i].ID
			if r := p.replicas[id]; r != nil {
				replicas[id] = r
			}
		}
	}
}

// resolveGroup returns the service of that name with its snapshots, or nil if there
// is no such service.
func (p *Planner) resolveGroup(name dandeliongap.ServiceName) *resolvedGroup {
	if g := p.resolved.groups[name]; g != nil {
		return g
	}
	v := p.resolved.view
	if v.Deployment == nil || v.Deployment.Services[name] == nil {
		return nil
	}
	if p.throttles[name] == nil {
		p.throttles[name] = &classThrottles{}
	}
	g := &resolvedGroup{service: v.Deployment.Services[name], throttles: p.throttles[name]}
	for i := range v.Catalog[name] {
		g.snapshots = append(g.snapshots, p.resolveSnapshot(&v.Catalog[name][i]))
	}
	if len(g.snapshots) == 0 {
		g.snapshots = []*resolvedSnapshot{p.implicitSnapshot(g.service)}
	}
	p.resolved.groups[name] = g
	return g
}

func (p *Planner) resolveSnapshot(s *dandeliongap.Snapshot) *resolvedSnapshot {
	snapshot := &resolvedSnapshot{version: s.Version, parts: s.Parts, shards: make([]resolvedShard, len(s.Shards))}
	for i := range s.Shards {
		snapshot.shards[i] = resolvedShard{parts: s.Shards[i].Parts, leaf: p.resolveLeaf(s.Shards[i].Service)}
	}
	snapshot.countParts()
	return snapshot
}

// countParts sets listed, and exclusive of each shard. A part number that is out of
// range is not counted.
func (s *resolvedSnapshot) countParts() {
	const multiple = -1
	listedBy := make([]int, s.parts) // number of the shard that lists a part, from 1; 0: none; multiple: several
	for i := range s.shards {
		for _, id := range s.shards[i].parts {
			switch {
			case int(id) >= s.parts || listedBy[id] == i+1:
			case listedBy[id] == 0:
				listedBy[id] = i + 1
			default:
				listedBy[id] = multiple
			}
		}
	}
	for _, number := range listedBy {
		if number != 0 {
			s.listed++
		}
		if number > 0 {
			s.shards[number-1].exclusive++
		}
	}
}

// implicitSnapshot returns the snapshot of a group without a catalog entry (R2). It
// has one part for each leaf.
func (p *Planner) implicitSnapshot(s *dandeliongap.Service) *resolvedSnapshot {
	snapshot := &resolvedSnapshot{parts: len(s.Leaves), shards: make([]resolvedShard, len(s.Leaves))}
	for i, name := range s.Leaves {
		snapshot.shards[i] = resolvedShard{parts: []dandeliongap.PartID{dandeliongap.PartID(i)}, leaf: p.resolveLeaf(name)}
	}
	snapshot.countParts()
	return snapshot
}

func (p *Planner) resolveLeaf(name dandeliongap.ServiceName) *resolvedLeaf {
	if l := p.resolved.leaves[name]; l != nil {
		return l
	}
	state := p.leaves[name]
	if state == nil {
		state = &leafState{allLeaves: &p.allLeaves, zones: map[dandeliongap.ZoneName]*zoneLatency{}}
		p.leaves[name] = state
	}
	l := &resolvedLeaf{name: name, state: state, ownZoneLatency: state.zone(p.resolved.ownZone)}
	p.resolved.leaves[name] = l
	if p.deployment == nil || p.deployment.Services[name] == nil {
		return l
	}
	s := p.deployment.Services[name]
	for i := range s.Replicas {
		if owner, ok := p.resolved.usableOwner(&s.Replicas[i]); ok {
			l.candidates = append(l.candidates, p.newCandidate(&s.Replicas[i], owner, state))
		}
	}
	return l
}

func (l *leafState) zone(name dandeliongap.ZoneName) *zoneLatency {
	if l.zones[name] == nil {
		l.zones[name] = &zoneLatency{}
	}
	return l.zones[name]
}

// usableOwner returns the owner of a replica, and reports whether the replica can be
// used according to the view (R5).
func (rv *resolvedView) usableOwner(r *dandeliongap.Replica) (dandeliongap.MemberID, bool) {
	if r.Leaving || rv.view.ZonesOut[r.Zone] {
		return "", false
	}
	owner := rv.view.Placement[r.ID].Owner
	_, member := rv.view.Members[owner]
	return owner, owner != "" && member
}

func (p *Planner) newCandidate(r *dandeliongap.Replica, owner dandeliongap.MemberID, l *leafState) candidate {
	state := p.replicas[r.ID]
	if state == nil {
		state = &replicaState{}
		p.replicas[r.ID] = state
	}
	return candidate{replica: r, owner: owner, state: state, leaf: l, zoneLatency: l.zone(r.Zone)}
}

// pickSnapshot returns the newest live snapshot that is not known to be gone and is
// not the excluded version (R2). If there is none, it returns nil if exclude is set,
// and otherwise the newest snapshot.
func (p *Planner) pickSnapshot(now dandeliongap.Instant, g *resolvedGroup, exclude *dandeliongap.IndexVersion) *resolvedSnapshot {
	for i := len(g.snapshots) - 1; i >= 0; i-- {
		s := g.snapshots[i]
		if exclude != nil && s.version == *exclude {
			continue
		}
		if now >= p.versionGoneUntil[groupVersion{g.service.Name, s.version}] {
			return s
		}
	}
	if exclude != nil {
		return nil
	}
	return g.snapshots[len(g.snapshots)-1]
}

// markVersionGone makes R2 avoid a version for versionGoneAvoid. It also deletes
// expired entries.
func (p *Planner) markVersionGone(now dandeliongap.Instant, group dandeliongap.ServiceName, version dandeliongap.IndexVersion) {
	for k, until := range p.versionGoneUntil {
		if now >= until {
			delete(p.versionGoneUntil, k)
		}
	}
	p.versionGoneUntil[groupVersion{group, version}] = now.Add(versionGoneAvoid)
}
