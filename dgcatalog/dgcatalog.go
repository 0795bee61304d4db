// Package dgcatalog keeps the registered backend servers, from full lists and
// single changes of the store.
//
// Rules:
//
//	D1  A registration that cannot be read names no replica. The others stay.
//	D2  A removed registration ends the use of its replica at once, but for D3.
//	D3  Registrations that lapsed while the store was away stay in use until
//	    ReregistrationGrace after its return. Those still missing then are gone.
package dgcatalog

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// ReregistrationGrace is how long backend servers take at most to register again after
// an outage of the store: two seconds by its documentation.
const ReregistrationGrace = 2200 * time.Millisecond

type entry struct {
	inst    dandeliongap.Instance
	version dandeliongap.Version
	coldEnd dandeliongap.Instant
	removed bool
	until   dandeliongap.Instant // end of use of a removed registration (D3)
}

// Catalog holds the registrations. It is not safe for concurrent use.
type Catalog struct {
	entries map[dandeliongap.InstanceID]*entry
	grace   dandeliongap.Instant // removals up to here fall under D3
	away    bool
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[dandeliongap.InstanceID]*entry)}
}

// StoreUnavailable records that the store does not answer.
func (c *Catalog) StoreUnavailable() { c.away = true }

// StoreAvailable records that the store answers again after StoreUnavailable.
func (c *Catalog) StoreAvailable(now dandeliongap.Instant) {
	if c.away {
		c.away = false
		c.grace = now.Add(ReregistrationGrace)
	}
}

// Replace takes in a full list of registrations with the versions of their objects.
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

// Put takes in one registration.
func (c *Catalog) Put(now dandeliongap.Instant, in dandeliongap.Instance, version dandeliongap.Version) {
	e := c.entries[in.ID]
	if e != nil && !e.removed && e.version == version {
		return
	}
	c.entries[in.ID] = &entry{inst: in, version: version, coldEnd: now.Add(in.ColdRemaining)}
}

// Remove ends a registration (D2, D3).
func (c *Catalog) Remove(now dandeliongap.Instant, id dandeliongap.InstanceID) {
	e := c.entries[id]
	if e == nil || e.removed {
		return
	}
	if now >= c.grace && !c.away || e.inst.Draining {
		delete(c.entries, id)
		return
	}
	e.removed, e.until = true, c.grace
	if c.away {
		e.until = now.Add(ReregistrationGrace)
	}
}

// Expire drops what D3 no longer holds, and tells whether there was any and when
// to call again; 0 if nothing waits.
func (c *Catalog) Expire(now dandeliongap.Instant) (changed bool, next dandeliongap.Instant) {
	for id, e := range c.entries {
		switch {
		case !e.removed:
		case now >= e.until:
			delete(c.entries, id)
			changed = true
		case next == 0 || e.until < next:
			next = e.until
		}
	}
	return changed, next
}

// Instances returns the replicas that may be used, with ColdRemaining as the time left
// from now.
func (c *Catalog) Instances(now dandeliongap.Instant) []dandeliongap.Instance {
	out := make([]dandeliongap.Instance, 0, len(c.entries))
	for _, e := range c.entries {
		in := e.inst
		in.ColdRemaining = max(0, e.coldEnd.Sub(now))
		out = append(out, in)
	}
	return out
}
