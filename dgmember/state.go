package dgmember

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// State is what one VM knows of its lease and of the other members. The methods
// that report an event append the resulting actions to dst and return it. A State is
// not safe for concurrent use. Create it with New.
type State struct {
	self      dandeliongap.Member
	rnd       *rand.Rand
	lastEvent dandeliongap.Instant // time of the last event or end of the last pause
	roster
	listAdoptedAt dandeliongap.Instant // when the current list was adopted
	wasListed     bool                 // this VM was listed in some adopted list
	rights        dandeliongap.Instant // end of the rights
	renewal
	platformReach
	listChanges
	fencing
	removed bool // the lease was deleted or this VM was dropped from the list
	paused  bool // no renewal has succeeded since a pause (M6)
	leaving bool // Finish was called
}

// New returns the state of a VM that starts at now with a new incarnation.
func New(now dandeliongap.Instant, self dandeliongap.Member, rnd *rand.Rand) *State {
	s := &State{self: self, rnd: rnd, lastEvent: now, rights: never}
	s.roster.selfIndex = -1
	s.renewal = renewal{nextAttempt: now, end: never}
	s.platformReach = platformReach{platformUpChanged: now, lastPlatformOK: never}
	s.listChanges = listChanges{requested: map[dandeliongap.MemberID]dandeliongap.Member{}}
	s.fencing = fencing{suspects: map[dandeliongap.MemberID]*suspect{}, leaseGone: map[dandeliongap.MemberID]bool{}, formerMembers: map[dandeliongap.MemberID]bool{}}
	return s
}

// beginEvent records the time of an event and detects pauses by the gap since the
// last one (M6).
func (s *State) beginEvent(now dandeliongap.Instant) {
	if now.Sub(s.lastEvent) > PauseThreshold {
		s.Paused(now)
	}
	s.lastEvent = max(s.lastEvent, now)
	s.updatePlatformUp(now)
}

// Paused reports that the VM was paused until now (M6). A gap of more than
// PauseThreshold between two events has the same effect.
func (s *State) Paused(now dandeliongap.Instant) {
	s.lastEvent = max(s.lastEvent, now)
	s.rights = never
	s.renewal.end = never
	s.renewal.sentAttempts = [attemptsKept]sentAttempt{}
	s.renewal.nextAttempt = now
	s.paused = true
	s.lastPlatformOK = never
	s.setPlatformDown(now)
	s.roster.resetContacts(now)
	clear(s.fencing.suspects)
}

// Self returns the record of this VM that it sends with exchanges.
func (s *State) Self() dandeliongap.Member { return s.self }

// Listed reports whether this VM is in the member list.
func (s *State) Listed() bool { return s.roster.selfIndex >= 0 }

// ReachesPlatform reports whether this VM reaches the platform, in the sense in which
// it says so to the other members (K2).
func (s *State) ReachesPlatform(now dandeliongap.Instant) bool {
	s.beginEvent(now)
	return s.platformUp
}

// contactWindow returns the largest W of the list and of the earlier lists that it
// names.
func (s *State) contactWindow() time.Duration { return max(s.roster.window, ContactWindow(s.vmCount)) }

// Alive reports whether a member is listed and was heard from within SuspectAfter. A
// listed VM counts itself as alive.
func (s *State) Alive(now dandeliongap.Instant, id dandeliongap.MemberID) bool {
	i, ok := s.index[id]
	return ok && s.alive(now, i)
}

// Serving reports whether this VM accepts new work from callers (section 6.5 of the
// design page), and if not, why.
func (s *State) Serving(now dandeliongap.Instant) (bool, dandeliongap.Reason) {
	if s.removed {
		return false, dandeliongap.ReasonLease
	}
	if s.leaving {
		return false, dandeliongap.ReasonStopping
	}
	if now.Sub(s.lastPlatformOK) <= ContactWindow(s.vmCount) {
		return true, dandeliongap.ReasonNone
	}
	majority, reaches := s.recentContact(now)
	if majority || reaches {
		return true, dandeliongap.ReasonNone
	}
	return false, dandeliongap.ReasonIsolated
}

// Rights returns until when this VM may send to the replicas that it holds, and
// whether it may do so at now (M1, M2, M4, M6).
func (s *State) Rights(now dandeliongap.Instant) (until dandeliongap.Instant, ok bool) {
	if s.removed || s.leaving || now >= s.rights {
		return 0, false
	}
	return s.rights, true
}

