package dgplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

const (
	// OverloadFactor is the multiple of the even share over which a member is
	// overloaded; under the share divided by it a member is underused.
	OverloadFactor = 1.25
	// MinMoveInterval is the time in which a row moves at most once.
	MinMoveInterval = 2 * time.Second

	// leastWeight lets a member that has its share still get rows when all have.
	leastWeight = 0.01
)

// Input is what a plan depends on.
type Input struct {
	Deployment     *dandeliongap.Deployment
	ConfigVersion  dandeliongap.Version // of the deployment
	ZonesOut       map[dandeliongap.ZoneName]bool
	Members        []dandeliongap.Member
	MembersVersion dandeliongap.Version
	Table          dgrelay.PlacementTable
	TableVersion   dandeliongap.Version // of the present table object; 0: none
	Moves          *Moves               // nil: no row moved lately
}

// Plan returns the rows of the next table, sorted by replica, and what changes
// compared with the present one. Without decisions there is nothing to write.
// After the table object was deleted there are none; it may be written again
// once no process of the tier runs any more.
func Plan(now dandeliongap.Instant, in Input) ([]dandeliongap.Placement, []Decision) {
	if in.Deployment == nil || in.MembersVersion < in.Table.MembersVersion || in.ConfigVersion < in.Table.ConfigVersion {
		return in.Table.Rows, nil // L9
	}
	if in.TableVersion != 0 && in.Table.MembersVersion == 0 {
		// The table was deleted: nobody knows any more who may still send.
		return nil, nil
	}
	p := newPlanner(now, in)
	p.assign()
	p.splitLeaves()
	p.balance()
	return p.result()
}

// host is a member that may be an owner.
type host struct {
	id       dandeliongap.MemberID
	zone     dandeliongap.ZoneName
	hash     uint64
	leaving  bool
	eligible bool
	load     int
	share    float64
	rows     []int // rows that it owns after assign
}

func (h *host) weight() float64 { return max(h.share-float64(h.load), leastWeight) }

func (h *host) over() bool {
	return float64(h.load) > OverloadFactor*h.share && float64(h.load) >= h.share+1
}

func (h *host) under() bool {
	return float64(h.load) < h.share/OverloadFactor && float64(h.load) <= h.share-1
}

// row is one replica while a plan is made.
type row struct {
	dandeliongap.Placement
	leaf  int
	zone  dandeliongap.ZoneName
	hash  uint64
	pool  []*host // candidates by L2
	owner *host
	cause Cause // why it moved; CauseNone if it did not
	from  dandeliongap.MemberID
	fixed bool // moved less than MinMoveInterval ago
}

type planner struct {
	now   dandeliongap.Instant
	in    Input
	hosts map[dandeliongap.MemberID]*host
	all   []*host // eligible, in the order of their ids
	zones map[dandeliongap.ZoneName][]*host
	rows  []row
	leafs [][]int // leaf to rows
	gone  []dandeliongap.Placement
	notes []Decision
}

