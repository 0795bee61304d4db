package dgplacement

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// Holdings tracks the epochs under which this VM may send to replicas, and those that
// it has released. A grant takes effect only while this VM has rights, which dgmember
// decides. Methods with the parameter dst append actions to it and return it. Create
// one with NewHoldings.
type Holdings struct {
	self                dandeliongap.MemberID
	rnd                 *rand.Rand
	tableVersion        dandeliongap.Version // newest table adopted
	tableMembersVersion dandeliongap.Version // member list from which that table was planned
	members             map[dandeliongap.MemberID]bool
	membersVersion      dandeliongap.Version // newest member list adopted
	byID                map[dandeliongap.ReplicaID]*holding
	inOrder             []*holding // in order of creation, so that actions have a deterministic order
}

// holding is one replica that this VM owns, owned or was asked to release.
type holding struct {
	row           dandeliongap.Placement // from the newest table; without an owner if that table has no such row
	lastTable     dandeliongap.Version   // newest table that has the row; at first the table adopted when the holding was added
	releasedEpoch dandeliongap.Epoch     // highest epoch in a Release call; no sending under it or a lower one (L7)
	grantedEpoch  dandeliongap.Epoch     // 0: this VM may not send
	drainingEpoch dandeliongap.Epoch     // epoch of the revoked grant while its requests drain; 0: none
	lastGranted   dandeliongap.Epoch     // epoch of the latest grant; 0: none
	drainedState  GateState              // state that Drained reported for the latest grant
	pending       []releaseRequest       // calls to answer once drained
	former        []formerOwner          // former owners in row, without this VM
}

// releaseRequest is a Release call by member that waits for a reply.
type releaseRequest struct {
	member dandeliongap.MemberID
	epoch  dandeliongap.Epoch
}

// formerOwner is a member from which this VM needs a release at the epoch of the row.
type formerOwner struct {
	id          dandeliongap.MemberID
	released    bool
	state       GateState
	inFlight    bool                 // a Release call is in flight
	failures    int                  // consecutive failed Release calls
	nextRequest dandeliongap.Instant // earliest time of the next Release call
}

// NewHoldings returns the holdings of a VM that has no grants yet.
func NewHoldings(self dandeliongap.MemberID, rnd *rand.Rand) *Holdings {
	return &Holdings{self: self, rnd: rnd, members: map[dandeliongap.MemberID]bool{}, byID: map[dandeliongap.ReplicaID]*holding{}}
}

// Holds returns the epoch under which this VM may send to a replica while it has
// rights, and whether there is one.
func (h *Holdings) Holds(r dandeliongap.ReplicaID) (dandeliongap.Epoch, bool) {
	e := h.byID[r]
	if e == nil || e.grantedEpoch == 0 {
		return 0, false
	}
	return e.grantedEpoch, true
}

// Idle reports whether this VM holds no replica and no revoked gate still drains.
func (h *Holdings) Idle() bool {
	for _, e := range h.inOrder {
		if e.grantedEpoch != 0 || e.drainingEpoch != 0 {
			return false
		}
	}
	return true
}

// TableAdopted reports that the relay adopted a version of the placement table. A
// version that is not newer than the last one is ignored.
func (h *Holdings) TableAdopted(now dandeliongap.Instant, version dandeliongap.Version, t dgrelay.PlacementTable, dst []Action) []Action {
	if version <= h.tableVersion {
		return dst
	}
	h.tableVersion, h.tableMembersVersion = version, t.MembersVersion
	for _, r := range t.Rows {
		e := h.byID[r.Replica]
		if e == nil && r.Owner != h.self {
			continue
		}
		if e == nil {
			e = h.add(r.Replica)
		}
		e.lastTable = version
		dst = h.setRow(now, e, r, dst)
	}
	for _, e := range h.inOrder {
		if e.lastTable != version {
			dst = h.setRow(now, e, dandeliongap.Placement{Replica: e.row.Replica}, dst)
		}
	}
	return dst
}

func (h *Holdings) add(r dandeliongap.ReplicaID) *holding {
	e := &holding{row: dandeliongap.Placement{Replica: r}}
	h.byID[r] = e
	h.inOrder = append(h.inOrder, e)
	return e
}

