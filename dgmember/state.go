package dgmember

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// State is what one VM knows of its lease and of the other members. Its methods
// append actions to dst and return it. Create it with New.
type State struct {
	self dandeliongap.Member
	rnd  *rand.Rand
	last dandeliongap.Instant // last event
	roster
	listedAt dandeliongap.Instant // when the present list was adopted
	wasIn    bool                 // this VM was listed before
	rights   dandeliongap.Instant // end of the rights
	renewal
	reach
	joining
	fencing
	lost    bool
	paused  bool // no renewal since a pause (M6)
	leaving bool // Finish was called
}

// New returns the state of a VM that starts at now with a new incarnation.
func New(now dandeliongap.Instant, self dandeliongap.Member, rnd *rand.Rand) *State {
	s := &State{self: self, rnd: rnd, last: now, rights: none}
	s.roster.self = -1
	s.renewal = renewal{next: now, end: none}
	s.reach = reach{changed: now, lastOK: none}
	s.joining = joining{asked: map[dandeliongap.MemberID]dandeliongap.Member{}}
	s.fencing = fencing{suspects: map[dandeliongap.MemberID]*suspect{}, gone: map[dandeliongap.MemberID]bool{}, dropped: map[dandeliongap.MemberID]bool{}}
	return s
}

// enter notes an event and finds pauses from the gap since the last one (M6).
func (s *State) enter(now dandeliongap.Instant) {
	if now.Sub(s.last) > PauseThreshold {
		s.Paused(now)
	}
	s.last = max(s.last, now)
	s.updateReach(now)
}

// Paused reports that the VM was paused until now. A gap of more than PauseThreshold
// between two events has the same effect.
func (s *State) Paused(now dandeliongap.Instant) {
	s.last = max(s.last, now)
	s.rights = none
	s.renewal.end = none
	s.renewal.sent = [attemptsKept]sentAttempt{}
	s.renewal.next = now
	s.paused = true
	s.lastOK = none
	s.turnOff(now)
	s.roster.forget(now)
	clear(s.fencing.suspects)
}

// Self returns the record of this VM as it goes with exchanges.
func (s *State) Self() dandeliongap.Member { return s.self }

// Listed tells whether this VM is in the list of members.
func (s *State) Listed() bool { return s.roster.self >= 0 }

// ReachesPlatform is the bit that this VM reports of itself (K2).
func (s *State) ReachesPlatform(now dandeliongap.Instant) bool {
	s.enter(now)
	return s.up
}

func (s *State) contactWindow() time.Duration { return max(s.roster.window, ContactWindow(s.vms)) }

// Alive tells whether a member was heard of within SuspectAfter.
func (s *State) Alive(now dandeliongap.Instant, id dandeliongap.MemberID) bool {
	i, ok := s.index[id]
	return ok && s.heard(now, i)
}

// Serving tells whether this VM accepts new work from callers (section 6.5 of
// the design page), and if not, why.
func (s *State) Serving(now dandeliongap.Instant) (bool, dandeliongap.Reason) {
	if s.lost {
		return false, dandeliongap.ReasonLease
	}
	if s.leaving {
		return false, dandeliongap.ReasonStopping
	}
	if now.Sub(s.lastOK) <= ContactWindow(s.vms) {
		return true, dandeliongap.ReasonNone
	}
	majority, reaches := s.heardWithin(now)
	if majority || reaches {
		return true, dandeliongap.ReasonNone
	}
	return false, dandeliongap.ReasonIsolated
}

// Rights returns until when this VM may send to the replicas that it holds, and
// whether it may at now (M1, M2, M4, M6).
func (s *State) Rights(now dandeliongap.Instant) (until dandeliongap.Instant, ok bool) {
	if s.lost || s.leaving || now >= s.rights {
		return 0, false
	}
	return s.rights, true
}

// extend prolongs valid rights by the reports of others (M2).
func (s *State) extend(now dandeliongap.Instant) {
	if s.up || s.paused || now >= s.rights {
		return
	}
	if until, ok := s.cutOffUntil(now); ok {
		s.rights = max(s.rights, until)
	}
}

// MembersAdopted reports a version of state/members that the relay adopted. exists is
// false if there is no such object, or not any more.
func (s *State) MembersAdopted(now dandeliongap.Instant, version dandeliongap.Version, exists bool, list dgrelay.MemberList, dst []Action) []Action {
	s.enter(now)
	if version < s.roster.version || (version == s.roster.version && s.listKnown) {
		return dst
	}
	s.listKnown = true
	if len(s.dropped) > maxDropped {
		clear(s.dropped)
	}
	for _, m := range s.roster.list.Members {
		s.dropped[m.ID] = true
	}
	for _, m := range list.Members {
		delete(s.dropped, m.ID)
	}
	s.replace(now, s.self.ID, version, exists, list)
	s.noteAdopted(now)
	s.listedAt = now
	s.writing = false
	s.settleChanges(now)
	if s.Listed() {
		s.wasIn = true
		s.joinTries = 0
	} else if s.wasIn && !s.leaving {
		return s.stopLost(F3, dst)
	}
	return dst
}

func (s *State) stopLost(rule Rule, dst []Action) []Action {
	if s.lost {
		return dst
	}
	s.lost = true
	s.rights = none
	return append(dst, Action{Kind: KindStopLost, Rule: rule, Member: s.self.ID})
}

