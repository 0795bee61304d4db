package dgmember

import (
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// sentAttempt is a renewal whose success may still be learned from its reply or by
// reading back the lease object.
type sentAttempt struct {
	number uint64
	until  dandeliongap.Instant // end of the lease if it succeeded
}

// renewal is the state of this VM's lease object and its renewals.
type renewal struct {
	version        dandeliongap.Version
	created        bool                 // the lease object exists, as far as known
	end            dandeliongap.Instant // end of the lease (M1)
	nextAttempt    dandeliongap.Instant // when the next renewal is due
	lastCall       dandeliongap.Instant // when the last call was sent
	attempt        uint64               // number of the last renewal sent
	sentAttempts   [attemptsKept]sentAttempt
	inFlight       bool
	direct         bool // the call in flight goes to the platform, not to a peer
	countedFailed  bool // the call in flight was slow and counted as a platform failure
	failedRenewals int  // consecutive failed renewals
}

// renew starts a renewal when one is due. After an odd number of consecutive
// failures it goes through a peer, if one reaches the platform (M3).
func (s *State) renew(now dandeliongap.Instant, dst []Action) []Action {
	if s.inFlight || now < s.renewal.nextAttempt || s.leaving {
		return dst
	}
	ttl := LeaseTTL(s.vmCount)
	s.attempt++
	s.sentAttempts[s.attempt%attemptsKept] = sentAttempt{number: s.attempt, until: now.Add(ttl)}
	a := Action{
		Kind: KindRenew, Rule: M1, Member: s.self.ID, Version: s.renewal.version,
		Lease: Lease{Member: s.self.ID, Attempt: s.attempt, TTL: ttl},
	}
	if s.failedRenewals%2 == 1 {
		if a.Via = s.relayPeer(now); a.Via != "" {
			a.Rule = M3
		}
	}
	s.startCall(now, a.Via == "")
	return append(dst, a)
}

// startCall records that a renewal, or a read of this VM's lease object, is sent.
func (s *State) startCall(now dandeliongap.Instant, direct bool) {
	s.inFlight, s.direct, s.countedFailed = true, direct, false
	s.renewal.lastCall = now
}

// relayPeer returns a random member that reported within W that it reaches the
// platform (M3), or "" if there is none.
func (s *State) relayPeer(now dandeliongap.Instant) dandeliongap.MemberID {
	var id dandeliongap.MemberID
	n := 0
	for i, c := range s.contacts {
		if i == s.roster.selfIndex || !c.lastReported || !c.lastReaches || now.Sub(c.lastAt) > s.contactWindow() {
			continue
		}
		if n++; s.rnd.IntN(n) == 0 {
			id = s.list.Members[i].ID
		}
	}
	return id
}

// countSlowCall counts a direct call without a reply after slowCallThreshold as a
// platform failure.
func (s *State) countSlowCall(now dandeliongap.Instant) {
	if s.inFlight && s.direct && !s.countedFailed && now.Sub(s.renewal.lastCall) >= slowCallThreshold {
		s.countedFailed = true
		s.recordPlatformFailure(now)
	}
}

// RenewOK reports that the given renewal attempt succeeded and gave the lease
// object the given version.
func (s *State) RenewOK(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version, dst []Action) []Action {
	s.beginEvent(now)
	if s.direct {
		s.recordPlatformOK(now)
	}
	s.confirmAttempt(now, attempt, version)
	return dst
}

// jitter shortens an interval by up to a tenth, so that VMs that started at the
// same time do not keep renewing at the same time.
func (s *State) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.rnd.Int64N(int64(d/renewJitterDivisor)))
}

// confirmAttempt records that the lease object holds the given attempt and extends
// the lease and the rights accordingly (M1).
func (s *State) confirmAttempt(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version) {
	s.inFlight = false
	s.failedRenewals = 0
	s.created = true
	s.renewal.version = max(s.renewal.version, version)
	s.renewal.nextAttempt = max(now, s.renewal.lastCall.Add(s.jitter(RenewInterval(s.vmCount))))
	a := s.sentAttempts[attempt%attemptsKept]
	if attempt != s.attempt {
		s.renewal.nextAttempt = now // an earlier attempt that was read back
	}
	if a.number != attempt || a.until <= now {
		// The attempt was sent before a pause or too long ago, so that the
		// lease that it granted does not count (M6) or has ended.
		s.renewal.nextAttempt = now
		return
	}
	s.paused = false
	s.renewal.end = max(s.renewal.end, a.until)
	if !s.leaving {
		s.rights = max(s.rights, s.renewal.end)
	}
}

