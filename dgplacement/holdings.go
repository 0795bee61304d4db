package dgplacement

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// Holdings is what this VM may send to, and what it has promised not to send to.
// Whether it has rights at all is dgmember's part. Its methods append actions to
// dst and return it. Create it with NewHoldings.
type Holdings struct {
	self           dandeliongap.MemberID
	rnd            *rand.Rand
	version        dandeliongap.Version // of the table
	plannedWith    dandeliongap.Version // list of members of the table
	members        map[dandeliongap.MemberID]bool
	membersVersion dandeliongap.Version
	byID           map[dandeliongap.ReplicaID]*holding
	order          []*holding // in the order in which they came up
}

// holding is one replica that this VM owns, owned or was asked to release.
type holding struct {
	row      dandeliongap.Placement // of the newest table; no owner if it has none
	seen     dandeliongap.Version   // newest table with the row
	promised dandeliongap.Epoch     // never send under this epoch or below (L7)
	granted  dandeliongap.Epoch     // 0: may not send
	draining dandeliongap.Epoch     // 0: no request under way; else epoch of the grant
	last     dandeliongap.Epoch     // epoch of the last grant
	state    GateState              // when it drained
	asked    []waiter               // calls to answer when drained
	former   []formerOwner          // of this row, other than this VM
}

type waiter struct {
	member dandeliongap.MemberID
	epoch  dandeliongap.Epoch
}

// formerOwner is a member that has to release a replica at the row's epoch.
type formerOwner struct {
	id       dandeliongap.MemberID
	released bool
	state    GateState
	busy     bool
	failures int
	next     dandeliongap.Instant
}

// NewHoldings returns the holdings of a VM that holds nothing.
func NewHoldings(self dandeliongap.MemberID, rnd *rand.Rand) *Holdings {
	return &Holdings{self: self, rnd: rnd, members: map[dandeliongap.MemberID]bool{}, byID: map[dandeliongap.ReplicaID]*holding{}}
}

// Holds returns the epoch under which this VM may send to a replica while it has
// rights.
func (h *Holdings) Holds(r dandeliongap.ReplicaID) (dandeliongap.Epoch, bool) {
	e := h.byID[r]
	if e == nil || e.granted == 0 {
		return 0, false
	}
	return e.granted, true
}

// Idle tells whether this VM holds no replica and has no request under way.
func (h *Holdings) Idle() bool {
	for _, e := range h.order {
		if e.granted != 0 || e.draining != 0 {
			return false
		}
	}
	return true
}

// TableAdopted reports a version of the placement table that the relay adopted.
func (h *Holdings) TableAdopted(now dandeliongap.Instant, version dandeliongap.Version, t dgrelay.PlacementTable, dst []Action) []Action {
	if version <= h.version {
		return dst
	}
	h.version, h.plannedWith = version, t.MembersVersion
	for _, r := range t.Rows {
		e := h.byID[r.Replica]
		if e == nil && r.Owner != h.self {
			continue
		}
		if e == nil {
			e = h.add(r.Replica)
		}
		e.seen = version
		dst = h.setRow(now, e, r, dst)
	}
	for _, e := range h.order {
		if e.seen != version {
			dst = h.setRow(now, e, dandeliongap.Placement{Replica: e.row.Replica}, dst)
		}
	}
	return dst
}

func (h *Holdings) add(r dandeliongap.ReplicaID) *holding {
	e := &holding{row: dandeliongap.Placement{Replica: r}}
	h.byID[r] = e
	h.order = append(h.order, e)
	return e
}

func (h *Holdings) setRow(now dandeliongap.Instant, e *holding, r dandeliongap.Placement, dst []Action) []Action {
	if r.Epoch != e.row.Epoch || r.Owner != e.row.Owner {
		e.former = e.former[:0]
		for _, f := range r.Former {
			if f != h.self {
				e.former = append(e.former, formerOwner{id: f, next: now})
			}
		}
	}
	e.row = r
	if e.granted != 0 && (r.Owner != h.self || r.Epoch != e.granted) {
		dst = h.revoke(e, L5, dst)
	}
	return h.grant(e, dst)
}

func (h *Holdings) revoke(e *holding, rule Rule, dst []Action) []Action {
	dst = append(dst, Action{Kind: KindRevoke, Rule: rule, Replica: e.row.Replica, Epoch: e.granted})
	e.draining, e.granted = e.granted, 0
	return dst
}

// wanted tells whether this VM owns the replica and may not send yet.
func (h *Holdings) wanted(e *holding) bool {
	return e.row.Owner == h.self && e.granted == 0 && e.draining == 0 && e.row.Epoch > e.promised
}

// grant lets this VM send if every former owner has released the replica or was
// dropped (L6). A list older than the one of the table's planner cannot tell who
// was dropped.
func (h *Holdings) grant(e *holding, dst []Action) []Action {
	if !h.wanted(e) || h.membersVersion < h.plannedWith {
		return dst
	}
	for _, f := range e.former {
		if !f.released && h.members[f.id] {
			return dst
		}
	}
	a := Action{Kind: KindGrant, Rule: L8, Replica: e.row.Replica, Epoch: e.row.Epoch}
	if state, ok := h.lastState(e); ok {
		a.Rule, a.StateKnown, a.State = L6, true, state
	}
	e.granted, e.last = e.row.Epoch, e.row.Epoch
	return append(dst, a)
}