// ExchangeSucceeded reports the answer to an exchange that this VM started (K1).
func (s *State) ExchangeSucceeded(now dandeliongap.Instant, a ExchangeAnswer, dst []Action) []Action {
	s.enter(now)
	from, ok := s.index[a.From]
	if !ok || from == s.roster.self {
		return dst
	}
	c := &s.known[from]
	if !c.ok || a.Sent > c.at {
		c.at, c.on, c.ok = a.Sent, a.ReachesPlatform, true
	}
	if a.Contacts.MembersVersion == s.roster.version && len(a.Contacts.Ages) == len(s.known) {
		s.merge(now, a)
		s.noteAdopted(now)
	}
	s.extend(now)
	s.dropHeard(now)
	return dst
}

func (s *State) merge(now dandeliongap.Instant, a ExchangeAnswer) {
	turned := false
	for i, b := range a.Contacts.Ages {
		age := b &^ platformBit
		if i == s.roster.self || age == ageUnknown {
			continue
		}
		on := b&platformBit != 0
		turned = turned || (s.known[i].vok && s.known[i].von && !on)
		s.report(now, a.Sent.Add(-time.Duration(age)*AgeUnit), i, on)
	}
	if turned {
		s.probeEarly(now)
	}
}

// ExchangeFailed reports an exchange that got no answer.
func (s *State) ExchangeFailed(now dandeliongap.Instant, _ dandeliongap.MemberID, dst []Action) []Action {
	s.enter(now)
	return dst
}

// ContactVector appends the contact vector that goes with the answer to an exchange to
// ages. Ages grow while they are held. A VM that is not listed has none.
func (s *State) ContactVector(now dandeliongap.Instant, ages []byte) ContactVector {
	s.enter(now)
	if !s.Listed() || s.lost {
		return ContactVector{}
	}
	for i, c := range s.known {
		switch {
		case i == s.roster.self:
			ages = append(ages, encodeAge(0, s.up))
		case c.vok:
			ages = append(ages, encodeAge(now.Sub(c.vat), c.von))
		default:
			ages = append(ages, ageUnknown)
		}
	}
	return ContactVector{MembersVersion: s.roster.version, Ages: ages}
}

// encodeAge rounds up: an age may be taken for older than it is, never for
// younger.
func encodeAge(age time.Duration, on bool) byte {
	units := (age + AgeUnit - 1) / AgeUnit
	if units >= ageUnknown {
		return ageUnknown
	}
	b := byte(max(0, units))
	if on {
		b |= platformBit
	}
	return b
}

// Tick returns what is due at now.
func (s *State) Tick(now dandeliongap.Instant, dst []Action) []Action {
	s.enter(now)
	if s.lost {
		return dst
	}
	s.noteSlow(now)
	s.extend(now)
	dst = s.renew(now, dst)
	if s.paused || s.leaving {
		return s.finish(now, dst)
	}
	dst = s.join(now, dst)
	dst = s.fence(now, dst)
	return s.write(now, dst)
}

// Next returns when Tick is due.
func (s *State) Next() dandeliongap.Instant {
	next := s.last.Add(tickEvery)
	if !s.inFlight && s.renewal.next < next {
		next = max(s.last, s.renewal.next)
	}
	return next
}

// reach is what this VM reports about the platform (K2).
type reach struct {
	up       bool
	changed  dandeliongap.Instant // when up changed
	lastOK   dandeliongap.Instant // last answer of the platform
	failures int                  // failed calls in a row
}

// PlatformOK reports an answer of the platform to a call of this VM's own.
func (s *State) PlatformOK(now dandeliongap.Instant, dst []Action) []Action {
	s.enter(now)
	s.reached(now)
	return dst
}

// PlatformFailed reports a call to the platform that got no answer.
func (s *State) PlatformFailed(now dandeliongap.Instant, dst []Action) []Action {
	s.enter(now)
	s.missed(now)
	return dst
}

func (s *State) reached(now dandeliongap.Instant) {
	s.lastOK = now
	s.failures = 0
	s.updateReach(now)
}

func (s *State) missed(now dandeliongap.Instant) {
	s.failures++
	// While a third of the calls fails, one or two failures in a row are common.
	// Taking them for an outage would stop all fencing: by K2 each such report
	// lasts W + margin, and a majority without one would be rare.
	if s.failures >= 3 || (s.failures >= 2 && 4*s.othersCutOff() >= len(s.known)) {
		s.turnOff(now)
	}
	s.extend(now)
}

func (s *State) turnOff(now dandeliongap.Instant) {
	s.up = false
	s.changed = now
}

func (s *State) updateReach(now dandeliongap.Instant) {
	recent := s.lastOK != none && now.Sub(s.lastOK) <= s.contactWindow()
	switch {
	case s.up && !recent:
		s.turnOff(now)
	case !s.up && recent && s.failures == 0 && now.Sub(s.changed) >= s.contactWindow()+Margin:
		s.up = true
		s.changed = now
	}
}

// othersCutOff returns how many other members report under this version that
// they do not reach the platform.
func (s *State) othersCutOff() int {
	n := 0
	for i, c := range s.known {
		if i != s.roster.self && c.vok && !c.von && s.last.Sub(c.vat) <= s.roster.window {
			n++
		}
	}
	return n
}

// probeEarly renews at once when an eighth of the members report an outage, so
// that M2 can begin before the lease ends.
func (s *State) probeEarly(now dandeliongap.Instant) {
	n := s.othersCutOff()
	if s.inFlight || n == 0 || 8*n < len(s.known) || now.Sub(s.renewal.last) < RenewInterval(s.vms)/2 {
		return
	}
	s.renewal.next = min(s.renewal.next, now)
}
