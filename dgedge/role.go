package dgedge

import (
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwatch"
)

// role returns the current role of this VM: whether it reads the store, pulls
// changes from other VMs or only retries the store.
func (c *control) role() dgwatch.Role { return dgwatch.Role(c.currentRole.Load()) }

// roleFor returns the role of this VM for a kind (dgwatch W8).
func (c *control) roleFor(kind string) dgwatch.Role {
	if slices.Contains(rolloutKinds, kind) {
		return dgwatch.Role(c.rolloutRole.Load())
	}
	return c.role()
}

// updateRole recomputes the role of this VM from the hubs that are present (dgwatch W1).
// A VM that stands by pulls, unless it knows no hub.
// A VM that pulls rarely calls the store, so it also learns from the heartbeats of the
// other VMs whether the store is available (dgwatch W2).
func (c *control) updateRole(now dandeliongap.Instant) {
	self := c.e.opt.Settings.VM
	var present []dgwatch.Peer
	for _, hb := range c.presence.Hubs(now) {
		present = append(present, dgwatch.Peer{VM: hb.VM, StoreFailing: hb.StoreFailing, Eras: c.members[hb.VM].Eras})
	}
	present = dgwatch.Readable(present, c.era)
	role := dgwatch.Puller
	if len(present) == 0 || slices.Contains(c.hubs, self) {
		present = append(present, dgwatch.Peer{VM: self, StoreFailing: len(c.failingKinds) > 0})
		role = dgwatch.RoleOf(self, present)
	}
	c.rolloutRole.Store(int32(dgwatch.RoleAmong(self, present, func(vm dandeliongap.VMName) bool { return c.members[vm].Rollouts })))
	if old := c.role(); old != role {
		c.currentRole.Store(int32(role))
		c.e.log.event("role changed").Str("Rule", "W1").Stringer("From", old).Stringer("To", role).Int("Present", len(present)).Bool("StoreFailing", len(c.failingKinds) > 0).Send()
	}
	failing := role == dgwatch.Puller && dgwatch.StoreFailing(present)
	switch {
	case failing && !c.readersFailing:
		c.catalog.StoreUnavailable()
		c.e.log.event("store lost").Str("Rule", "W2").Str("Kind", "all").Str("By", "readers").Send()
	case !failing && c.readersFailing:
		c.catalog.StoreAvailable(now)
		c.e.log.event("store regained").Str("Rule", "W2").Str("Kind", "all").Str("By", "readers").Send()
	}
	c.readersFailing = failing
	if role == dgwatch.Puller && !failing {
		c.lastStoreAnswer = now
	}
}