// extendRights extends rights that are still valid while a majority reports an
// outage of the platform (M2).
func (s *State) extendRights(now dandeliongap.Instant) {
	if s.platformUp || s.paused || now >= s.rights {
		return
	}
	if until, ok := s.outageConfirmedUntil(now); ok {
		s.rights = max(s.rights, until)
	}
}

// MembersAdopted reports that the relay adopted a version of state/members. exists
// is false if the object was deleted or never existed.
func (s *State) MembersAdopted(now dandeliongap.Instant, version dandeliongap.Version, exists bool, list dgrelay.MemberList, dst []Action) []Action {
	s.beginEvent(now)
	if version < s.roster.version || (version == s.roster.version && s.listKnown) {
		return dst
	}
	s.listKnown = true
	if len(s.formerMembers) > maxFormerMembers {
		clear(s.formerMembers)
	}
	for _, m := range s.roster.list.Members {
		s.formerMembers[m.ID] = true
	}
	for _, m := range list.Members {
		delete(s.formerMembers, m.ID)
	}
	s.setList(now, s.self.ID, version, exists, list)
	s.updateAdopted(now)
	s.listAdoptedAt = now
	s.writeInFlight = false
	s.discardAppliedChanges(now)
	if s.Listed() {
		s.wasListed = true
		s.joinAttempts = 0
	} else if s.wasListed && !s.leaving {
		return s.stopLost(F3, dst)
	}
	return dst
}

// stopLost ends the rights for good and tells the driver to start a new incarnation.
func (s *State) stopLost(rule Rule, dst []Action) []Action {
	if s.removed {
		return dst
	}
	s.removed = true
	s.rights = never
	return append(dst, Action{Kind: KindStopLost, Rule: rule, Member: s.self.ID})
}

// ExchangeSucceeded reports the reply to an exchange that this VM started (K1).
func (s *State) ExchangeSucceeded(now dandeliongap.Instant, a ExchangeAnswer, dst []Action) []Action {
	s.beginEvent(now)
	from, ok := s.index[a.From]
	if !ok || from == s.roster.selfIndex {
		return dst
	}
	c := &s.contacts[from]
	if !c.lastReported || a.Sent > c.lastAt {
		c.lastAt, c.lastReaches, c.lastReported = a.Sent, a.ReachesPlatform, true
	}
	if a.Contacts.MembersVersion == s.roster.version && len(a.Contacts.Ages) == len(s.contacts) {
		s.mergeContacts(now, a)
		s.updateAdopted(now)
	}
	s.extendRights(now)
	s.discardAliveSuspects(now)
	return dst
}

// mergeContacts adds the reports in the contact vector of a reply.
func (s *State) mergeContacts(now dandeliongap.Instant, a ExchangeAnswer) {
	newOutage := false
	for i, b := range a.Contacts.Ages {
		age := b &^ platformBit
		if i == s.roster.selfIndex || age == ageUnknown {
			continue
		}
		reaches := b&platformBit != 0
		newOutage = newOutage || (s.contacts[i].curReported && s.contacts[i].curReaches && !reaches)
		s.addReport(now, a.Sent.Add(-time.Duration(age)*AgeUnit), i, reaches)
	}
	if newOutage {
		s.renewEarly(now)
	}
}

// ExchangeFailed reports that an exchange got no reply.
func (s *State) ExchangeFailed(now dandeliongap.Instant, _ dandeliongap.MemberID, dst []Action) []Action {
	s.beginEvent(now)
	return dst
}

// ContactVector returns the contact vector for the reply to an exchange, with its
// ages appended to ages. The ages include the time since this VM received each
// report. The vector of a VM that is not listed is empty.
func (s *State) ContactVector(now dandeliongap.Instant, ages []byte) ContactVector {
	s.beginEvent(now)
	if !s.Listed() || s.removed {
		return ContactVector{}
	}
	for i, c := range s.contacts {
		switch {
		case i == s.roster.selfIndex:
			ages = append(ages, encodeAge(0, s.platformUp))
		case c.curReported:
			ages = append(ages, encodeAge(now.Sub(c.curAt), c.curReaches))
		default:
			ages = append(ages, ageUnknown)
		}
	}
	return ContactVector{MembersVersion: s.roster.version, Ages: ages}
}

