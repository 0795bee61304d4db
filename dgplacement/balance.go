package dgplacement

import (
	"math"
)

// splitLeaves gives a second owner to leaves of which one member owns all
// replicas (L3).
func (p *planner) splitLeaves() {
	for l, rows := range p.leafs {
		if len(rows) < 2 || len(p.all) < 2 {
			continue
		}
		first := p.rows[rows[0]].owner
		if first == nil || p.ofLeaf(l, first) < len(rows) {
			continue
		}
		i := rows[len(rows)-1]
		r := &p.rows[i]
		if r.fixed && r.cause == CauseNone {
			continue
		}
		h := p.choose(r, r.pool)
		if h == nil || h == first {
			h = p.choose(r, p.all)
		}
		p.move(i, h, CauseSingleOwner)
	}
}

// balance moves rows from overloaded hosts and to underused ones (L4).
func (p *planner) balance() {
	for _, h := range p.all {
		for h.over() {
			if !p.give(h) {
				break
			}
		}
	}
	for _, h := range p.all {
		if !h.under() {
			continue
		}
		for float64(h.load+1) <= h.share {
			if !p.take(h) {
				break
			}
		}
	}
}

// give moves one row of h to the host that lacks most.
func (p *planner) give(h *host) bool {
	for _, i := range h.rows {
		r := &p.rows[i]
		if !p.movable(r) {
			continue
		}
		to := p.choose(r, r.pool)
		if to != nil && to != h && float64(to.load+1) <= math.Ceil(to.share) && p.ofLeaf(r.leaf, to) < p.ofLeaf(r.leaf, h) {
			p.move(i, to, CauseOverloaded)
			return true
		}
	}
	return false
}

// take moves to h the row that suits it best from the host with the highest load
// compared with its share.
func (p *planner) take(h *host) bool {
	var from *host
	best := -1
	for _, d := range p.all {
		if d == h || float64(d.load-1) < math.Floor(d.share) {
			continue
		}
		if from != nil && float64(d.load)-d.share <= float64(from.load)-from.share {
			continue
		}
		if i := p.bestFor(h, d); i >= 0 {
			from, best = d, i
		}
	}
	if best < 0 {
		return false
	}
	p.move(best, h, CauseUnderused)
	return true
}

// bestFor returns the row of d with the highest score for h, or -1.
func (p *planner) bestFor(h, d *host) int {
	best := -1
	var bestScore float64
	for _, i := range d.rows {
		r := &p.rows[i]
		if !p.movable(r) || !p.inPool(r, h) || p.ofLeaf(r.leaf, h) >= p.ofLeaf(r.leaf, d) {
			continue
		}
		if s := score(r.hash, h.hash, 1); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// inPool tells whether h is a candidate for a row (L2).
func (p *planner) inPool(r *row, h *host) bool {
	return h.zone == r.zone || len(p.zones[r.zone]) == 0
}

// movable tells whether load may move a row.
func (p *planner) movable(r *row) bool { return r.cause != CauseNone || !r.fixed }
