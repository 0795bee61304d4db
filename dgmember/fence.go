package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// suspect is a suspected member, whose lease object is watched for renewals (F1).
type suspect struct {
	version        dandeliongap.Version // 0: not read yet
	ttl            time.Duration        // TTL in the lease body, but at least LeaseTTL
	unchangedSince dandeliongap.Instant // when this version was first read
	ready          bool                 // all conditions of F1 hold
	readySince     dandeliongap.Instant // when ready was set
	callInFlight   bool                 // a read or deletion of the lease is in flight
	nextCall       dandeliongap.Instant // earliest next read or deletion
}

// fencing is the state of members that are suspected, fenced or dropped.
type fencing struct {
	suspects      map[dandeliongap.MemberID]*suspect
	leaseGone     map[dandeliongap.MemberID]bool // listed, but without a lease object
	formerMembers map[dandeliongap.MemberID]bool // dropped from the list; may not join again
}

// fence watches the lease objects of suspects and deletes those that are not
// renewed (F1).
func (s *State) fence(now dandeliongap.Instant, dst []Action) []Action {
	if !s.Listed() || now >= s.renewal.end {
		return dst
	}
	wait := SuspectAfter(s.vmCount) + time.Duration(s.lowerRankCount(now))*RankStep
	for i, m := range s.list.Members {
		if i == s.roster.selfIndex || s.leaseGone[m.ID] || now.Sub(s.contacts[i].lastAt) < wait {
			continue
		}
		dst = s.observeLease(now, i, m.ID, dst)
	}
	return dst
}

// observeLease appends the calls that are due about the lease object of a suspect,
// the member at index i.
func (s *State) observeLease(now dandeliongap.Instant, i int, id dandeliongap.MemberID, dst []Action) []Action {
	p := s.suspects[id]
	if p == nil {
		p = &suspect{}
		s.suspects[id] = p
		// The member may be up, with only the reports about it lost. A direct
		// exchange shows whether it is.
		dst = append(dst, Action{Kind: KindExchange, Rule: F1, Member: id})
	}
	if p.callInFlight || now < p.nextCall {
		return dst
	}
	switch {
	case p.version == 0:
		p.callInFlight = true
		return append(dst, Action{Kind: KindReadLease, Rule: F1, Member: id})
	case s.mayDelete(now, i, p):
		p.callInFlight = true
		return append(dst, Action{Kind: KindDeleteLease, Rule: F2, Member: id, Version: p.version})
	}
	return dst
}

// mayDelete reports whether the lease of suspect p, the member at index i, may be
// deleted (F1) and it is this VM's turn to do so (L1). The check of the object's
// version (F2) is left to the platform.
func (s *State) mayDelete(now dandeliongap.Instant, i int, p *suspect) bool {
	if !s.platformUp || now.Sub(p.unchangedSince) < p.ttl+s.roster.window+Margin || !s.majorityReachesPlatform(now, max(s.platformUpChanged, s.listAdoptedAt), i) {
		p.ready = false
		return false
	}
	if !p.ready {
		p.ready, p.readySince = true, now
	}
	// After the loss of a zone all VMs are ready at about the same time. The delay
	// per rank lets only one of them delete each lease.
	return now >= p.readySince.Add(time.Duration(s.lowerRankCount(now))*RankStep)
}

// discardAliveSuspects ends the suspicion of members that were heard from again.
func (s *State) discardAliveSuspects(now dandeliongap.Instant) {
	for id := range s.suspects {
		if i, ok := s.index[id]; ok && s.alive(now, i) {
			delete(s.suspects, id)
		}
	}
}

// SuspectLeaseRead reports the result of reading the lease object of a suspect. found
// is false if there is none.
func (s *State) SuspectLeaseRead(now dandeliongap.Instant, id dandeliongap.MemberID, found bool, version dandeliongap.Version, lease Lease, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformOK(now)
	p := s.suspects[id]
	if p == nil {
		return dst
	}
	p.callInFlight = false
	p.nextCall = now.Add(retryInterval)
	if !found {
		s.setLeaseGone(id)
		return dst
	}
	if version != p.version {
		// A body without a TTL must not shorten the wait before the deletion.
		p.version, p.ttl, p.unchangedSince = version, max(lease.TTL, LeaseTTL(s.vmCount)), now
	}
	return dst
}

// SuspectCallFailed reports that a read or deletion of a suspect's lease object, or
// the deletion of this VM's own after Finish, got no reply. A deletion may have taken
// effect, so the object of a suspect is read again.
func (s *State) SuspectCallFailed(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformFailure(now)
	s.scheduleReread(now, id)
	return dst
}

// LeaseDeleted reports that the lease object of a suspect, or this VM's own after
// Finish, was deleted.
func (s *State) LeaseDeleted(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformOK(now)
	if id == s.self.ID {
		s.created = false
		s.nextWrite = now
		return s.continueLeaving(now, dst)
	}
	s.setLeaseGone(id)
	return dst
}

// LeaseConflict reports that the lease object of a suspect, or this VM's own after
// Finish, was not deleted because it had another version or was gone (F2).
func (s *State) LeaseConflict(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformOK(now)
	if id == s.self.ID {
		// An earlier renewal or deletion that got no reply had taken effect.
		s.startCall(now, true)
		return append(dst, Action{Kind: KindReadBack, Rule: F2, Member: id})
	}
	s.scheduleReread(now, id)
	return dst
}

// scheduleReread discards what is known of a suspect's lease object, so that the
// object is read again after retryInterval and the wait of F1 starts anew.
func (s *State) scheduleReread(now dandeliongap.Instant, id dandeliongap.MemberID) {
	if p := s.suspects[id]; p != nil {
		*p = suspect{nextCall: now.Add(retryInterval)}
	}
}

// setLeaseGone records that a member has no lease object and may be dropped from
// the list (F3).
func (s *State) setLeaseGone(id dandeliongap.MemberID) {
	delete(s.suspects, id)
	if _, ok := s.index[id]; ok {
		s.leaseGone[id] = true
	}
}

// Suspects returns the sorted ids of the suspected members whose lease objects are
// watched.
func (s *State) Suspects() []dandeliongap.MemberID {
	ids := make([]dandeliongap.MemberID, 0, len(s.suspects))
	for id := range s.suspects {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
