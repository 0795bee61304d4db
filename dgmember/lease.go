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
	version  dandeliongap.Version
	created  bool
	end      dandeliongap.Instant // end of the lease (M1)
	next     dandeliongap.Instant // when to renew
	last     dandeliongap.Instant // when the last call was sent
	attempt  uint64
	sent     [attemptsKept]sentAttempt
	inFlight bool
	direct   bool // the call in flight goes to the platform itself
	slow     bool // the call in flight was counted as failed
	failed   int  // renewals in a row that failed
}

func (s *State) renew(now dandeliongap.Instant, dst []Action) []Action {
	if s.inFlight || now < s.renewal.next || s.leaving {
		return dst
	}
	ttl := LeaseTTL(s.vms)
	s.attempt++
	s.sent[s.attempt%attemptsKept] = sentAttempt{number: s.attempt, until: now.Add(ttl)}
	a := Action{
		Kind: KindRenew, Rule: M1, Member: s.self.ID, Version: s.renewal.version,
		Lease: Lease{Member: s.self.ID, Attempt: s.attempt, TTL: ttl},
	}
	if s.failed%2 == 1 {
		if a.Via = s.relayPeer(now); a.Via != "" {
			a.Rule = M3
		}
	}
	s.launch(now, a.Via == "")
	return append(dst, a)
}

func (s *State) launch(now dandeliongap.Instant, direct bool) {
	s.inFlight, s.direct, s.slow = true, direct, false
	s.renewal.last = now
}

// relayPeer returns a random member that reported within W that it reaches the
// platform (M3).
func (s *State) relayPeer(now dandeliongap.Instant) dandeliongap.MemberID {
	var id dandeliongap.MemberID
	n := 0
	for i, c := range s.known {
		if i == s.roster.self || !c.ok || !c.on || now.Sub(c.at) > s.contactWindow() {
			continue
		}
		if n++; s.rnd.IntN(n) == 0 {
			id = s.list.Members[i].ID
		}
	}
	return id
}

// noteSlow counts a direct call that is not answered in time as failed.
func (s *State) noteSlow(now dandeliongap.Instant) {
	if s.inFlight && s.direct && !s.slow && now.Sub(s.renewal.last) >= slowCall {
		s.slow = true
		s.missed(now)
	}
}

// RenewOK reports that the renewal of the given attempt succeeded and the lease
// object has the given version.
func (s *State) RenewOK(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version, dst []Action) []Action {
	s.enter(now)
	if s.direct {
		s.reached(now)
	}
	s.landed(now, attempt, version)
	return dst
}

// spread shortens an interval by up to a tenth, so that VMs that started together
// do not renew together for ever.
func (s *State) spread(d time.Duration) time.Duration {
	return d - time.Duration(s.rnd.Int64N(int64(d/renewSpread)))
}

// landed takes over that the attempt is the content of the lease object.
func (s *State) landed(now dandeliongap.Instant, attempt uint64, version dandeliongap.Version) {
	s.inFlight = false
	s.failed = 0
	s.created = true
	s.renewal.version = max(s.renewal.version, version)
	s.renewal.next = max(now, s.renewal.last.Add(s.spread(RenewInterval(s.vms))))
	a := s.sent[attempt%attemptsKept]
	if attempt != s.attempt {
		s.renewal.next = now // an earlier one, read back
	}
	if a.number != attempt || a.until <= now {
		// Sent before a pause or too long ago: it proves nothing about now.
		s.renewal.next = now
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
	s.enter(now)
	if s.direct {
		s.reached(now)
	}
	s.launch(now, true)
	return append(dst, Action{Kind: KindReadBack, Rule: M1, Member: s.self.ID})
}

// RenewUnreachable reports a renewal or read back without an answer; it may have
// taken effect.
func (s *State) RenewUnreachable(now dandeliongap.Instant, _ uint64, dst []Action) []Action {
	s.enter(now)
	if s.direct && !s.slow {
		s.missed(now)
	}
	s.inFlight = false
	s.failed++
	s.renewal.next = now.Add(s.retryDelay())
	return dst
}

// retryDelay is exponential with full jitter. Two calls fit into a TTL even after
// a slow one; during an outage the fleet calls as often as it renews.
func (s *State) retryDelay() time.Duration {
	limit := 2 * RenewInterval(s.vms)
	if s.failed < 8 {
		limit = min(limit, firstRetry<<max(0, s.failed-1))
	}
	return time.Duration(1 + s.rnd.Int64N(int64(limit)))
}

// LeaseReadBack reports the own lease object: found is false if there is none.
func (s *State) LeaseReadBack(now dandeliongap.Instant, found bool, version dandeliongap.Version, lease Lease, dst []Action) []Action {
	s.enter(now)
	s.reached(now)
	s.inFlight = false
	switch {
	case found && lease.Member == s.self.ID:
		s.landed(now, lease.Attempt, version)
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
	s.enter(now)
	s.self.State = dandeliongap.MemberLeaving
	s.joinTries = 0
	s.nextJoin = now
	return dst
}

// Finish reports that this VM holds no replica any more and has no request under
// way. It gives up its rights, deletes its lease object and leaves the list.
func (s *State) Finish(now dandeliongap.Instant, dst []Action) []Action {
	s.enter(now)
	s.leaving = true
	s.rights = none
	return s.finish(now, dst)
}

// finish deletes the own lease object, then drops this VM from the list.
func (s *State) finish(now dandeliongap.Instant, dst []Action) []Action {
	if !s.leaving || s.lost || s.inFlight || now < s.nextChange {
		return dst
	}
	s.nextChange = now.Add(retryEvery)
	switch {
	case s.created:
		return append(dst, Action{Kind: KindDeleteLease, Rule: F3, Member: s.self.ID, Version: s.renewal.version})
	case s.Listed() && !s.writing:
		s.gone[s.self.ID] = true
		return s.writeList(now, F3, dst)
	}
	return dst
}

// Finished tells whether this VM has left: no lease object and not listed.
func (s *State) Finished() bool { return s.leaving && !s.created && !s.Listed() }

// currentList returns the list to change.
func (s *State) currentList() []dandeliongap.Member {
	return append([]dandeliongap.Member(nil), s.roster.list.Members...)
}

// nextList returns the list after all pending changes, and whether it differs.
func (s *State) nextList() (dgrelay.MemberList, bool) {
	members := s.currentList()
	changed := false
	kept := members[:0]
	for _, m := range members {
		if s.gone[m.ID] {
			changed = true
			continue
		}
		if a, ok := s.asked[m.ID]; ok && a != m {
			m, changed = a, true
		}
		kept = append(kept, m)
	}
	for id, m := range s.asked {
		if _, listed := s.index[id]; !listed && !s.gone[id] {
			kept = append(kept, m)
			changed = true
		}
	}
	dgrelay.SortByRank(kept)
	l := dgrelay.MemberList{Members: kept}
	l.PriorLists = s.nextBefore(kept)
	return l, changed && len(l.PriorLists) <= maxBefore
}
