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
	// OverloadFactor is the multiple of its even share above which a member is
	// overloaded. Below its even share divided by OverloadFactor it is underused (L4).
	OverloadFactor = 1.25
	// MinMoveInterval is the time between two moves of a row, unless its owner is
	// gone (L4).
	MinMoveInterval = 2 * time.Second

	// minWeight is the least weight of a member, used once it has reached its even
	// share. It is above 0 so that rows can still be placed when all members have
	// reached theirs.
	minWeight = 0.01
)

// Input is the state from which a plan is made.
type Input struct {
	Deployment     *dandeliongap.Deployment
	ConfigVersion  dandeliongap.Version           // version of Deployment
	ZonesOut       map[dandeliongap.ZoneName]bool // zones taken out of service
	Members        []dandeliongap.Member
	MembersVersion dandeliongap.Version   // version of Members
	Table          dgrelay.PlacementTable // the current table
	TableVersion   dandeliongap.Version   // version of the table object or of its deletion; 0: never written
	Moves          *Moves                 // nil: no row has moved within MinMoveInterval
}

// Plan returns the rows of the next table, sorted by replica, and the changes from the
// current one. If there are no changes, there is nothing to write. If the table object
// was deleted, Plan returns neither rows nor changes; the table may be written again
// only after all processes of the tier have stopped.
func Plan(now dandeliongap.Instant, in Input) ([]dandeliongap.Placement, []Decision) {
	if in.Deployment == nil || in.MembersVersion < in.Table.MembersVersion || in.ConfigVersion < in.Table.ConfigVersion {
		return in.Table.Rows, nil // L9
	}
	if in.TableVersion != 0 && in.Table.MembersVersion == 0 {
		// The table was deleted. No VM knows any longer which others may still send.
		return nil, nil
	}
	p := newPlanner(now, in)
	p.assignOwners()
	p.addSecondOwners()
	p.balance()
	return p.result()
}

// member is a listed member with the load that the plan gives it.
type member struct {
	id       dandeliongap.MemberID
	zone     dandeliongap.ZoneName
	hash     uint64
	leaving  bool
	eligible bool    // may get rows (L2)
	load     int     // number of rows that it owns
	share    float64 // even share of the rows
	rows     []int   // indices of the rows that it owns
}

// weight returns the weight of m for rendezvous hashing (L2).
func (m *member) weight() float64 { return max(m.share-float64(m.load), minWeight) }

func (m *member) overloaded() bool {
	return float64(m.load) > OverloadFactor*m.share && float64(m.load) >= m.share+1
}

func (m *member) underused() bool {
	return float64(m.load) < m.share/OverloadFactor && float64(m.load) <= m.share-1
}

// row is the row of one replica of the deployment. Placement is the row of the current
// table, with only current members in Former, until result changes it. owner is the
// planned owner.
type row struct {
	dandeliongap.Placement
	leaf          int // index in rowsByLeaf
	zone          dandeliongap.ZoneName
	hash          uint64
	candidates    []*member // members that may become the owner (L2)
	owner         *member
	cause         Cause                 // CauseNone if the row does not move
	from          dandeliongap.MemberID // owner before the move
	recentlyMoved bool                  // moved within the last MinMoveInterval
}

// planner holds the state of one call of Plan.
type planner struct {
	now            dandeliongap.Instant
	in             Input
	members        map[dandeliongap.MemberID]*member
	eligible       []*member // sorted by id
	eligibleByZone map[dandeliongap.ZoneName][]*member
	rows           []row
	rowsByLeaf     [][]int                  // indices of the rows of each leaf
	removed        []dandeliongap.Placement // rows of replicas that the deployment no longer has
	decisions      []Decision
}