// RenewConflict reports that the lease object does not have the version that the
// attempt expected. The reply to an earlier renewal may have been lost, so the
// object is read back.
func (s *State) RenewConflict(now dandeliongap.Instant, _ uint64, dst []Action) []Action {
	s.beginEvent(now)
	if s.direct {
		s.recordPlatformOK(now)
	}
	s.startCall(now, true)
	return append(dst, Action{Kind: KindReadBack, Rule: M1, Member: s.self.ID})
}

// RenewUnreachable reports that a renewal, or the read of this VM's lease object,
// got no reply. A renewal may have taken effect.
func (s *State) RenewUnreachable(now dandeliongap.Instant, _ uint64, dst []Action) []Action {
	s.beginEvent(now)
	if s.direct && !s.countedFailed {
		s.recordPlatformFailure(now)
	}
	s.inFlight = false
	s.failedRenewals++
	s.renewal.nextAttempt = now.Add(s.retryDelay())
	return dst
}

// retryDelay returns the delay before the next renewal after a failed one. It is
// exponential with full jitter, up to two renewal intervals. Two calls fit into a
// TTL even after a slow one, and during an outage the fleet calls the platform on
// average as often as for its usual renewals.
func (s *State) retryDelay() time.Duration {
	limit := 2 * RenewInterval(s.vmCount)
	if s.failedRenewals < 8 {
		limit = min(limit, initialRetryDelay<<max(0, s.failedRenewals-1))
	}
	return time.Duration(1 + s.rnd.Int64N(int64(limit)))
}

// LeaseReadBack reports the result of reading this VM's lease object. found is false
// if there is none.
func (s *State) LeaseReadBack(now dandeliongap.Instant, found bool, version dandeliongap.Version, lease Lease, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformOK(now)
	s.inFlight = false
	switch {
	case found && lease.Member == s.self.ID:
		s.confirmAttempt(now, lease.Attempt, version)
		return dst
	case s.leaving:
		s.created = false
		return dst
	}
	return s.stopLost(M4, dst)
}

// Leave reports that this VM is about to stop. Its record has the state
// MemberLeaving from now on, so that its replicas are moved to other VMs.
func (s *State) Leave(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.self.State = dandeliongap.MemberLeaving
	s.joinAttempts = 0
	s.nextJoinRequest = now
	return dst
}

// Finish reports that this VM holds no replica any more and has no request in
// progress. The VM gives up its rights, deletes its lease object and leaves the
// list.
func (s *State) Finish(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.leaving = true
	s.rights = never
	return s.continueLeaving(now, dst)
}

// continueLeaving deletes this VM's lease object and then drops the VM from the
// list.
func (s *State) continueLeaving(now dandeliongap.Instant, dst []Action) []Action {
	if !s.leaving || s.removed || s.inFlight || now < s.nextWrite {
		return dst
	}
	s.nextWrite = now.Add(retryInterval)
	switch {
	case s.created:
		return append(dst, Action{Kind: KindDeleteLease, Rule: F3, Member: s.self.ID, Version: s.renewal.version})
	case s.Listed() && !s.writeInFlight:
		s.leaseGone[s.self.ID] = true
		return s.writeList(now, F3, dst)
	}
	return dst
}

// Finished reports whether this VM has left: it has no lease object and is not
// listed.
func (s *State) Finished() bool { return s.leaving && !s.created && !s.Listed() }

func (s *State) copyMembers() []dandeliongap.Member {
	return append([]dandeliongap.Member(nil), s.roster.list.Members...)
}

// nextList returns the list with all pending changes applied, and whether it may be
// written: it differs from the current one and names at most maxPriorLists earlier
// lists.
func (s *State) nextList() (dgrelay.MemberList, bool) {
	members := s.copyMembers()
	changed := false
	kept := members[:0]
	for _, m := range members {
		if s.leaseGone[m.ID] {
			changed = true
			continue
		}
		if a, ok := s.requested[m.ID]; ok && a != m {
			m, changed = a, true
		}
		kept = append(kept, m)
	}
	for id, m := range s.requested {
		if _, listed := s.index[id]; !listed && !s.leaseGone[id] {
			kept = append(kept, m)
			changed = true
		}
	}
	dgrelay.SortByRank(kept)
	l := dgrelay.MemberList{Members: kept}
	l.PriorLists = s.nextPriorLists(kept)
	return l, changed && len(l.PriorLists) <= maxPriorLists
}
