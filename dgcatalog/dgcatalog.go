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
package dgcatalog

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// ReregistrationGrace is the longest time that backend servers take to register
// again after an outage of the store: two seconds according to the documentation of
// the store, plus a margin.
const ReregistrationGrace = 2200 * time.Millisecond

type entry struct {
	inst        dandeliongap.Instance
	version     dandeliongap.Version
	coldUntil   dandeliongap.Instant // end of the cold start
	removed     bool
	usableUntil dandeliongap.Instant // of a removed registration (D3)
}

// Catalog is the set of registrations. It is not safe for concurrent use.
type Catalog struct {
	entries   map[dandeliongap.InstanceID]*entry
	graceEnd  dandeliongap.Instant // D3 applies to removals before it
	storeDown bool
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[dandeliongap.InstanceID]*entry)}
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

// Replace sets all registrations from a full list. versions[i] is the object version of
// list[i].
func (c *Catalog) Replace(now dandeliongap.Instant, list []dandeliongap.Instance, versions []dandeliongap.Version) {
	present := make(map[dandeliongap.InstanceID]bool, len(list))
	for i, in := range list {
		present[in.ID] = true
		c.Put(now, in, versions[i])
	}
	for id := range c.entries {
		if !present[id] {
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
	c.entries[in.ID] = &entry{inst: in, version: version, coldUntil: now.Add(in.ColdRemaining)}
}

// Remove drops a registration, or keeps it in use for the grace period (D2, D3).
func (c *Catalog) Remove(now dandeliongap.Instant, id dandeliongap.InstanceID) {
	e := c.entries[id]
	if e == nil || e.removed {
		return
	}
	if now >= c.graceEnd && !c.storeDown || e.inst.Draining {
		delete(c.entries, id)
		return
	}
	e.removed, e.usableUntil = true, c.graceEnd
	if c.storeDown {
		e.usableUntil = now.Add(ReregistrationGrace)
	}
}

// Expire drops removed registrations whose grace period under D3 has ended. It
// reports whether there were any, and returns when to call it again; 0 means never.
func (c *Catalog) Expire(now dandeliongap.Instant) (changed bool, next dandeliongap.Instant) {
	for id, e := range c.entries {
		switch {
		case !e.removed:
		case now >= e.usableUntil:
			delete(c.entries, id)
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
