package dgcapacity

import (
	"encoding/json"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgwire"
	"google.golang.org/protobuf/proto"
)

func leaseName(id dandeliongap.MemberID) dandeliongap.ObjectName {
	return dandeliongap.ObjectName("leases/" + string(id))
}

func (n *node) performMember(a dgmember.Action) {
	switch a.Kind {
	case dgmember.KindRenew:
		n.renew(a)
	case dgmember.KindReadBack:
		n.readLease(n.self.ID, func(found bool, version dandeliongap.Version, l dgmember.Lease) {
			n.memberActions = n.member.LeaseReadBack(n.c.now, found, version, l, n.memberActions)
		})
	case dgmember.KindExchange:
		n.exchange(a.Member)
	case dgmember.KindReadLease:
		n.readLease(a.Member, func(found bool, version dandeliongap.Version, l dgmember.Lease) {
			n.memberActions = n.member.SuspectLeaseRead(n.c.now, a.Member, found, version, l, n.memberActions)
		})
	case dgmember.KindDeleteLease:
		n.deleteLease(a)
	case dgmember.KindWriteMembers:
		n.writeMembers(a)
	case dgmember.KindStopLost:
		n.down = true
		n.c.stopped = append(n.c.stopped, string(n.self.ID))
	}
}

// renew writes the lease object. The platform does not fail here, so that a
// renewal through a peer (M3) does not occur; it would count as unreachable.
func (n *node) renew(a dgmember.Action) {
	if a.Via != "" {
		n.memberActions = n.member.RenewUnreachable(n.c.now, a.Lease.Attempt, n.memberActions)
		return
	}
	body, err := json.Marshal(a.Lease)
	if err != nil {
		return
	}
	n.put(leaseName(n.self.ID), body, a.Version, func(version dandeliongap.Version, ok bool) {
		if !ok {
			n.memberActions = n.member.RenewConflict(n.c.now, a.Lease.Attempt, n.memberActions)
			return
		}
		n.memberActions = n.member.RenewOK(n.c.now, a.Lease.Attempt, version, n.memberActions)
	})
}

func (n *node) readLease(id dandeliongap.MemberID, done func(bool, dandeliongap.Version, dgmember.Lease)) {
	var obj dandeliongap.Object
	var found bool
	n.platform(func() { obj, found = n.c.store.get(leaseName(id)) }, func() {
		var l dgmember.Lease
		found = found && json.Unmarshal(obj.Body, &l) == nil
		done(found, obj.Version, l)
	})
}

func (n *node) deleteLease(a dgmember.Action) {
	var ok bool
	n.platform(func() { ok = n.c.store.delete(leaseName(a.Member), a.Version) }, func() {
		if ok {
			n.memberActions = n.member.LeaseDeleted(n.c.now, a.Member, n.memberActions)
			return
		}
		n.memberActions = n.member.LeaseConflict(n.c.now, a.Member, n.memberActions)
	})
}

func (n *node) writeMembers(a dgmember.Action) {
	a.List.WriteID = n.writeID()
	body, err := dgrelay.EncodeMemberList(a.List)
	if err != nil {
		n.memberActions = n.member.MembersNotWritten(n.c.now, n.memberActions)
		return
	}
	n.put(dgrelay.Members, body, a.Version, func(version dandeliongap.Version, ok bool) {
		if !ok {
			n.memberActions = n.member.MembersNotWritten(n.c.now, n.memberActions)
			n.readState()
			return
		}
		n.adopt(dandeliongap.Object{Name: dgrelay.Members, Version: version, Body: body})
	})
}

// performHolding carries out one action of dgplacement. No request is ever under
// way at a replica, so that a revoked gate has drained at once.
func (n *node) performHolding(a dgplacement.Action) {
	now := n.c.now
	switch a.Kind {
	case dgplacement.KindAskRelease:
		n.askRelease(a)
	case dgplacement.KindRevoke:
		n.holdingActions = n.holdings.Drained(now, a.Replica, dgplacement.GateState{Limit: 3}, n.holdingActions)
	case dgplacement.KindAnswerRelease:
		n.answerRelease(a)
	}
}

// askRelease sends a Release call.
func (n *node) askRelease(a dgplacement.Action) {
	former := n.c.byID[a.Member]
	if former == nil || former.down {
		n.c.after(dialTimeout, func() {
			n.post(func() {
				n.holdingActions = n.holdings.ReleaseFailed(n.c.now, a.Member, a.Replica, a.Epoch, n.holdingActions)
			})
		})
		return
	}
	size := proto.Size(&dgwire.ReleaseRequest{
		FromMember: string(n.self.ID), FormerMember: string(a.Member), Replica: string(a.Replica), Epoch: uint64(a.Epoch),
	})
	n.c.traffic.releases++
	n.c.count(size, RequestHeaderBytes, true)
	n.c.after(peerTime, func() {
		former.post(func() {
			former.holdingActions = former.holdings.ReleaseRequested(n.c.now, n.self.ID, a.Member, a.Replica, a.Epoch, former.holdingActions)
		})
	})
}

func (n *node) answerRelease(a dgplacement.Action) {
	size := proto.Size(&dgwire.ReleaseReply{Released: a.Released, Limit: int32(a.State.Limit), Draining: a.State.Draining})
	n.c.count(size, ReplyHeaderBytes, true)
	to := n.c.byID[a.Member]
	if to == nil {
		return
	}
	n.c.after(peerTime, func() {
		to.post(func() {
			to.holdingActions = to.holdings.ReleaseAnswered(n.c.now, n.self.ID, a.Replica, a.Epoch, a.Released, a.State, to.holdingActions)
		})
	})
}