func newPlanner(now dandeliongap.Instant, in Input) *planner {
	p := &planner{now: now, in: in, hosts: make(map[dandeliongap.MemberID]*host, len(in.Members)), zones: map[dandeliongap.ZoneName][]*host{}}
	for _, m := range in.Members {
		h := &host{id: m.ID, zone: m.Zone, hash: xxhash.Sum64String(string(m.ID))}
		h.leaving = m.State != dandeliongap.MemberLive
		h.eligible = !h.leaving && !in.ZonesOut[m.Zone]
		p.hosts[m.ID] = h
		if h.eligible {
			p.all = append(p.all, h)
		}
	}
	slices.SortFunc(p.all, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	for _, h := range p.all {
		p.zones[h.zone] = append(p.zones[h.zone], h)
	}
	p.readRows()
	p.setShares()
	return p
}

// readRows lists the replicas of the deployment with their present rows.
func (p *planner) readRows() {
	present := make(map[dandeliongap.ReplicaID]dandeliongap.Placement, len(p.in.Table.Rows))
	for _, r := range p.in.Table.Rows {
		present[r.Replica] = r
	}
	leaf := 0
	for _, s := range p.in.Deployment.Services {
		for i := range s.Replicas {
			r := &s.Replicas[i]
			p.rows = append(p.rows, p.newRow(r, leaf, present))
			delete(present, r.ID)
		}
		leaf++
	}
	slices.SortFunc(p.rows, func(a, b row) int { return cmp.Compare(a.Replica, b.Replica) })
	p.leafs = make([][]int, leaf)
	for i := range p.rows {
		l := p.rows[i].leaf
		p.leafs[l] = append(p.leafs[l], i)
	}
	// Leaves come from a map; the order of their first rows is a fixed one.
	slices.SortFunc(p.leafs, func(a, b []int) int { return slices.Compare(a, b) })
	for l, rows := range p.leafs {
		for _, i := range rows {
			p.rows[i].leaf = l
		}
	}
	p.retire(present)
}

func (p *planner) newRow(r *dandeliongap.Replica, leaf int, present map[dandeliongap.ReplicaID]dandeliongap.Placement) row {
	w := row{leaf: leaf, zone: r.Zone, hash: xxhash.Sum64String(string(r.ID)), pool: p.zones[r.Zone]}
	if len(w.pool) == 0 {
		w.pool = p.all
	}
	old, ok := present[r.ID]
	if !ok {
		old = dandeliongap.Placement{Replica: r.ID, Epoch: dandeliongap.Epoch(p.in.TableVersion)}
	}
	w.Placement = old
	w.Former = p.existing(old.Former)
	w.fixed = ok && !p.in.Moves.settled(p.now, r.ID)
	return w
}

// existing returns the former owners that still are members.
func (p *planner) existing(former []dandeliongap.MemberID) []dandeliongap.MemberID {
	var kept []dandeliongap.MemberID
	for _, f := range former {
		if p.hosts[f] != nil {
			kept = append(kept, f)
		}
	}
	return kept
}

// retire keeps rows of removed replicas without owner while a former owner may
// still send.
func (p *planner) retire(present map[dandeliongap.ReplicaID]dandeliongap.Placement) {
	for _, r := range p.in.Table.Rows {
		if _, removed := present[r.Replica]; !removed {
			continue
		}
		old := r.Owner
		r.Former = p.existing(r.Former)
		if old != "" {
			r.Epoch++
			r.Former = p.addFormer(r.Former, old)
			r.Owner = ""
			p.notes = append(p.notes, Decision{Rule: L5, Cause: CauseRemoved, Replica: r.Replica, From: old, Epoch: r.Epoch})
		}
		if len(r.Former) > 0 {
			p.gone = append(p.gone, r)
		}
	}
}

// addFormer puts the last owner at the end.
func (p *planner) addFormer(former []dandeliongap.MemberID, last dandeliongap.MemberID) []dandeliongap.MemberID {
	former = slices.DeleteFunc(slices.Clone(former), func(f dandeliongap.MemberID) bool { return f == last })
	if p.hosts[last] == nil {
		return former
	}
	return append(former, last)
}

// setShares gives each host its even share of the rows of its zone and of the
// rows whose zone has no host.
func (p *planner) setShares() {
	perZone := map[dandeliongap.ZoneName]int{}
	homeless := 0
	for i := range p.rows {
		if z := p.rows[i].zone; len(p.zones[z]) > 0 {
			perZone[z]++
		} else {
			homeless++
		}
	}
	for _, h := range p.all {
		h.share = float64(perZone[h.zone])/float64(len(p.zones[h.zone])) + float64(homeless)/float64(len(p.all))
	}
}

// causeToMove returns why a row has to move whatever the load is.
func (p *planner) causeToMove(r *row) Cause {
	owner := p.hosts[r.Owner]
	switch {
	case r.Owner == "":
		return CauseNew
	case owner == nil:
		return CauseOwnerGone
	case len(p.all) == 0 || r.fixed:
		return CauseNone
	case !owner.eligible && (owner.leaving || owner.zone != r.zone):
		// A zone that is taken out keeps the rows of its own replicas, which
		// get no new work.
		return CauseOwnerLeaving
	case owner.eligible && owner.zone != r.zone && len(p.zones[r.zone]) > 0 && !p.guest(r):
		return CauseOutsideZone
	}
	return CauseNone
}

// guest tells whether a row is outside its zone because of L3: the zone has one
// host, which owns another replica of the leaf.
func (p *planner) guest(r *row) bool {
	hosts := p.zones[r.zone]
	if len(hosts) != 1 {
		return false
	}
	for _, i := range p.leafs[r.leaf] {
		if p.rows[i].Owner == hosts[0].id {
			return true
		}
	}
	return false
}

// assign moves the rows that have to move, after counting those that stay.
func (p *planner) assign() {
	var moving []int
	for i := range p.rows {
		r := &p.rows[i]
		if r.cause = p.causeToMove(r); r.cause != CauseNone {
			r.from = r.Owner
			moving = append(moving, i)
			continue
		}
		p.own(r, i, p.hosts[r.Owner])
	}
	for _, i := range moving {
		r := &p.rows[i]
		p.own(r, i, p.choose(r, r.pool))
	}
}

func (p *planner) own(r *row, i int, h *host) {
	r.owner = h
	if h != nil {
		h.load++
		h.rows = append(h.rows, i)
	}
}

// choose returns the best candidate: with the fewest replicas of the leaf (L3),
// below its share if there is one, then by weighted rendezvous hash (L2).
func (p *planner) choose(r *row, pool []*host) *host {
	var best *host
	var bestFew, bestFull int
	var bestScore float64
	for _, h := range pool {
		few := p.ofLeaf(r.leaf, h)
		full := 0
		if float64(h.load) >= math.Ceil(h.share) {
			full = 1
		}
		if best != nil && (few > bestFew || (few == bestFew && full > bestFull)) {
			continue
		}
		s := score(r.hash, h.hash, h.weight())
		if best == nil || few < bestFew || full < bestFull || s > bestScore {
			best, bestFew, bestFull, bestScore = h, few, full, s
		}
	}
	return best
}

// ofLeaf returns how many replicas of a leaf h owns.
func (p *planner) ofLeaf(leaf int, h *host) int {
	n := 0
	for _, i := range p.leafs[leaf] {
		if p.rows[i].owner == h {
			n++
		}
	}
	return n
}

// score is the weighted rendezvous score of a replica and a member.
func score(replica, member uint64, weight float64) float64 {
	x := replica ^ (member * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// move gives row i to h.
func (p *planner) move(i int, h *host, why Cause) {
	r := &p.rows[i]
	if h == nil || h == r.owner {
		return
	}
	if r.cause == CauseNone {
		r.cause, r.from = why, r.Owner
	}
	old := r.owner
	old.load--
	old.rows = slices.DeleteFunc(old.rows, func(k int) bool { return k == i })
	p.own(r, i, h)
}

var causeRules = [causeCount]Rule{
	CauseNew: L2, CauseOwnerGone: L4, CauseOwnerLeaving: L4, CauseOutsideZone: L2, CauseSingleOwner: L3, CauseOverloaded: L4,
	CauseUnderused: L4, CauseRemoved: L5,
}

func (p *planner) result() ([]dandeliongap.Placement, []Decision) {
	rows := make([]dandeliongap.Placement, 0, len(p.rows)+len(p.gone))
	for i := range p.rows {
		r := &p.rows[i]
		var to dandeliongap.MemberID
		if r.owner != nil {
			to = r.owner.id
		}
		if r.cause == CauseNone || to == r.from {
			if r.Owner != "" || len(r.Former) > 0 {
				rows = append(rows, r.Placement)
			}
			continue
		}
		r.Owner = to
		r.Epoch++
		if r.from != "" {
			r.Former = p.addFormer(r.Former, r.from)
		}
		rows = append(rows, r.Placement)
		p.notes = append(p.notes, Decision{Rule: causeRules[r.cause], Cause: r.cause, Replica: r.Replica, From: r.from, To: to, Epoch: r.Epoch})
	}
	rows = append(rows, p.gone...)
	slices.SortFunc(rows, func(a, b dandeliongap.Placement) int { return cmp.Compare(a.Replica, b.Replica) })
	if len(p.notes) == 0 {
		return p.in.Table.Rows, nil
	}
	return rows, p.notes
}
