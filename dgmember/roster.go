package dgmember

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// contact is what is known of one member. Instants are estimates of when the
// member made its report, never later than it did.
type contact struct {
	lastAt       dandeliongap.Instant // newest report, under any version of the list
	lastReaches  bool                 // it reached the platform
	lastReported bool                 // there is such a report; else at is when it was listed
	curAt        dandeliongap.Instant // newest report under this version of the list
	curReaches   bool
	curReported  bool
	// reachesSince is since when there was always a report under this version that was
	// at most W old and said that it reached the platform.
	reachesSince dandeliongap.Instant
}

// voterSet is a set of VMs of which a majority counts.
type voterSet struct {
	vms       []int                // ordinals of VM names
	adopted   bool                 // a majority was heard of under this version
	adoptedAt dandeliongap.Instant // when that was found
}

// roster is the list of members with their contacts.
type roster struct {
	version   dandeliongap.Version
	exists    bool
	list      dgrelay.MemberList
	index     map[dandeliongap.MemberID]int
	selfIndex int // index, -1 if not listed
	contacts  []contact
	vmOf      []int      // member index to VM ordinal
	voterSets []voterSet // the VMs of the list, then those of earlier lists
	vmCount   int        // number of VM names in the list
	window    time.Duration
	marks     []dandeliongap.Instant // per VM ordinal, reused
	sorted    []dandeliongap.Instant // reused
}

const never = dandeliongap.Instant(-1 << 62)

// setList takes over a new list. Contacts are kept, but count under the new
// version only once they are reported under it.
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

// addReport takes over that member i made a report at est, heard of at now.
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

// resetContacts drops all reports, as if all members had just been listed.
func (r *roster) resetContacts(now dandeliongap.Instant) {
	for i := range r.contacts {
		r.contacts[i] = contact{lastAt: now}
	}
}

func (r *roster) clearMarks() {
	for i := range r.marks {
		r.marks[i] = never
	}
}

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

// majorityMarkedSince returns the latest instant at or after which a majority of v
// is marked.
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

// updateAdopted updates which earlier lists have a majority that adopted this
// version. A VM never goes back to an older version, so once is enough.
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

// majorityReachesPlatform tells whether the same majority was heard of and reached the
// platform during all of the last 2 W, skip not counted, and whether all earlier
// lists were given up before (F1, F4). selfSince is since when this VM reaches the
// platform under this version.
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

// outageConfirmedUntil returns when the reports of a majority that they do not reach the
// platform become older than W (M2); this VM counts as one of them.
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

// recentContact tells whether more than half of the VMs of the list were heard of
// within W, this one counted, and whether any of them reached the platform.
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

// lowerRankCount returns how many members with a lower rank than this VM may act
// before it: those heard of that do not report an outage. For a VM that is not
// listed it is at most unlistedRank.
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

func (r *roster) alive(now dandeliongap.Instant, i int) bool {
	return i == r.selfIndex || now.Sub(r.contacts[i].lastAt) < SuspectAfter(r.vmCount)
}
