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
	at  dandeliongap.Instant // newest report, under any version of the list
	on  bool                 // it reached the platform
	ok  bool                 // there is such a report; else at is when it was listed
	vat dandeliongap.Instant // newest report under this version of the list
	von bool
	vok bool
	// sinceOn is since when there was always a report under this version that was
	// at most W old and said that it reached the platform.
	sinceOn dandeliongap.Instant
}

// group is a set of VMs of which a majority counts.
type group struct {
	vms     []int                // ordinals of VM names
	adopted bool                 // a majority was heard of under this version
	since   dandeliongap.Instant // when that was found
}

// roster is the list of members with their contacts.
type roster struct {
	version dandeliongap.Version
	exists  bool
	list    dgrelay.MemberList
	index   map[dandeliongap.MemberID]int
	self    int // index, -1 if not listed
	known   []contact
	vm      []int   // member index to VM ordinal
	groups  []group // the VMs of the list, then those of earlier lists
	vms     int     // number of VM names in the list
	window  time.Duration
	marks   []dandeliongap.Instant // per VM ordinal, reused
	picked  []dandeliongap.Instant // reused
}

const none = dandeliongap.Instant(-1 << 62)

// replace takes over a new list. Contacts are kept, but count under the new
// version only once they are reported under it.
func (r *roster) replace(now dandeliongap.Instant, self dandeliongap.MemberID, version dandeliongap.Version, exists bool, list dgrelay.MemberList) {
	known := make([]contact, len(list.Members))
	index := make(map[dandeliongap.MemberID]int, len(list.Members))
	r.self = -1
	for i, m := range list.Members {
		index[m.ID] = i
		known[i] = contact{at: now}
		if j, ok := r.index[m.ID]; ok {
			known[i] = contact{at: r.known[j].at, on: r.known[j].on, ok: r.known[j].ok}
		}
		if m.ID == self {
			r.self = i
		}
	}
	r.version, r.exists, r.list, r.index, r.known = version, exists, list, index, known
	r.buildGroups()
}

func (r *roster) buildGroups() {
	ordinals := make(map[dandeliongap.VMName]int, len(r.list.Members))
	ordinal := func(name dandeliongap.VMName) int {
		o, ok := ordinals[name]
		if !ok {
			o = len(ordinals)
			ordinals[name] = o
		}
		return o
	}
	r.vm = r.vm[:0]
	for _, m := range r.list.Members {
		r.vm = append(r.vm, ordinal(m.VM))
	}
	r.vms = len(ordinals)
	r.window = ContactWindow(r.vms)
	all := make([]int, r.vms)
	for i := range all {
		all[i] = i
	}
	r.groups = append(r.groups[:0], group{vms: all})
	for _, names := range r.list.PriorLists {
		g := group{}
		for _, n := range names {
			g.vms = append(g.vms, ordinal(n))
		}
		r.groups = append(r.groups, g)
		r.window = max(r.window, ContactWindow(len(names)))
	}
	r.marks = make([]dandeliongap.Instant, len(ordinals))
}

// report takes over that member i made a report at est, heard of at now.
func (r *roster) report(now, est dandeliongap.Instant, i int, on bool) {
	c := &r.known[i]
	if !c.ok || est > c.at {
		c.at, c.on, c.ok = est, on, true
	}
	if c.vok && est <= c.vat {
		return
	}
	lapsed := !c.vok || now.Sub(c.vat) > r.window
	if lapsed || !c.von {
		c.sinceOn = now
	}
	c.vat, c.von, c.vok = est, on, true
}

// forget drops all reports, as if all members had just been listed.
func (r *roster) forget(now dandeliongap.Instant) {
	for i := range r.known {
		r.known[i] = contact{at: now}
	}
}

func (r *roster) clearMarks() {
	for i := range r.marks {
		r.marks[i] = none
	}
}

func (r *roster) mark(i int, at dandeliongap.Instant) {
	r.marks[r.vm[i]] = max(r.marks[r.vm[i]], at)
}

// counted returns how many VMs of g are marked.
func (r *roster) counted(g group) int {
	n := 0
	for _, o := range g.vms {
		if r.marks[o] != none {
			n++
		}
	}
	return n
}

