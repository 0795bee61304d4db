// Package dgcatalog keeps the registrations of backend servers. It is fed with full
// lists and single changes from the store.
//
// Rules:
//
//	D1  A registration that cannot be parsed adds no replica. The others stay in use.
//	D2  When a registration is removed, its replica is no longer used, except under
//	    D3.
//	D3  Registrations that lapsed while the store was unavailable stay in use until
//	    ReregistrationGrace after it is available again. A registration whose removal
//	    is received while the store is unavailable stays in use for
//	    ReregistrationGrace from then. Those that are still missing at the end are
//	    dropped. A replica that was draining is dropped at once. A watch that the store
//	    cut off counts as a moment in which it was unavailable.
//	D4  A registration that is missing from the lists of a new era of the store stays in
//	    use until ReregistrationGrace after the first of them, because the copy from
//	    which the store was restored may be older. This includes draining replicas, for
//	    D5.
//	D5  A process of a backend server (same ID and start) that was draining before a new
//	    era stays draining, whatever the copy and what is written within
//	    ReregistrationGrace say. The same holds for one that was removed in the last
//	    drainMemory. Its cold start does not begin again.
package dgcatalog

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// ReregistrationGrace is the longest time that backend servers take to register
// again after an outage of the store: two seconds according to the documentation of
// the store, plus a margin.
const ReregistrationGrace = 2200 * time.Millisecond

// drainMemory is how long a draining process is known after the removal of its registration
// (D5). Copies from which the store is restored are some seconds old.
const drainMemory = time.Minute

type entry struct {
	inst        dandeliongap.Instance
	version     dandeliongap.Version
	coldUntil   dandeliongap.Instant // end of the cold start
	removed     bool
	usableUntil dandeliongap.Instant // of a removed registration (D3, D4)
	carried     bool                 // the process was known before the era of version (D5)
}

// drained is a process that was draining when its registration was removed (D5).
type drained struct {
	startUnixMs int64
	until       dandeliongap.Instant
}

// Catalog is the set of registrations. It is not safe for concurrent use.
type Catalog struct {
	entries   map[dandeliongap.InstanceID]*entry
	graceEnd  dandeliongap.Instant // D3 applies to removals before it
	storeDown bool

	listedUpTo  dandeliongap.Version // version of the first list of the latest era; 0: no era began
	eraGraceEnd dandeliongap.Instant // D4 and D5 apply until then
	left        map[dandeliongap.InstanceID]drained
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[dandeliongap.InstanceID]*entry), left: make(map[dandeliongap.InstanceID]drained)}
}

// StoreUnavailable records that the store does not answer.
func (c *Catalog) StoreUnavailable() { c.storeDown = true }

// StoreAvailable records that the store answers. If it was unavailable, the grace
// period of D3 begins.
func (c *Catalog) StoreAvailable(now dandeliongap.Instant) {
	if c.storeDown {
		c.storeDown = false
		c.graceEnd = now.Add(ReregistrationGrace)
	}
}

// BeginEra records that the next list, which has the given version, is the first of a new era
// of the store (D4, D5).
func (c *Catalog) BeginEra(now dandeliongap.Instant, version dandeliongap.Version) {
	c.listedUpTo, c.eraGraceEnd = version, now.Add(ReregistrationGrace)
}

// mayBeCopied reports whether a registration of a version may be older than what was known
// before the latest era began (D5).
func (c *Catalog) mayBeCopied(now dandeliongap.Instant, version dandeliongap.Version) bool {
	return c.listedUpTo > 0 && (now < c.eraGraceEnd || version <= c.listedUpTo)
}

// Replace sets all registrations from a full list. versions[i] is the object version of
// list[i].
func (c *Catalog) Replace(now dandeliongap.Instant, list []dandeliongap.Instance, versions []dandeliongap.Version) {
	present := make(map[dandeliongap.InstanceID]bool, len(list))
	for i, in := range list {
		present[in.ID] = true
		c.Put(now, in, versions[i])
	}
	for id := range c.entries {
		switch {
		case present[id]:
		case now < c.eraGraceEnd:
			e := c.entries[id]
			e.removed, e.usableUntil = true, c.eraGraceEnd
		default:
			c.Remove(now, id)
		}
	}
}

// Put adds or updates one registration. It ignores a version that is already in use, so
// that the cold start does not begin again.
func (c *Catalog) Put(now dandeliongap.Instant, in dandeliongap.Instance, version dandeliongap.Version) {
	e := c.entries[in.ID]
	if e != nil && !e.removed && e.version == version {
		return
	}
	next := &entry{inst: in, version: version, coldUntil: now.Add(in.ColdRemaining)}
	if c.mayBeCopied(now, version) {
		c.carryOver(next, e)
	}
	c.entries[in.ID] = next
}

// carryOver keeps what was known about the process of a registration before the latest era
// (D5). old is the entry that next replaces, or nil.
func (c *Catalog) carryOver(next, old *entry) {
	if old == nil {
		if d, ok := c.left[next.inst.ID]; ok && d.startUnixMs == next.inst.StartUnixMs {
			next.carried, next.inst.Draining = true, true
		}
		return
	}
	if old.inst.StartUnixMs != next.inst.StartUnixMs || !old.carried && old.version.Era() >= next.version.Era() {
		return
	}
	next.carried = true
	next.inst.Draining = next.inst.Draining || old.inst.Draining
	next.coldUntil = min(next.coldUntil, old.coldUntil)
}

// drop deletes an entry for good.
func (c *Catalog) drop(now dandeliongap.Instant, e *entry) {
	delete(c.entries, e.inst.ID)
	if e.inst.Draining {
		c.left[e.inst.ID] = drained{e.inst.StartUnixMs, now.Add(drainMemory)}
	}
}

// Remove drops a registration, or keeps it in use for the grace period (D2, D3).
func (c *Catalog) Remove(now dandeliongap.Instant, id dandeliongap.InstanceID) {
	e := c.entries[id]
	if e == nil || e.removed {
		return
	}
	if now >= c.graceEnd && !c.storeDown || e.inst.Draining {
		c.drop(now, e)
		return
	}
	e.removed, e.usableUntil = true, c.graceEnd
	if c.storeDown {
		e.usableUntil = now.Add(ReregistrationGrace)
	}
}

// Expire drops removed registrations whose grace period under D3 or D4 has ended. It
// reports whether there were any, and returns when to call it again; 0 means never.
func (c *Catalog) Expire(now dandeliongap.Instant) (changed bool, next dandeliongap.Instant) {
	for id, d := range c.left {
		if now >= d.until {
			delete(c.left, id)
		}
	}
	for _, e := range c.entries {
		switch {
		case !e.removed:
		case now >= e.usableUntil:
			c.drop(now, e)
			changed = true
		case next == 0 || e.usableUntil < next:
			next = e.usableUntil
		}
	}
	return changed, next
}

// Instances returns the replicas that may be used, with ColdRemaining relative to now.
func (c *Catalog) Instances(now dandeliongap.Instant) []dandeliongap.Instance {
	instances := make([]dandeliongap.Instance, 0, len(c.entries))
	for _, e := range c.entries {
		in := e.inst
		in.ColdRemaining = max(0, e.coldUntil.Sub(now))
		instances = append(instances, in)
	}
	return instances
}
