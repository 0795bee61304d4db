package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// suspect is a member whose lease object is observed.
type suspect struct {
	version dandeliongap.Version // 0: not read yet
	ttl     time.Duration
	since   dandeliongap.Instant // when this version was first read
	ready   bool                 // all conditions of F1 hold
	readyAt dandeliongap.Instant // since when they do
	busy    bool                 // a call about it is in flight
	next    dandeliongap.Instant // earliest next call
}

// fencing is the state of members that are suspected or gone.
type fencing struct {
	suspects map[dandeliongap.MemberID]*suspect
	gone     map[dandeliongap.MemberID]bool // lease object gone, still listed
	dropped  map[dandeliongap.MemberID]bool // were listed once
}

// fence observes the lease objects of suspects and deletes them (F1).
func (s *State) fence(now dandeliongap.Instant, dst []Action) []Action {
	if !s.Listed() || now >= s.renewal.end {
		return dst
	}
	wait := SuspectAfter(s.vms) + time.Duration(s.lowerRanks(now))*RankStep
	for i, m := range s.list.Members {
		if i == s.roster.self || s.gone[m.ID] || now.Sub(s.known[i].at) < wait {
			continue
		}
		dst = s.observe(now, i, m.ID, dst)
	}
	return dst
}

func (s *State) observe(now dandeliongap.Instant, i int, id dandeliongap.MemberID, dst []Action) []Action {
	p := s.suspects[id]
	if p == nil {
		p = &suspect{}
		s.suspects[id] = p
		// A direct exchange may show that only the news of it was lost.
		dst = append(dst, Action{Kind: KindExchange, Rule: F1, Member: id})
	}
	if p.busy || now < p.next {
		return dst
	}
	switch {
	case p.version == 0:
		p.busy = true
		return append(dst, Action{Kind: KindReadLease, Rule: F1, Member: id})
	case s.mayDelete(now, i, p):
		p.busy = true
		return append(dst, Action{Kind: KindDeleteLease, Rule: F2, Member: id, Version: p.version})
	}
	return dst
}

// mayDelete is F1 without the platform's part.
func (s *State) mayDelete(now dandeliongap.Instant, i int, p *suspect) bool {
	if !s.up || now.Sub(p.since) < p.ttl+s.roster.window+Margin || !s.reachMajority(now, max(s.changed, s.listedAt), i) {
		p.ready = false
		return false
	}
	if !p.ready {
		p.ready, p.readyAt = true, now
	}
	// After a zone is lost all VMs are ready at about the same time. The step per
	// rank lets one of them delete each lease.
	return now >= p.readyAt.Add(time.Duration(s.lowerRanks(now))*RankStep)
}

// dropHeard ends the suspicion of members that were heard of again.
func (s *State) dropHeard(now dandeliongap.Instant) {
	for id := range s.suspects {
		if i, ok := s.index[id]; ok && s.heard(now, i) {
			delete(s.suspects, id)
		}
	}
}

// SuspectLeaseRead reports the lease object of a suspect: found is false if there is
// none.
func (s *State) SuspectLeaseRead(now dandeliongap.Instant, id dandeliongap.MemberID, found bool, version dandeliongap.Version, lease Lease, dst []Action) []Action {
	s.enter(now)
	s.reached(now)
	p := s.suspects[id]
	if p == nil {
		return dst
	}
	p.busy = false
	p.next = now.Add(retryEvery)
	if !found {
		s.setGone(id)
		return dst
	}
	if version != p.version {
		// A body without a TTL must not shorten the wait.
		p.version, p.ttl, p.since = version, max(lease.TTL, LeaseTTL(s.vms)), now
	}
	return dst
}

// SuspectCallFailed reports a read or deletion of a suspect's lease object without
// an answer; a deletion may have taken effect, so the object is read again.
func (s *State) SuspectCallFailed(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.enter(now)
	s.missed(now)
	s.reread(now, id)
	return dst
}

// LeaseDeleted reports that the lease object of a suspect, or the own one after
// Finish, was deleted.
func (s *State) LeaseDeleted(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.enter(now)
	s.reached(now)
	if id == s.self.ID {
		s.created = false
		s.nextChange = now
		return s.finish(now, dst)
	}
	s.setGone(id)
	return dst
}

// LeaseConflict reports that the lease object of a suspect, or the own one after
// Finish, had another version or was gone (F2).
func (s *State) LeaseConflict(now dandeliongap.Instant, id dandeliongap.MemberID, dst []Action) []Action {
	s.enter(now)
	s.reached(now)
	if id == s.self.ID {
		// A renewal or deletion without an answer had taken effect.
		s.launch(now, true)
		return append(dst, Action{Kind: KindReadBack, Rule: F2, Member: id})
	}
	s.reread(now, id)
	return dst
}

func (s *State) reread(now dandeliongap.Instant, id dandeliongap.MemberID) {
	if p := s.suspects[id]; p != nil {
		*p = suspect{next: now.Add(retryEvery)}
	}
}

func (s *State) setGone(id dandeliongap.MemberID) {
	delete(s.suspects, id)
	if _, ok := s.index[id]; ok {
		s.gone[id] = true
	}
}

// Suspects returns the ids of members whose lease objects are observed, sorted.
func (s *State) Suspects() []dandeliongap.MemberID {
	ids := make([]dandeliongap.MemberID, 0, len(s.suspects))
	for id := range s.suspects {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
