package dgedge

import (
	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwatch"
)

// role returns what this VM does about the store.
func (c *control) role() dgwatch.Role { return dgwatch.Role(c.roleNow.Load()) }

// updateRole decides the role of this VM anew, and what is known of the store
// through the VMs that read it.
func (c *control) updateRole(now dandeliongap.Instant) {
	present := []dgwatch.Peer{{VM: c.e.opt.Settings.VM, StoreFailing: len(c.lostKind) > 0}}
	for _, b := range c.presence.PeerHeartbeats(now) {
		present = append(present, dgwatch.Peer{VM: b.VM, StoreFailing: b.StoreFailing})
	}
	role := dgwatch.RoleOf(c.e.opt.Settings.VM, present)
	if old := c.role(); old != role {
		c.roleNow.Store(int32(role))
		c.e.log.event("role changed").Str("Rule", "W1").Stringer("From", old).Stringer("To", role).Int("Present", len(present)).Bool("StoreFailing", len(c.lostKind) > 0).Send()
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
		c.heard = now
	}
}