func newPlanner(now dandeliongap.Instant, in Input) *planner {
	p := &planner{now: now, in: in, members: make(map[dandeliongap.MemberID]*member, len(in.Members)), eligibleByZone: map[dandeliongap.ZoneName][]*member{}}
	for _, listed := range in.Members {
		m := &member{id: listed.ID, zone: listed.Zone, hash: xxhash.Sum64String(string(listed.ID))}
		m.leaving = listed.State != dandeliongap.MemberLive
		m.eligible = !m.leaving && !in.ZonesOut[listed.Zone]
		p.members[listed.ID] = m
		if m.eligible {
			p.eligible = append(p.eligible, m)
		}
	}
	slices.SortFunc(p.eligible, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	for _, m := range p.eligible {
		p.eligibleByZone[m.zone] = append(p.eligibleByZone[m.zone], m)
	}
	p.initRows()
	p.setShares()
	return p
}

// initRows sets rows to the current rows of all replicas of the deployment, and removed
// to those of replicas that are no longer in it.
func (p *planner) initRows() {
	current := make(map[dandeliongap.ReplicaID]dandeliongap.Placement, len(p.in.Table.Rows))
	for _, r := range p.in.Table.Rows {
		current[r.Replica] = r
	}
	leaf := 0
	for _, s := range p.in.Deployment.Services {
		for i := range s.Replicas {
			r := &s.Replicas[i]
			p.rows = append(p.rows, p.newRow(r, leaf, current))
			delete(current, r.ID)
		}
		leaf++
	}
	slices.SortFunc(p.rows, func(a, b row) int { return cmp.Compare(a.Replica, b.Replica) })
	p.rowsByLeaf = make([][]int, leaf)
	for i := range p.rows {
		l := p.rows[i].leaf
		p.rowsByLeaf[l] = append(p.rowsByLeaf[l], i)
	}
	// The deployment holds its services in a map. Sorting the leaves by their first
	// rows makes the plan deterministic.
	slices.SortFunc(p.rowsByLeaf, func(a, b []int) int { return slices.Compare(a, b) })
	for l, rows := range p.rowsByLeaf {
		for _, i := range rows {
			p.rows[i].leaf = l
		}
	}
	p.retireRemoved(current)
}

func (p *planner) newRow(r *dandeliongap.Replica, leaf int, current map[dandeliongap.ReplicaID]dandeliongap.Placement) row {
	planned := row{leaf: leaf, zone: r.Zone, hash: xxhash.Sum64String(string(r.ID)), candidates: p.eligibleByZone[r.Zone]}
	if len(planned.candidates) == 0 {
		planned.candidates = p.eligible
	}
	old, ok := current[r.ID]
	if !ok {
		// result adds 1, so that the first epoch is above the version of the table (L5).
		old = dandeliongap.Placement{Replica: r.ID, Epoch: dandeliongap.Epoch(p.in.TableVersion)}
	}
	planned.Placement = old
	planned.Former = p.onlyMembers(old.Former)
	planned.recentlyMoved = ok && !p.in.Moves.settled(p.now, r.ID)
	return planned
}

// onlyMembers returns the former owners that are still members (L5).
func (p *planner) onlyMembers(former []dandeliongap.MemberID) []dandeliongap.MemberID {
	var kept []dandeliongap.MemberID
	for _, f := range former {
		if p.members[f] != nil {
			kept = append(kept, f)
		}
	}
	return kept
}

// retireRemoved keeps the rows of removed replicas, without an owner, as long as a
// former owner may still send (L5). leftover holds the current rows of these replicas.
func (p *planner) retireRemoved(leftover map[dandeliongap.ReplicaID]dandeliongap.Placement) {
	for _, r := range p.in.Table.Rows {
		if _, removed := leftover[r.Replica]; !removed {
			continue
		}
		old := r.Owner
		r.Former = p.onlyMembers(r.Former)
		if old != "" {
			r.Epoch++
			r.Former = p.appendFormer(r.Former, old)
			r.Owner = ""
			p.decisions = append(p.decisions, Decision{Rule: L5, Cause: CauseRemoved, Replica: r.Replica, From: old, Epoch: r.Epoch})
		}
		if len(r.Former) > 0 {
			p.removed = append(p.removed, r)
		}
	}
}

// appendFormer returns a copy of former that ends with last. If last is no longer a
// member, the copy does not contain it.
func (p *planner) appendFormer(former []dandeliongap.MemberID, last dandeliongap.MemberID) []dandeliongap.MemberID {
	former = slices.DeleteFunc(slices.Clone(former), func(f dandeliongap.MemberID) bool { return f == last })
	if p.members[last] == nil {
		return former
	}
	return append(former, last)
}

// setShares sets the even share of each eligible member. The rows of a zone are divided
// among its eligible members; the rows of zones without any are divided among all
// eligible members.
func (p *planner) setShares() {
	rowsPerZone := map[dandeliongap.ZoneName]int{}
	anyZoneRows := 0
	for i := range p.rows {
		if z := p.rows[i].zone; len(p.eligibleByZone[z]) > 0 {
			rowsPerZone[z]++
		} else {
			anyZoneRows++
		}
	}
	for _, m := range p.eligible {
		m.share = float64(rowsPerZone[m.zone])/float64(len(p.eligibleByZone[m.zone])) + float64(anyZoneRows)/float64(len(p.eligible))
	}
}

// causeToMove returns why a row has to move regardless of load, or CauseNone if it may
// stay.
func (p *planner) causeToMove(r *row) Cause {
	owner := p.members[r.Owner]
	switch {
	case r.Owner == "":
		return CauseNew
	case owner == nil:
		return CauseOwnerGone
	case len(p.eligible) == 0 || r.recentlyMoved:
		return CauseNone
	case !owner.eligible && (owner.leaving || owner.zone != r.zone):
		// Members of a zone that is taken out keep the rows of replicas in that
		// zone, because those replicas get no new requests.
		return CauseOwnerLeaving
	case owner.eligible && owner.zone != r.zone && len(p.eligibleByZone[r.zone]) > 0 && !p.movedOutForL3(r):
		return CauseOutsideZone
	}
	return CauseNone
}

// movedOutForL3 reports whether the owner of a row is outside the replica's zone because
// of L3: the zone has a single eligible member, which owns another replica of the leaf.
func (p *planner) movedOutForL3(r *row) bool {
	inZone := p.eligibleByZone[r.zone]
	if len(inZone) != 1 {
		return false
	}
	for _, i := range p.rowsByLeaf[r.leaf] {
		if p.rows[i].Owner == inZone[0].id {
			return true
		}
	}
	return false
}

// assignOwners chooses owners for the rows that have to move. It first counts the rows
// that stay, so that the choice takes all of their load into account.
func (p *planner) assignOwners() {
	var moving []int
	for i := range p.rows {
		r := &p.rows[i]
		if r.cause = p.causeToMove(r); r.cause != CauseNone {
			r.from = r.Owner
			moving = append(moving, i)
			continue
		}
		p.setOwner(r, i, p.members[r.Owner])
	}
	for _, i := range moving {
		r := &p.rows[i]
		p.setOwner(r, i, p.choose(r, r.candidates))
	}
}

func (p *planner) setOwner(r *row, i int, m *member) {
	r.owner = m
	if m != nil {
		m.load++
		m.rows = append(m.rows, i)
	}
}

// choose returns the best owner for a row among the candidates, or nil if there are
// none. It prefers members with the fewest replicas of the leaf (L3), then those below
// their even share, rounded up, then the highest score (L2).
func (p *planner) choose(r *row, candidates []*member) *member {
	var best *member
	var bestInLeaf, bestFull int
	var bestScore float64
	for _, m := range candidates {
		inLeaf := p.ownedInLeaf(r.leaf, m)
		full := 0
		if float64(m.load) >= math.Ceil(m.share) {
			full = 1
		}
		if best != nil && (inLeaf > bestInLeaf || (inLeaf == bestInLeaf && full > bestFull)) {
			continue
		}
		s := score(r.hash, m.hash, m.weight())
		if best == nil || inLeaf < bestInLeaf || full < bestFull || s > bestScore {
			best, bestInLeaf, bestFull, bestScore = m, inLeaf, full, s
		}
	}
	return best
}

// ownedInLeaf returns the number of replicas of a leaf that m owns.
func (p *planner) ownedInLeaf(leaf int, m *member) int {
	n := 0
	for _, i := range p.rowsByLeaf[leaf] {
		if p.rows[i].owner == m {
			n++
		}
	}
	return n
}

// score returns the weighted rendezvous score for the hashes of a replica and a member.
// It mixes them with the finalizer of SplitMix64.
func score(replicaHash, memberHash uint64, weight float64) float64 {
	x := replicaHash ^ (memberHash * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// moveRow moves row i from its planned owner to m. It does nothing if m is nil or is the
// planned owner. A row that this plan has already moved keeps its first cause.
func (p *planner) moveRow(i int, m *member, cause Cause) {
	r := &p.rows[i]
	if m == nil || m == r.owner {
		return
	}
	if r.cause == CauseNone {
		r.cause, r.from = cause, r.Owner
	}
	old := r.owner
	old.load--
	old.rows = slices.DeleteFunc(old.rows, func(k int) bool { return k == i })
	p.setOwner(r, i, m)
}

// causeRules maps each cause to the rule that its decisions report.
var causeRules = [causeCount]Rule{
	CauseNew: L2, CauseOwnerGone: L4, CauseOwnerLeaving: L4, CauseOutsideZone: L2, CauseSingleOwner: L3, CauseOverloaded: L4,
	CauseUnderused: L4, CauseRemoved: L5,
}

// result returns the rows and decisions of the plan. If nothing has changed it returns
// the rows of the current table.
func (p *planner) result() ([]dandeliongap.Placement, []Decision) {
	rows := make([]dandeliongap.Placement, 0, len(p.rows)+len(p.removed))
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
			r.Former = p.appendFormer(r.Former, r.from)
		}
		rows = append(rows, r.Placement)
		p.decisions = append(p.decisions, Decision{Rule: causeRules[r.cause], Cause: r.cause, Replica: r.Replica, From: r.from, To: to, Epoch: r.Epoch})
	}
	rows = append(rows, p.removed...)
	slices.SortFunc(rows, func(a, b dandeliongap.Placement) int { return cmp.Compare(a.Replica, b.Replica) })
	if len(p.decisions) == 0 {
		return p.in.Table.Rows, nil
	}
	return rows, p.decisions
}
