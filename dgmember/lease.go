package dgmember

import (
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// sentAttempt is a renewal whose answer may still arrive or be read back.
type sentAttempt struct {
	number uint64
	until  dandeliongap.Instant // end of the lease if it succeeded
}

// renewal is the state of the own lease object.
type renewal struct {
	version        dandeliongap.Version
	created        bool
	end            dandeliongap.Instant // end of the lease (M1)
	nextAttempt    dandeliongap.Instant // when to renew
	lastCall       dandeliongap.Instant // when the last call was sent
	attempt        uint64
	sentAttempts   [attemptsKept]sentAttempt
	inFlight       bool
	direct         bool // the call in flight goes to the platform itself
	countedFailed  bool // the call in flight was counted as failed
	failedRenewals int  // renewals in a row that failed
}

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

func (s *State) startCall(now dandeliongap.Instant, direct bool) {
	s.inFlight, s.direct, s.countedFailed = true, direct, false
	s.renewal.lastCall = now
}

// relayPeer returns a random member that reported within W that it reaches the
// platform (M3).
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

// countSlowCall counts a direct call that is not answered in time as failed.
func (s *State) countSlowCall(now dandeliongap.Instant) {
	if s.inFlight && s.direct && !s.countedFailed && now.Sub(s.renewal.lastCall) >= slowCallThreshold {
		s.countedFailed = true
		s.recordPlatformFailure(now)
	}
}

// RenewOK reports that the renewal of the given attempt succeeded and the lease
// object has the given version.
func (s *State) RenewOK(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version, dst []Action) []Action {
	s.beginEvent(now)
	if s.direct {
		s.recordPlatformOK(now)
	}
	s.confirmAttempt(now, attempt, version)
	return dst
}

// jitter shortens an interval by up to a tenth, so that VMs that started together
// do not renew together for ever.
func (s *State) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.rnd.Int64N(int64(d/renewJitterDivisor)))
}

// confirmAttempt takes over that the attempt is the content of the lease object.
func (s *State) confirmAttempt(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version) {
	s.inFlight = false
	s.failedRenewals = 0
	s.created = true
	s.renewal.version = max(s.renewal.version, version)
	s.renewal.nextAttempt = max(now, s.renewal.lastCall.Add(s.jitter(RenewInterval(s.vmCount))))
	a := s.sentAttempts[attempt%attemptsKept]
	if attempt != s.attempt {
		s.renewal.nextAttempt = now // an earlier one, read back
	}
	if a.number != attempt || a.until <= now {
		// Sent before a pause or too long ago: it proves nothing about now.
		s.renewal.nextAttempt = now
		return
	}
	s.paused = false
	s.renewal.end = max(s.renewal.end, a.until)
	if !s.leaving {
		s.rights = max(s.rights, s.renewal.end)
	}
}

// RenewConflict reports that the lease object has another version than the one
// that the attempt expected. The answer to an earlier renewal may have been lost,
// so the object is read back.
func (s *State) RenewConflict(now dandeliongap.Instant, _ uint64, dst []Action) []Action {
	s.beginEvent(now)
	if s.direct {
		s.recordPlatformOK(now)
	}
	s.startCall(now, true)
	return append(dst, Action{Kind: KindReadBack, Rule: M1, Member: s.self.ID})
}

// RenewUnreachable reports a renewal or read back without an answer; it may have
// taken effect.
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

// retryDelay is exponential with full jitter. Two calls fit into a TTL even after
// a slow one; during an outage the fleet calls as often as it renews.
func (s *State) retryDelay() time.Duration {
	limit := 2 * RenewInterval(s.vmCount)
	if s.failedRenewals < 8 {
		limit = min(limit, initialRetryDelay<<max(0, s.failedRenewals-1))
	}
	return time.Duration(1 + s.rnd.Int64N(int64(limit)))
}

// LeaseReadBack reports the own lease object: found is false if there is none.
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

// Leave reports that this VM is to stop: its record says so from now on, so that
// its replicas move.
func (s *State) Leave(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.self.State = dandeliongap.MemberLeaving
	s.joinAttempts = 0
	s.nextJoinRequest = now
	return dst
}

// Finish reports that this VM holds no replica any more and has no request under
// way. It gives up its rights, deletes its lease object and leaves the list.
func (s *State) Finish(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.leaving = true
	s.rights = never
	return s.continueLeaving(now, dst)
}

// continueLeaving deletes the own lease object, then drops this VM from the list.
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

// Finished tells whether this VM has left: no lease object and not listed.
func (s *State) Finished() bool { return s.leaving && !s.created && !s.Listed() }

// copyMembers returns the list to change.
func (s *State) copyMembers() []dandeliongap.Member {
	return append([]dandeliongap.Member(nil), s.roster.list.Members...)
}

// nextList returns the list after all pending changes, and whether it differs.
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
