package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// joining is the state of changes of the list that members asked for.
type joining struct {
	listKnown  bool
	asked      map[dandeliongap.MemberID]dandeliongap.Member // not yet in the list
	joinTries  int
	nextJoin   dandeliongap.Instant
	pending    bool                 // there are changes to write
	since      dandeliongap.Instant // since when
	writing    bool
	nextChange dandeliongap.Instant
}

// JoinRequested reports the record of a member that is not listed, or listed with
// another state, from a request to this VM.
func (s *State) JoinRequested(now dandeliongap.Instant, m dandeliongap.Member, dst []Action) []Action {
	s.enter(now)
	if !s.dropped[m.ID] && !s.gone[m.ID] && m.ID != s.self.ID {
		s.asked[m.ID] = m
	}
	return dst
}

// join asks for a place in the list (J1), once the lease object exists: without
// it this VM would be dropped again.
func (s *State) join(now dandeliongap.Instant, dst []Action) []Action {
	if !s.listKnown || !s.created || now < s.nextJoin || now >= s.renewal.end {
		return dst
	}
	if s.Listed() && s.list.Members[s.roster.self] == s.self {
		delete(s.asked, s.self.ID)
		return dst
	}
	s.nextJoin = now.Add(joinEvery)
	first := s.lowestHeard(now)
	if first == "" || s.joinTries >= joinAttempts {
		s.asked[s.self.ID] = s.self
		return dst
	}
	s.joinTries++
	return append(dst, Action{Kind: KindExchange, Rule: J1, Member: first})
}

// lowestHeard returns the member with the lowest rank that is heard of; none if
// that is this VM.
func (s *State) lowestHeard(now dandeliongap.Instant) dandeliongap.MemberID {
	for i, m := range s.list.Members {
		if i == s.roster.self {
			return ""
		}
		if s.heard(now, i) {
			return m.ID
		}
	}
	return ""
}

// settleChanges forgets changes that the new list contains.
func (s *State) settleChanges(now dandeliongap.Instant) {
	s.pending = false
	for id, m := range s.asked {
		if i, ok := s.index[id]; (ok && s.list.Members[i] == m) || s.dropped[id] {
			delete(s.asked, id)
		}
	}
	for id := range s.gone {
		if _, ok := s.index[id]; !ok {
			delete(s.gone, id)
		}
	}
	for id := range s.suspects {
		if _, ok := s.index[id]; !ok {
			delete(s.suspects, id)
		}
	}
	s.nextChange = max(s.nextChange, now)
}

// write writes the pending changes of the list when it is this VM's turn (L1).
func (s *State) write(now dandeliongap.Instant, dst []Action) []Action {
	if len(s.asked) == 0 && len(s.gone) == 0 {
		s.pending = false
		return dst
	}
	if !s.pending {
		s.pending, s.since = true, now
	}
	turn := s.since.Add(BatchDelay + time.Duration(s.lowerRanks(now))*RankStep)
	if s.writing || !s.listKnown || now < turn || now < s.nextChange || now >= s.renewal.end {
		return dst
	}
	rule := L1
	if len(s.gone) > 0 {
		rule = F3
	}
	return s.writeList(now, rule, dst)
}

// MayWritePlacement tells whether it is this VM's turn to write the placement table, if
// there has been something to write since the given instant (L1).
func (s *State) MayWritePlacement(now, since dandeliongap.Instant) bool {
	if s.lost || s.paused || s.leaving || !s.Listed() || now >= s.renewal.end {
		return false
	}
	return now >= since.Add(time.Duration(s.lowerRanks(now))*RankStep)
}

func (s *State) writeList(now dandeliongap.Instant, rule Rule, dst []Action) []Action {
	s.noteAdopted(now)
	l, changed := s.nextList()
	if !changed {
		return dst
	}
	s.writing = true
	s.nextChange = now.Add(retryEvery)
	a := Action{Kind: KindWriteMembers, Rule: rule, List: l}
	if s.roster.exists {
		a.Version = s.roster.version
	}
	return append(dst, a)
}

// MembersNotWritten reports a write of the list that failed or got no answer; it
// may have taken effect, and then the new list arrives through the relay.
func (s *State) MembersNotWritten(now dandeliongap.Instant, dst []Action) []Action {
	s.enter(now)
	s.writing = false
	s.nextChange = now.Add(retryEvery)
	return dst
}

// nextBefore returns the earlier lists that a list of the given members has to
// name (F4).
func (s *State) nextBefore(members []dandeliongap.Member) [][]dandeliongap.VMName {
	next := vmNames(members)
	var before [][]dandeliongap.VMName
	add := func(names []dandeliongap.VMName) {
		same := func(b []dandeliongap.VMName) bool { return slices.Equal(b, names) }
		if len(names) > 0 && !same(next) && !slices.ContainsFunc(before, same) {
			before = append(before, names)
		}
	}
	for i, names := range s.list.PriorLists {
		if !s.groups[i+1].adopted {
			add(names)
		}
	}
	add(vmNames(s.list.Members))
	return before
}

// vmNames returns the VM names of members, sorted, each once.
func vmNames(members []dandeliongap.Member) []dandeliongap.VMName {
	names := make([]dandeliongap.VMName, 0, len(members))
	for _, m := range members {
		names = append(names, m.VM)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
