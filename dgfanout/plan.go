package dgfanout

import (
	dandeliongap "dandeliongap.example/dandeliongap"
)

// viewPlan holds what follows from one View, computed on first use. It saves the
// look-ups of placement, member and zone for each sub-request.
type viewPlan struct {
	view   *dandeliongap.View
	home   dandeliongap.ZoneName
	groups map[dandeliongap.ServiceName]*groupPlan
	leaves map[dandeliongap.ServiceName]*leafPlan
}

// groupPlan is a service with its live snapshots, oldest first.
type groupPlan struct {
	service   *dandeliongap.Service
	learned   *throttles
	snapshots []*snapshotPlan
}

type snapshotPlan struct {
	version dandeliongap.IndexVersion
	parts   int
	listed  int // distinct parts of all shards
	shards  []shardPlan
}

type shardPlan struct {
	parts []dandeliongap.PartID
	sole  int // parts that no other shard lists
	leaf  *leafPlan
}

// leafPlan is a leaf service with the replicas that the view allows (R5).
type leafPlan struct {
	name       dandeliongap.ServiceName
	learned    *leaf
	home       *nearest
	candidates []candidate
}

type candidate struct {
	replica *dandeliongap.Replica
	owner   dandeliongap.MemberID
	learned *replica
	leaf    *leaf
	zone    *nearest
}

// adopt prepares the planner for a view. Views are immutable, so that the
// pointer identifies one.
func (p *Planner) adopt(v *dandeliongap.View) {
	if p.plan.view == v {
		return
	}
	p.plan = viewPlan{
		view:   v,
		home:   v.Members[v.Self].Zone,
		groups: map[dandeliongap.ServiceName]*groupPlan{},
		leaves: map[dandeliongap.ServiceName]*leafPlan{},
	}
	if v.Deployment != p.deployment {
		p.deployment = v.Deployment
		p.forget()
	}
	if !p.filled {
		p.filled = true
		p.tokens = budgetInitial
	}
}

// forget drops what was learned about services and replicas that the
// configuration no longer names, and sets the share of the budget.
func (p *Planner) forget() {
	replicas := map[dandeliongap.ReplicaID]*replica{}
	leaves := map[dandeliongap.ServiceName]*leaf{}
	groups := map[dandeliongap.ServiceName]*throttles{}
	p.share = budgetShare
	if p.deployment != nil {
		p.keep(replicas, leaves, groups)
		if p.deployment.HedgeExtra != 0 {
			p.share = max(0, p.deployment.HedgeExtra)
		}
	}
	p.replicas, p.leaves, p.groups = replicas, leaves, groups
	p.gone = map[goneKey]dandeliongap.Instant{}
}