// lastState returns what the owner of the last epoch told. Former owners of
// earlier epochs tell nothing (limit 0), because others sent after them.
func (h *Holdings) lastState(e *holding) (GateState, bool) {
	if e.last != 0 && e.last+1 == e.row.Epoch {
		return e.state, e.state.Limit > 0
	}
	for _, f := range e.former {
		if f.released && f.state.Limit > 0 {
			return f.state, true
		}
	}
	return GateState{}, false
}

// MembersAdopted reports a version of state/members that the relay adopted.
func (h *Holdings) MembersAdopted(_ dandeliongap.Instant, version dandeliongap.Version, members []dandeliongap.Member, dst []Action) []Action {
	if version <= h.membersVersion {
		return dst
	}
	h.membersVersion = version
	clear(h.members)
	for _, m := range members {
		h.members[m.ID] = true
	}
	for _, e := range h.order {
		dst = h.grant(e, dst)
	}
	return dst
}

// ReleaseAnswered reports the answer of a member to KindAskRelease. released is
// false if another process answered.
func (h *Holdings) ReleaseAnswered(now dandeliongap.Instant, member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, released bool, state GateState, dst []Action) []Action {
	if !released {
		return h.ReleaseFailed(now, member, r, epoch, dst)
	}
	e, f := h.asking(member, r, epoch)
	if f == nil {
		return dst
	}
	f.busy, f.released, f.state = false, true, state
	return h.grant(e, dst)
}

// ReleaseFailed reports that a member gave no answer to KindAskRelease.
func (h *Holdings) ReleaseFailed(now dandeliongap.Instant, member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, dst []Action) []Action {
	if _, f := h.asking(member, r, epoch); f != nil {
		f.busy = false
		f.failures++
		f.next = now.Add(dgrelay.Backoff(min(f.failures, maxAskFailures), h.rnd))
	}
	return dst
}

// asking returns the former owner of the present row that an answer is about.
func (h *Holdings) asking(member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch) (*holding, *formerOwner) {
	e := h.byID[r]
	if e == nil || e.row.Epoch != epoch || e.row.Owner != h.self {
		return nil, nil
	}
	for i := range e.former {
		if e.former[i].id == member {
			return e, &e.former[i]
		}
	}
	return nil, nil
}

// ReleaseRequested reports that member calls Release for the given former owner
// (L7). KindAnswerRelease follows at once or when the gate has drained.
func (h *Holdings) ReleaseRequested(_ dandeliongap.Instant, member, former dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, dst []Action) []Action {
	if former != h.self {
		return append(dst, Action{Kind: KindAnswerRelease, Rule: L7, Member: member, Replica: r, Epoch: epoch})
	}
	e := h.byID[r]
	if e == nil {
		e = h.add(r)
		e.seen = h.version
	}
	e.promised = max(e.promised, epoch)
	if e.granted != 0 && e.granted <= epoch {
		dst = h.revoke(e, L7, dst)
	}
	if e.draining != 0 && e.draining <= epoch {
		e.asked = append(e.asked, waiter{member, epoch})
		return dst
	}
	return h.answer(e, waiter{member, epoch}, dst)
}

// answer tells the state only to the owner of the next epoch.
func (h *Holdings) answer(e *holding, w waiter, dst []Action) []Action {
	a := Action{Kind: KindAnswerRelease, Rule: L7, Member: w.member, Replica: e.row.Replica, Epoch: w.epoch, Released: true}
	if e.last != 0 && e.last+1 == w.epoch {
		a.StateKnown, a.State = e.state.Limit > 0, e.state
	}
	return append(dst, a)
}

// Drained reports that no request to a revoked replica is under way, and the
// state of its gate.
func (h *Holdings) Drained(_ dandeliongap.Instant, r dandeliongap.ReplicaID, state GateState, dst []Action) []Action {
	e := h.byID[r]
	if e == nil || e.draining == 0 {
		return dst
	}
	e.draining, e.state = 0, state
	for _, w := range e.asked {
		dst = h.answer(e, w, dst)
	}
	e.asked = e.asked[:0]
	return h.grant(e, dst)
}

// Tick returns the releases that are due to be asked for.
func (h *Holdings) Tick(now dandeliongap.Instant, dst []Action) []Action {
	for _, e := range h.order {
		if !h.wanted(e) {
			continue
		}
		for i := range e.former {
			f := &e.former[i]
			if f.released || f.busy || now < f.next || !h.mayExist(f.id) {
				continue
			}
			f.busy = true
			dst = append(dst, Action{Kind: KindAskRelease, Rule: L6, Member: f.id, Replica: e.row.Replica, Epoch: e.row.Epoch})
		}
	}
	return dst
}

func (h *Holdings) mayExist(id dandeliongap.MemberID) bool {
	return h.members[id] || h.membersVersion < h.plannedWith
}

// Next returns when Tick is due, given the present time.
func (h *Holdings) Next(now dandeliongap.Instant) dandeliongap.Instant {
	next := now.Add(idleTick)
	for _, e := range h.order {
		if !h.wanted(e) {
			continue
		}
		for _, f := range e.former {
			if !f.released && !f.busy && h.mayExist(f.id) {
				next = min(next, max(now, f.next))
			}
		}
	}
	return next
}

const (
	// idleTick is the time between two ticks while nothing is due.
	idleTick = time.Second
	// maxAskFailures keeps the back-off of a release at 4 s or less.
	maxAskFailures = 5
)
