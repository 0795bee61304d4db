package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// listChanges holds the pending changes of the member list.
type listChanges struct {
	listKnown       bool                                          // a version of the list, or its absence, was reported
	requested       map[dandeliongap.MemberID]dandeliongap.Member // records to add or update
	joinAttempts    int                                           // requests of this VM to be added or updated (J1)
	nextJoinRequest dandeliongap.Instant
	changesPending  bool
	pendingSince    dandeliongap.Instant // start of the batch (BatchDelay)
	writeInFlight   bool
	nextWrite       dandeliongap.Instant // earliest next write
}

// JoinRequested reports that a peer that is not listed, or is listed with another
// state, sent its record m with an exchange.
func (s *State) JoinRequested(now dandeliongap.Instant, m dandeliongap.Member, dst []Action) []Action {
	s.beginEvent(now)
	if !s.formerMembers[m.ID] && !s.leaseGone[m.ID] && m.ID != s.self.ID {
		s.requested[m.ID] = m
	}
	return dst
}

// requestJoin asks for this VM to be listed with its current record (J1). It does so
// only once the lease object exists: without one this VM would be dropped again.
func (s *State) requestJoin(now dandeliongap.Instant, dst []Action) []Action {
	if !s.listKnown || !s.created || now < s.nextJoinRequest || now >= s.renewal.end {
		return dst
	}
	if s.Listed() && s.list.Members[s.roster.selfIndex] == s.self {
		delete(s.requested, s.self.ID)
		return dst
	}
	s.nextJoinRequest = now.Add(joinInterval)
	first := s.lowestRankedPeer(now)
	if first == "" || s.joinAttempts >= maxJoinAttempts {
		s.requested[s.self.ID] = s.self
		return dst
	}
	s.joinAttempts++
	return append(dst, Action{Kind: KindExchange, Rule: J1, Member: first})
}

// lowestRankedPeer returns the live member with the lowest rank, or "" if that is
// this VM or there is none.
func (s *State) lowestRankedPeer(now dandeliongap.Instant) dandeliongap.MemberID {
	for i, m := range s.list.Members {
		if i == s.roster.selfIndex {
			return ""
		}
		if s.alive(now, i) {
			return m.ID
		}
	}
	return ""
}

// discardAppliedChanges removes the pending changes that the newly adopted list
// contains, the requests of members that were dropped, and the suspects that are no
// longer listed.
func (s *State) discardAppliedChanges(now dandeliongap.Instant) {
	s.changesPending = false
	for id, m := range s.requested {
		if i, ok := s.index[id]; (ok && s.list.Members[i] == m) || s.formerMembers[id] {
			delete(s.requested, id)
		}
	}
	for id := range s.leaseGone {
		if _, ok := s.index[id]; !ok {
			delete(s.leaseGone, id)
		}
	}
	for id := range s.suspects {
		if _, ok := s.index[id]; !ok {
			delete(s.suspects, id)
		}
	}
	s.nextWrite = max(s.nextWrite, now)
}

// writeChanges writes the pending changes of the list when it is this VM's turn
// (L1).
func (s *State) writeChanges(now dandeliongap.Instant, dst []Action) []Action {
	if len(s.requested) == 0 && len(s.leaseGone) == 0 {
		s.changesPending = false
		return dst
	}
	if !s.changesPending {
		s.changesPending, s.pendingSince = true, now
	}
	turn := s.pendingSince.Add(BatchDelay + time.Duration(s.lowerRankCount(now))*RankStep)
	if s.writeInFlight || !s.listKnown || now < turn || now < s.nextWrite || now >= s.renewal.end {
		return dst
	}
	rule := L1
	if len(s.leaseGone) > 0 {
		rule = F3
	}
	return s.writeList(now, rule, dst)
}

// MayWritePlacement reports whether it is this VM's turn to write the placement
// table, given that the table has needed a change since the given instant (L1).
func (s *State) MayWritePlacement(now, since dandeliongap.Instant) bool {
	if s.removed || s.paused || s.leaving || !s.Listed() || now >= s.renewal.end {
		return false
	}
	return now >= since.Add(time.Duration(s.lowerRankCount(now))*RankStep)
}

// writeList appends the write of the list with all pending changes, if that list may
// be written.
func (s *State) writeList(now dandeliongap.Instant, rule Rule, dst []Action) []Action {
	s.updateAdopted(now)
	l, writable := s.nextList()
	if !writable {
		return dst
	}
	s.writeInFlight = true
	s.nextWrite = now.Add(retryInterval)
	a := Action{Kind: KindWriteMembers, Rule: rule, List: l}
	if s.roster.exists {
		a.Version = s.roster.version
	}
	return append(dst, a)
}

// MembersNotWritten reports that a write of the list failed or got no reply. The
// write may have taken effect; the new list then arrives through the relay.
func (s *State) MembersNotWritten(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.writeInFlight = false
	s.nextWrite = now.Add(retryInterval)
	return dst
}

// nextPriorLists returns the VM names of the earlier lists that a new list with the
// given members has to include (F4).
func (s *State) nextPriorLists(members []dandeliongap.Member) [][]dandeliongap.VMName {
	next := vmNames(members)
	var prior [][]dandeliongap.VMName
	add := func(names []dandeliongap.VMName) {
		same := func(b []dandeliongap.VMName) bool { return slices.Equal(b, names) }
		if len(names) > 0 && !same(next) && !slices.ContainsFunc(prior, same) {
			prior = append(prior, names)
		}
	}
	for i, names := range s.list.PriorLists {
		if !s.voterSets[i+1].adopted {
			add(names)
		}
	}
	add(vmNames(s.list.Members))
	return prior
}

// vmNames returns the VM names of members, sorted and without duplicates.
func vmNames(members []dandeliongap.Member) []dandeliongap.VMName {
	names := make([]dandeliongap.VMName, 0, len(members))
	for _, m := range members {
		names = append(names, m.VM)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