// encodeAge returns the byte for one member of a contact vector. It rounds the age
// up, because a report must never be taken for newer than it is.
func encodeAge(age time.Duration, reaches bool) byte {
	units := (age + AgeUnit - 1) / AgeUnit
	if units >= ageUnknown {
		return ageUnknown
	}
	b := byte(max(0, units))
	if reaches {
		b |= platformBit
	}
	return b
}

// Tick appends the actions that are due at now.
func (s *State) Tick(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	if s.removed {
		return dst
	}
	s.countSlowCall(now)
	s.extendRights(now)
	dst = s.renew(now, dst)
	if s.paused || s.leaving {
		return s.continueLeaving(now, dst)
	}
	dst = s.requestJoin(now, dst)
	dst = s.fence(now, dst)
	return s.writeChanges(now, dst)
}

// Next returns when Tick has to be called next.
func (s *State) Next() dandeliongap.Instant {
	next := s.lastEvent.Add(tickInterval)
	if !s.inFlight && s.renewal.nextAttempt < next {
		next = max(s.lastEvent, s.renewal.nextAttempt)
	}
	return next
}

// platformReach holds whether this VM reports that it reaches the platform (K2), and
// the results of its direct calls to the platform.
type platformReach struct {
	platformUp        bool                 // as reported to the other members
	platformUpChanged dandeliongap.Instant // when platformUp last changed
	lastPlatformOK    dandeliongap.Instant // time of the last reply of the platform
	platformFailures  int                  // consecutive failed calls
}

// PlatformOK reports that the platform replied to a direct call of this VM.
func (s *State) PlatformOK(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformOK(now)
	return dst
}

// PlatformFailed reports that a direct call of this VM to the platform got no reply.
func (s *State) PlatformFailed(now dandeliongap.Instant, dst []Action) []Action {
	s.beginEvent(now)
	s.recordPlatformFailure(now)
	return dst
}

func (s *State) recordPlatformOK(now dandeliongap.Instant) {
	s.lastPlatformOK = now
	s.platformFailures = 0
	s.updatePlatformUp(now)
}

func (s *State) recordPlatformFailure(now dandeliongap.Instant) {
	s.platformFailures++
	// When a third of the calls fails, one or two consecutive failures are
	// common. Treating them as an outage would stop all fencing, because by K2
	// each such report lasts W + margin and a majority without one would be rare.
	// Two failures suffice when a quarter of the members report an outage.
	if s.platformFailures >= 3 || (s.platformFailures >= 2 && 4*s.peersReportingOutage() >= len(s.contacts)) {
		s.setPlatformDown(now)
	}
	s.extendRights(now)
}

func (s *State) setPlatformDown(now dandeliongap.Instant) {
	s.platformUp = false
	s.platformUpChanged = now
}

// updatePlatformUp clears platformUp when the last reply is older than the contact
// window, and sets it again no earlier than W + margin after it was cleared (K2).
func (s *State) updatePlatformUp(now dandeliongap.Instant) {
	recent := s.lastPlatformOK != never && now.Sub(s.lastPlatformOK) <= s.contactWindow()
	switch {
	case s.platformUp && !recent:
		s.setPlatformDown(now)
	case !s.platformUp && recent && s.platformFailures == 0 && now.Sub(s.platformUpChanged) >= s.contactWindow()+Margin:
		s.platformUp = true
		s.platformUpChanged = now
	}
}

// peersReportingOutage returns how many other members reported within W, under the
// current version, that they do not reach the platform.
func (s *State) peersReportingOutage() int {
	n := 0
	for i, c := range s.contacts {
		if i != s.roster.selfIndex && c.curReported && !c.curReaches && s.lastEvent.Sub(c.curAt) <= s.roster.window {
			n++
		}
	}
	return n
}

// renewEarly makes a renewal due at once when at least an eighth of the members report
// an outage and the last call is at least half a renewal interval ago. If this VM is
// cut off as well, it learns so early enough for M2 to apply before its lease ends.
func (s *State) renewEarly(now dandeliongap.Instant) {
	n := s.peersReportingOutage()
	if s.inFlight || n == 0 || 8*n < len(s.contacts) || now.Sub(s.renewal.lastCall) < RenewInterval(s.vmCount)/2 {
		return
	}
	s.renewal.nextAttempt = min(s.renewal.nextAttempt, now)
}
