package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// contact holds the newest reports of one member. lastAt and curAt are estimates of
// when the member made the report, never later than it did.
type contact struct {
	lastAt       dandeliongap.Instant // newest report under any version of the list
	lastReaches  bool                 // it reached the platform
	lastReported bool                 // a report exists; otherwise lastAt is when the member was listed
	curAt        dandeliongap.Instant // newest report under the current version of the list
	curReaches   bool
	curReported  bool
	// reachesSince is since when this VM has always held a report, made under the
	// current version and at most W old, that the member reaches the platform.
	reachesSince dandeliongap.Instant
}

// voterSet is the set of VMs whose majority decides: those of the current list or
// those of an earlier one (F4).
type voterSet struct {
	vms       []int                // ordinals of VM names
	adopted   bool                 // a majority was heard from under the current version
	adoptedAt dandeliongap.Instant // when adopted was set
}

// roster is the member list with the contacts of its members.
type roster struct {
	version   dandeliongap.Version
	exists    bool // the object state/members exists
	list      dgrelay.MemberList
	index     map[dandeliongap.MemberID]int
	selfIndex int // index of this VM in the list, -1 if not listed
	contacts  []contact
	vmOf      []int                  // member index to VM ordinal
	voterSets []voterSet             // of the list, then of its PriorLists
	vmCount   int                    // number of VM names in the list
	window    time.Duration          // largest contact window of the voter sets
	marks     []dandeliongap.Instant // by VM ordinal; the constant never stands for no mark
	sorted    []dandeliongap.Instant // buffer of majorityMarkedSince
}

// never is earlier than every event.
const never = dandeliongap.Instant(-1 << 62)

// setList replaces the list. Reports are kept, but the members count under the new
// version only once they have reported under it.
func (r *roster) setList(now dandeliongap.Instant, self dandeliongap.MemberID, version dandeliongap.Version, exists bool, list dgrelay.MemberList) {
	contacts := make([]contact, len(list.Members))
	index := make(map[dandeliongap.MemberID]int, len(list.Members))
	r.selfIndex = -1
	for i, m := range list.Members {
		index[m.ID] = i
		contacts[i] = contact{lastAt: now}
		if j, ok := r.index[m.ID]; ok {
			contacts[i] = contact{lastAt: r.contacts[j].lastAt, lastReaches: r.contacts[j].lastReaches, lastReported: r.contacts[j].lastReported}
		}
		if m.ID == self {
			r.selfIndex = i
		}
	}
	r.version, r.exists, r.list, r.index, r.contacts = version, exists, list, index, contacts
	r.buildVoterSets()
}

func (r *roster) buildVoterSets() {
	ordinals := make(map[dandeliongap.VMName]int, len(r.list.Members))
	ordinal := func(name dandeliongap.VMName) int {
		o, ok := ordinals[name]
		if !ok {
			o = len(ordinals)
			ordinals[name] = o
		}
		return o
	}
	r.vmOf = r.vmOf[:0]
	for _, m := range r.list.Members {
		r.vmOf = append(r.vmOf, ordinal(m.VM))
	}
	r.vmCount = len(ordinals)
	r.window = ContactWindow(r.vmCount)
	all := make([]int, r.vmCount)
	for i := range all {
		all[i] = i
	}
	r.voterSets = append(r.voterSets[:0], voterSet{vms: all})
	for _, names := range r.list.PriorLists {
		v := voterSet{}
		for _, n := range names {
			v.vms = append(v.vms, ordinal(n))
		}
		r.voterSets = append(r.voterSets, v)
		r.window = max(r.window, ContactWindow(len(names)))
	}
	r.marks = make([]dandeliongap.Instant, len(ordinals))
}

// addReport records a report that member i made at reportedAt and that arrived at
// now.
func (r *roster) addReport(now, reportedAt dandeliongap.Instant, i int, reaches bool) {
	c := &r.contacts[i]
	if !c.lastReported || reportedAt > c.lastAt {
		c.lastAt, c.lastReaches, c.lastReported = reportedAt, reaches, true
	}
	if c.curReported && reportedAt <= c.curAt {
		return
	}
	lapsed := !c.curReported || now.Sub(c.curAt) > r.window
	if lapsed || !c.curReaches {
		c.reachesSince = now
	}
	c.curAt, c.curReaches, c.curReported = reportedAt, reaches, true
}

// resetContacts discards all reports, as if all members had just been listed.
func (r *roster) resetContacts(now dandeliongap.Instant) {
	for i := range r.contacts {
		r.contacts[i] = contact{lastAt: now}
	}
}

// clearMarks removes the marks of all VMs.
func (r *roster) clearMarks() {
	for i := range r.marks {
		r.marks[i] = never
	}
}

// mark marks the VM of member i with an instant. The latest mark of a VM counts.
func (r *roster) mark(i int, at dandeliongap.Instant) {
	r.marks[r.vmOf[i]] = max(r.marks[r.vmOf[i]], at)
}