// setRow applies the row r of a new table to e.
func (h *Holdings) setRow(now dandeliongap.Instant, e *holding, r dandeliongap.Placement, dst []Action) []Action {
	if r.Epoch != e.row.Epoch || r.Owner != e.row.Owner {
		e.former = e.former[:0]
		for _, f := range r.Former {
			if f != h.self {
				e.former = append(e.former, formerOwner{id: f, nextRequest: now})
			}
		}
	}
	e.row = r
	if e.grantedEpoch != 0 && (r.Owner != h.self || r.Epoch != e.grantedEpoch) {
		dst = h.revoke(e, L5, dst)
	}
	return h.grantIfReleased(e, dst)
}

func (h *Holdings) revoke(e *holding, rule Rule, dst []Action) []Action {
	dst = append(dst, Action{Kind: KindRevoke, Rule: rule, Replica: e.row.Replica, Epoch: e.grantedEpoch})
	e.drainingEpoch, e.grantedEpoch = e.grantedEpoch, 0
	return dst
}

// needsGrant reports whether this VM owns the replica, has no grant for it and may get
// one: no request of an earlier grant is in flight, and this VM has not released the
// epoch of the row (L7).
func (h *Holdings) needsGrant(e *holding) bool {
	return e.row.Owner == h.self && e.grantedEpoch == 0 && e.drainingEpoch == 0 && e.row.Epoch > e.releasedEpoch
}