func (p *Planner) keep(replicas map[dandeliongap.ReplicaID]*replica, leaves map[dandeliongap.ServiceName]*leaf, groups map[dandeliongap.ServiceName]*throttles) {
	for name, s := range p.deployment.Services {
		if g := p.groups[name]; g != nil {
			groups[name] = g
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

// group returns the plan of a service, or nil if there is none of that name.
func (p *Planner) group(name dandeliongap.ServiceName) *groupPlan {
	if g := p.plan.groups[name]; g != nil {
		return g
	}
	v := p.plan.view
	if v.Deployment == nil || v.Deployment.Services[name] == nil {
		return nil
	}
	if p.groups[name] == nil {
		p.groups[name] = &throttles{}
	}
	g := &groupPlan{service: v.Deployment.Services[name], learned: p.groups[name]}
	for i := range v.Catalog[name] {
		g.snapshots = append(g.snapshots, p.snapshot(&v.Catalog[name][i]))
	}
	if len(g.snapshots) == 0 {
		g.snapshots = []*snapshotPlan{p.implicit(g.service)}
	}
	p.plan.groups[name] = g
	return g
}

func (p *Planner) snapshot(s *dandeliongap.Snapshot) *snapshotPlan {
	plan := &snapshotPlan{version: s.Version, parts: s.Parts, shards: make([]shardPlan, len(s.Shards))}
	for i := range s.Shards {
		plan.shards[i] = shardPlan{parts: s.Shards[i].Parts, leaf: p.leafOf(s.Shards[i].Service)}
	}
	plan.count()
	return plan
}

// count sets listed and sole. A part that is not below the total counts nowhere.
func (s *snapshotPlan) count() {
	const several = -1
	holder := make([]int, s.parts) // number of the shard, from 1
	for i := range s.shards {
		for _, id := range s.shards[i].parts {
			switch {
			case int(id) >= s.parts || holder[id] == i+1:
			case holder[id] == 0:
				holder[id] = i + 1
			default:
				holder[id] = several
			}
		}
	}
	for _, h := range holder {
		if h != 0 {
			s.listed++
		}
		if h > 0 {
			s.shards[h-1].sole++
		}
	}
}

// implicit is the snapshot of a group that the catalog does not name.
func (p *Planner) implicit(s *dandeliongap.Service) *snapshotPlan {
	plan := &snapshotPlan{parts: len(s.Leaves), shards: make([]shardPlan, len(s.Leaves))}
	for i, name := range s.Leaves {
		plan.shards[i] = shardPlan{parts: []dandeliongap.PartID{dandeliongap.PartID(i)}, leaf: p.leafOf(name)}
	}
	plan.count()
	return plan
}

func (p *Planner) leafOf(name dandeliongap.ServiceName) *leafPlan {
	if l := p.plan.leaves[name]; l != nil {
		return l
	}
	learned := p.leaves[name]
	if learned == nil {
		learned = &leaf{all: &p.all, zones: map[dandeliongap.ZoneName]*nearest{}}
		p.leaves[name] = learned
	}
	l := &leafPlan{name: name, learned: learned, home: learned.zone(p.plan.home)}
	p.plan.leaves[name] = l
	if p.deployment == nil || p.deployment.Services[name] == nil {
		return l
	}
	s := p.deployment.Services[name]
	for i := range s.Replicas {
		if owner, ok := p.plan.owner(&s.Replicas[i]); ok {
			l.candidates = append(l.candidates, p.candidate(&s.Replicas[i], owner, learned))
		}
	}
	return l
}

func (l *leaf) zone(name dandeliongap.ZoneName) *nearest {
	if l.zones[name] == nil {
		l.zones[name] = &nearest{}
	}
	return l.zones[name]
}

// owner returns the owner of a replica that the view allows to use.
func (vp *viewPlan) owner(r *dandeliongap.Replica) (dandeliongap.MemberID, bool) {
	if r.Leaving || vp.view.ZonesOut[r.Zone] {
		return "", false
	}
	owner := vp.view.Placement[r.ID].Owner
	_, member := vp.view.Members[owner]
	return owner, owner != "" && member
}

func (p *Planner) candidate(r *dandeliongap.Replica, owner dandeliongap.MemberID, l *leaf) candidate {
	learned := p.replicas[r.ID]
	if learned == nil {
		learned = &replica{}
		p.replicas[r.ID] = learned
	}
	return candidate{replica: r, owner: owner, learned: learned, leaf: l, zone: l.zone(r.Zone)}
}

// pick returns the newest live snapshot that is not known to be gone, other than
// the one to avoid (R2). If all are, it returns the newest, or nil if one is to
// be avoided.
func (p *Planner) pick(now dandeliongap.Instant, g *groupPlan, avoid *dandeliongap.IndexVersion) *snapshotPlan {
	for i := len(g.snapshots) - 1; i >= 0; i-- {
		s := g.snapshots[i]
		if avoid != nil && s.version == *avoid {
			continue
		}
		if now >= p.gone[goneKey{g.service.Name, s.version}] {
			return s
		}
	}
	if avoid != nil {
		return nil
	}
	return g.snapshots[len(g.snapshots)-1]
}

func (p *Planner) markGone(now dandeliongap.Instant, group dandeliongap.ServiceName, version dandeliongap.IndexVersion) {
	for k, until := range p.gone {
		if now >= until {
			delete(p.gone, k)
		}
	}
	p.gone[goneKey{group, version}] = now.Add(goneAvoid)
}