// countMarked returns how many VMs of v are marked.
func (r *roster) countMarked(v voterSet) int {
	n := 0
	for _, o := range v.vms {
		if r.marks[o] != never {
			n++
		}
	}
	return n
}

func (r *roster) majorityMarked(v voterSet) bool { return 2*r.countMarked(v) > len(v.vms) }

// majorityMarkedSince returns the latest instant at or after which all VMs of some
// majority of v are marked, and false if no majority is marked.
func (r *roster) majorityMarkedSince(v voterSet) (dandeliongap.Instant, bool) {
	r.sorted = r.sorted[:0]
	for _, o := range v.vms {
		if r.marks[o] != never {
			r.sorted = append(r.sorted, r.marks[o])
		}
	}
	if 2*len(r.sorted) <= len(v.vms) {
		return 0, false
	}
	slices.Sort(r.sorted)
	return r.sorted[len(r.sorted)-(len(v.vms)/2+1)], true
}

// updateAdopted records which voter sets have a majority that adopted the current
// version (F4). A VM never goes back to an older version, so adopted stays set for as
// long as the list is current.
func (r *roster) updateAdopted(now dandeliongap.Instant) {
	if r.allAdopted() {
		return
	}
	r.clearMarks()
	for i, c := range r.contacts {
		if c.curReported || i == r.selfIndex {
			r.mark(i, now)
		}
	}
	for i := range r.voterSets {
		if v := &r.voterSets[i]; !v.adopted && r.majorityMarked(*v) {
			v.adopted, v.adoptedAt = true, now
		}
	}
}

func (r *roster) allAdopted() bool {
	for _, v := range r.voterSets {
		if !v.adopted {
			return false
		}
	}
	return true
}

// majorityReachesPlatform reports whether all VMs of one majority reported throughout
// the last 2 W that they reach the platform (F1), after a majority of each earlier
// list had adopted the current one (F4). The member at index exclude does not count.
// selfSince is since when this VM has reached the platform under the current version.
func (r *roster) majorityReachesPlatform(now, selfSince dandeliongap.Instant, exclude int) bool {
	if len(r.voterSets) == 0 {
		return false
	}
	for _, v := range r.voterSets[1:] {
		if !v.adopted || now.Sub(v.adoptedAt) < 2*r.window {
			return false
		}
	}
	r.clearMarks()
	for i, c := range r.contacts {
		fresh := c.curReported && c.curReaches && now.Sub(c.curAt) <= r.window
		if i != exclude && i != r.selfIndex && fresh && now.Sub(c.reachesSince) >= 2*r.window {
			r.mark(i, now)
		}
	}
	if r.selfIndex >= 0 && now.Sub(selfSince) >= 2*r.window {
		r.mark(r.selfIndex, now)
	}
	return r.majorityMarked(r.voterSets[0])
}

// outageConfirmedUntil returns the instant until which M2 applies: until then a
// majority of VMs, this one included, have reported an outage at most W before. It
// returns false if there is no such majority, if this VM is not listed, or if a
// majority of the list or of an earlier one has not adopted this version yet (F4).
func (r *roster) outageConfirmedUntil(now dandeliongap.Instant) (dandeliongap.Instant, bool) {
	if r.selfIndex < 0 || !r.allAdopted() {
		return 0, false
	}
	r.clearMarks()
	for i, c := range r.contacts {
		if c.curReported && !c.curReaches {
			r.mark(i, c.curAt)
		}
	}
	r.mark(r.selfIndex, now)
	oldest, ok := r.majorityMarkedSince(r.voterSets[0])
	return oldest.Add(ContactWindow(r.vmCount)), ok
}

// recentContact reports whether a majority of the list was heard from within W, this
// VM included, and whether any of the other members heard from reached the platform.
func (r *roster) recentContact(now dandeliongap.Instant) (majority, reaches bool) {
	if len(r.voterSets) == 0 {
		return false, false
	}
	r.clearMarks()
	w := ContactWindow(r.vmCount)
	for i, c := range r.contacts {
		if i == r.selfIndex {
			r.mark(i, now)
		} else if c.lastReported && now.Sub(c.lastAt) <= w {
			r.mark(i, now)
			reaches = reaches || c.lastReaches
		}
	}
	return r.majorityMarked(r.voterSets[0]), reaches
}

// lowerRankCount returns how many members with a lower rank than this VM act before
// it (L1): the live ones that do not report an outage. For a VM that is not listed
// it is at most maxUnlistedRank.
func (r *roster) lowerRankCount(now dandeliongap.Instant) int {
	n := 0
	for i, c := range r.contacts {
		if i == r.selfIndex || (r.selfIndex < 0 && n == maxUnlistedRank) {
			break
		}
		if r.alive(now, i) && (c.lastReaches || !c.lastReported) {
			n++
		}
	}
	return n
}

// alive reports whether member i is this VM or was heard from within SuspectAfter. A
// member without a report counts as heard from when it was listed.
func (r *roster) alive(now dandeliongap.Instant, i int) bool {
	return i == r.selfIndex || now.Sub(r.contacts[i].lastAt) < SuspectAfter(r.vmCount)
}