func (r *roster) majority(g group) bool { return 2*r.counted(g) > len(g.vms) }

// oldestOfMajority returns the latest instant at or after which a majority of g
// is marked.
func (r *roster) oldestOfMajority(g group) (dandeliongap.Instant, bool) {
	r.picked = r.picked[:0]
	for _, o := range g.vms {
		if r.marks[o] != none {
			r.picked = append(r.picked, r.marks[o])
		}
	}
	if 2*len(r.picked) <= len(g.vms) {
		return 0, false
	}
	slices.Sort(r.picked)
	return r.picked[len(r.picked)-(len(g.vms)/2+1)], true
}

// noteAdopted updates which earlier lists have a majority that adopted this
// version. A VM never goes back to an older version, so once is enough.
func (r *roster) noteAdopted(now dandeliongap.Instant) {
	if r.adoptedAll() {
		return
	}
	r.clearMarks()
	for i, c := range r.known {
		if c.vok || i == r.self {
			r.mark(i, now)
		}
	}
	for i := range r.groups {
		if g := &r.groups[i]; !g.adopted && r.majority(*g) {
			g.adopted, g.since = true, now
		}
	}
}

func (r *roster) adoptedAll() bool {
	for _, g := range r.groups {
		if !g.adopted {
			return false
		}
	}
	return true
}

// reachMajority tells whether the same majority was heard of and reached the
// platform during all of the last 2 W, skip not counted, and whether all earlier
// lists were given up before (F1, F4). selfSince is since when this VM reaches the
// platform under this version.
func (r *roster) reachMajority(now, selfSince dandeliongap.Instant, skip int) bool {
	if len(r.groups) == 0 {
		return false
	}
	for _, g := range r.groups[1:] {
		if !g.adopted || now.Sub(g.since) < 2*r.window {
			return false
		}
	}
	r.clearMarks()
	for i, c := range r.known {
		fresh := c.vok && c.von && now.Sub(c.vat) <= r.window
		if i != skip && i != r.self && fresh && now.Sub(c.sinceOn) >= 2*r.window {
			r.mark(i, now)
		}
	}
	if r.self >= 0 && now.Sub(selfSince) >= 2*r.window {
		r.mark(r.self, now)
	}
	return r.majority(r.groups[0])
}

// cutOffUntil returns when the reports of a majority that they do not reach the
// platform become older than W (M2); this VM counts as one of them.
func (r *roster) cutOffUntil(now dandeliongap.Instant) (dandeliongap.Instant, bool) {
	if r.self < 0 || !r.adoptedAll() {
		return 0, false
	}
	r.clearMarks()
	for i, c := range r.known {
		if c.vok && !c.von {
			r.mark(i, c.vat)
		}
	}
	r.mark(r.self, now)
	oldest, ok := r.oldestOfMajority(r.groups[0])
	return oldest.Add(ContactWindow(r.vms)), ok
}

// heardWithin tells whether more than half of the VMs of the list were heard of
// within W, this one counted, and whether any of them reached the platform.
func (r *roster) heardWithin(now dandeliongap.Instant) (majority, reaches bool) {
	if len(r.groups) == 0 {
		return false, false
	}
	r.clearMarks()
	w := ContactWindow(r.vms)
	for i, c := range r.known {
		if i == r.self {
			r.mark(i, now)
		} else if c.ok && now.Sub(c.at) <= w {
			r.mark(i, now)
			reaches = reaches || c.on
		}
	}
	return r.majority(r.groups[0]), reaches
}

// lowerRanks returns how many members with a lower rank than this VM may act
// before it: those heard of that do not report an outage. For a VM that is not
// listed it is at most unlistedRank.
func (r *roster) lowerRanks(now dandeliongap.Instant) int {
	n := 0
	for i, c := range r.known {
		if i == r.self || (r.self < 0 && n == unlistedRank) {
			break
		}
		if r.heard(now, i) && (c.on || !c.ok) {
			n++
		}
	}
	return n
}

func (r *roster) heard(now dandeliongap.Instant, i int) bool {
	return i == r.self || now.Sub(r.known[i].at) < SuspectAfter(r.vms)
}
