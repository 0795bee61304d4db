package dgplacement

import (
	"math"
)

// addSecondOwners looks for leaves whose replicas are all owned by one member, and moves
// one row of each to another eligible member if there is one (L3).
func (p *planner) addSecondOwners() {
	for leaf, rows := range p.rowsByLeaf {
		if len(rows) < 2 || len(p.eligible) < 2 {
			continue
		}
		soleOwner := p.rows[rows[0]].owner
		if soleOwner == nil || p.ownedInLeaf(leaf, soleOwner) < len(rows) {
			continue
		}
		i := rows[len(rows)-1]
		r := &p.rows[i]
		if r.recentlyMoved && r.cause == CauseNone {
			continue
		}
		m := p.choose(r, r.candidates)
		if m == nil || m == soleOwner {
			m = p.choose(r, p.eligible)
		}
		p.moveRow(i, m, CauseSingleOwner)
	}
}

// balance moves rows away from overloaded members, and to underused members up to their
// even share (L4).
func (p *planner) balance() {
	for _, m := range p.eligible {
		for m.overloaded() {
			if !p.moveRowFrom(m) {
				break
			}
		}
	}
	for _, m := range p.eligible {
		if !m.underused() {
			continue
		}
		for float64(m.load+1) <= m.share {
			if !p.moveRowTo(m) {
				break
			}
		}
	}
}

// moveRowFrom moves one row of m to a member that stays within its even share, rounded
// up, and owns fewer replicas of the leaf than m. It reports whether a row was moved.
func (p *planner) moveRowFrom(m *member) bool {
	for _, i := range m.rows {
		r := &p.rows[i]
		if !p.movable(r) {
			continue
		}
		to := p.choose(r, r.candidates)
		if to != nil && to != m && float64(to.load+1) <= math.Ceil(to.share) && p.ownedInLeaf(r.leaf, to) < p.ownedInLeaf(r.leaf, m) {
			p.moveRow(i, to, CauseOverloaded)
			return true
		}
	}
	return false
}

// moveRowTo moves one row to m. Donors are the members that have a row that may move to m
// and that keep at least their even share, rounded down. The row comes from the donor
// whose load exceeds its even share the most. It reports whether a row was moved.
func (p *planner) moveRowTo(m *member) bool {
	var from *member
	best := -1
	for _, donor := range p.eligible {
		if donor == m || float64(donor.load-1) < math.Floor(donor.share) {
			continue
		}
		if from != nil && float64(donor.load)-donor.share <= float64(from.load)-from.share {
			continue
		}
		if i := p.bestRowFor(m, donor); i >= 0 {
			from, best = donor, i
		}
	}
	if best < 0 {
		return false
	}
	p.moveRow(best, m, CauseUnderused)
	return true
}

// bestRowFor returns the index of the row of donor with the highest score for m, or -1 if
// no row of donor may move to m.
func (p *planner) bestRowFor(m, donor *member) int {
	best := -1
	var bestScore float64
	for _, i := range donor.rows {
		r := &p.rows[i]
		if !p.movable(r) || !p.isCandidate(r, m) || p.ownedInLeaf(r.leaf, m) >= p.ownedInLeaf(r.leaf, donor) {
			continue
		}
		if s := score(r.hash, m.hash, 1); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// isCandidate reports whether the eligible member m may become the owner of r (L2).
func (p *planner) isCandidate(r *row, m *member) bool {
	return m.zone == r.zone || len(p.eligibleByZone[r.zone]) == 0
}

// movable reports whether a row may move to balance the load: this plan moves it
// anyway, or it has not moved within the last MinMoveInterval (L4).
func (p *planner) movable(r *row) bool { return r.cause != CauseNone || !r.recentlyMoved }