// grantIfReleased lets this VM send if every former owner has released the replica or
// was dropped from the member list (L6). A list that is older than the one from which
// the table was planned does not show who was dropped: a former owner may be missing
// from it because that owner joined later.
func (h *Holdings) grantIfReleased(e *holding, dst []Action) []Action {
	if !h.needsGrant(e) || h.membersVersion < h.tableMembersVersion {
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
	e.grantedEpoch, e.lastGranted = e.row.Epoch, e.row.Epoch
	return append(dst, a)
}

// lastState returns the state that the owner of the previous epoch, which may be this
// VM, left behind, and whether it is known. Owners of earlier epochs pass on no state
// (limit 0), because others have sent to the replica since.
func (h *Holdings) lastState(e *holding) (GateState, bool) {
	if e.lastGranted != 0 && e.lastGranted+1 == e.row.Epoch {
		return e.drainedState, e.drainedState.Limit > 0
	}
	for _, f := range e.former {
		if f.released && f.state.Limit > 0 {
			return f.state, true
		}
	}
	return GateState{}, false
}

// MembersAdopted reports that the relay adopted a version of state/members. A version
// that is not newer than the last one is ignored.
func (h *Holdings) MembersAdopted(_ dandeliongap.Instant, version dandeliongap.Version, members []dandeliongap.Member, dst []Action) []Action {
	if version <= h.membersVersion {
		return dst
	}
	h.membersVersion = version
	clear(h.members)
	for _, m := range members {
		h.members[m.ID] = true
	}
	for _, e := range h.inOrder {
		dst = h.grantIfReleased(e, dst)
	}
	return dst
}

// ReleaseAnswered reports the reply of a member to KindAskRelease. released is false
// if another incarnation of the VM replied at the member's address; this counts as a
// failed call.
func (h *Holdings) ReleaseAnswered(now dandeliongap.Instant, member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, released bool, state GateState, dst []Action) []Action {
	if !released {
		return h.ReleaseFailed(now, member, r, epoch, dst)
	}
	e, f := h.findFormer(member, r, epoch)
	if f == nil {
		return dst
	}
	f.inFlight, f.released, f.state = false, true, state
	return h.grantIfReleased(e, dst)
}

// ReleaseFailed reports that the Release call of KindAskRelease got no reply. It is
// repeated after a back-off.
func (h *Holdings) ReleaseFailed(now dandeliongap.Instant, member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, dst []Action) []Action {
	if _, f := h.findFormer(member, r, epoch); f != nil {
		f.inFlight = false
		f.failures++
		f.nextRequest = now.Add(dgrelay.Backoff(min(f.failures, maxBackoffFailures), h.rnd))
	}
	return dst
}

// findFormer returns the holding and the former owner that a reply for the given epoch
// concerns, or nil if the current row has another epoch or owner, or no such former
// owner.
func (h *Holdings) findFormer(member dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch) (*holding, *formerOwner) {
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

// ReleaseRequested reports that member calls Release (L7). former is the incarnation
// for which the call is meant; another incarnation replies that it has released
// nothing. KindAnswerRelease follows at once or after Drained.
func (h *Holdings) ReleaseRequested(_ dandeliongap.Instant, member, former dandeliongap.MemberID, r dandeliongap.ReplicaID, epoch dandeliongap.Epoch, dst []Action) []Action {
	if former != h.self {
		return append(dst, Action{Kind: KindAnswerRelease, Rule: L7, Member: member, Replica: r, Epoch: epoch})
	}
	e := h.byID[r]
	if e == nil {
		e = h.add(r)
		e.lastTable = h.tableVersion
	}
	e.releasedEpoch = max(e.releasedEpoch, epoch)
	if e.grantedEpoch != 0 && e.grantedEpoch <= epoch {
		dst = h.revoke(e, L7, dst)
	}
	if e.drainingEpoch != 0 && e.drainingEpoch <= epoch {
		e.pending = append(e.pending, releaseRequest{member, epoch})
		return dst
	}
	return h.answerRelease(e, releaseRequest{member, epoch}, dst)
}

// answerRelease replies that the replica is released. Only the owner of the next epoch
// gets the state, because for later ones it is out of date.
func (h *Holdings) answerRelease(e *holding, req releaseRequest, dst []Action) []Action {
	a := Action{Kind: KindAnswerRelease, Rule: L7, Member: req.member, Replica: e.row.Replica, Epoch: req.epoch, Released: true}
	if e.lastGranted != 0 && e.lastGranted+1 == req.epoch {
		a.StateKnown, a.State = e.drainedState.Limit > 0, e.drainedState
	}
	return append(dst, a)
}

// Drained reports that no request to a revoked replica is in flight any more, and the
// state of its gate.
func (h *Holdings) Drained(_ dandeliongap.Instant, r dandeliongap.ReplicaID, state GateState, dst []Action) []Action {
	e := h.byID[r]
	if e == nil || e.drainingEpoch == 0 {
		return dst
	}
	e.drainingEpoch, e.drainedState = 0, state
	for _, req := range e.pending {
		dst = h.answerRelease(e, req, dst)
	}
	e.pending = e.pending[:0]
	return h.grantIfReleased(e, dst)
}

// Tick appends the Release calls that are due.
func (h *Holdings) Tick(now dandeliongap.Instant, dst []Action) []Action {
	for _, e := range h.inOrder {
		if !h.needsGrant(e) {
			continue
		}
		for i := range e.former {
			f := &e.former[i]
			if f.released || f.inFlight || now < f.nextRequest || !h.mayBeMember(f.id) {
				continue
			}
			f.inFlight = true
			dst = append(dst, Action{Kind: KindAskRelease, Rule: L6, Member: f.id, Replica: e.row.Replica, Epoch: e.row.Epoch})
		}
	}
	return dst
}

// mayBeMember reports whether a VM is a member, or may be one because the member list
// of this VM is older than the one from which the table was planned.
func (h *Holdings) mayBeMember(id dandeliongap.MemberID) bool {
	return h.members[id] || h.membersVersion < h.tableMembersVersion
}

// Next returns the time at which Tick is due next.
func (h *Holdings) Next(now dandeliongap.Instant) dandeliongap.Instant {
	next := now.Add(maxTickInterval)
	for _, e := range h.inOrder {
		if !h.needsGrant(e) {
			continue
		}
		for _, f := range e.former {
			if !f.released && !f.inFlight && h.mayBeMember(f.id) {
				next = min(next, max(now, f.nextRequest))
			}
		}
	}
	return next
}

const (
	// maxTickInterval is the time until the next tick while no Release call is due.
	maxTickInterval = time.Second
	// maxBackoffFailures caps the failures that count towards the back-off of Release
	// calls, which keeps it to about 4 s at most.
	maxBackoffFailures = 5
)
