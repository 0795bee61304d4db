package dgedge

import (
	"net/netip"
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgquota"
	"dandeliongap.example/dandeliongap/dgroster"
)

// rateWeight is the weight of the attempts since the last tick in the rate that a VM
// reports. The rate follows a change of the load within about a second.
const rateWeight = 0.25

// updateRate updates the number of attempts per second that this VM starts.
func (c *control) updateRate(now dandeliongap.Instant) {
	started := c.e.attempts.Load()
	if took := now.Sub(c.rateAt); took >= dgpresence.HeartbeatInterval/2 {
		rate := float64(started-c.rateStarted) / took.Seconds()
		c.rate += rateWeight * (rate - c.rate)
		c.rateStarted, c.rateAt = started, now
	}
}

// updateRoster works out which VMs serve callers (dgroster).
func (c *control) updateRoster(now dandeliongap.Instant) {
	self := c.candidate(dandeliongap.EdgeMember{VM: c.e.opt.Settings.VM, Zone: c.e.opt.Settings.Zone, Cores: c.e.opt.Settings.Cores})
	var present []dgroster.Candidate
	if c.e.serving() {
		present = append(present, self)
	}
	registered := []dgroster.Candidate{self}
	for vm, m := range c.members {
		if vm == self.VM {
			continue
		}
		m.VM = vm
		registered = append(registered, c.candidate(m))
		if _, serving := c.presence.Present(now, vm); serving {
			present = append(present, c.candidate(m))
		}
	}
	attempts := c.rate
	for _, hb := range c.presence.Hubs(now) {
		attempts += float64(hb.Attempts)
	}
	c.roster.Update(now, attempts)
	onRoster := c.roster.Choose(present, c.near)
	if !slices.Equal(onRoster, c.onRoster) {
		c.e.log.event("roster changed").Str("Rule", "S3").Int("Present", len(present)).Int("Registered", len(registered)).
			Bool("Self", slices.Contains(onRoster, self.VM)).Float64("AttemptsPerSecond", attempts).Strs("VMs", names(onRoster)).Send()
	}
	c.onRoster, c.memberCount = onRoster, len(registered)
	var calm dgroster.Roster // without demand, so that all VMs agree
	c.nominal = calm.Choose(registered, c.near)
	hubs := c.roster.Hubs(registered, c.near, func(vm dandeliongap.VMName) bool {
		_, known := c.presence.Age(now, vm)
		alive, _ := c.presence.Present(now, vm)
		return vm != self.VM && known && !alive
	})
	if wasHub, isHub := slices.Contains(c.hubs, self.VM), slices.Contains(hubs, self.VM); wasHub != isHub {
		c.e.log.event("hub changed").Str("Rule", "S6").Bool("Self", isHub).Int("Hubs", len(hubs)).Int("Registered", len(registered)).Send()
	}
	c.hubs = hubs
	c.standby.Store(!slices.Contains(hubs, self.VM))
	c.servingHub.Store(c.selectServingHub(now))
	if c.e.quotas.active() {
		c.updateQuotaTier(now, registered)
	}
}

// updateQuotaTier tells the quotas which hubs may own accounts. These follow from the
// registrations alone, unlike c.hubs, which replaces hubs that are lost: in a tier in parts,
// each part would take itself for the whole.
func (c *control) updateQuotaTier(now dandeliongap.Instant, registered []dgroster.Candidate) {
	var calm dgroster.Roster
	hubs := calm.Hubs(registered, c.near, func(dandeliongap.VMName) bool { return false })
	tier := dgquota.Tier{Total: len(hubs)}
	addrs := make(map[dandeliongap.VMName]netip.AddrPort, len(hubs))
	for _, vm := range hubs {
		if vm == c.e.opt.Settings.VM {
			if c.e.serving() {
				tier.Hubs = append(tier.Hubs, vm)
			}
			continue
		}
		if _, serving := c.presence.Present(now, vm); !serving {
			continue
		}
		if addr, err := netip.ParseAddrPort(c.members[vm].Gossip); err == nil {
			tier.Hubs = append(tier.Hubs, vm)
			addrs[vm] = addr
		}
	}
	c.e.quotas.setTier(now, tier, c.nominal, addrs)
}

// selectServingHub returns the gossip address of a hub that serves callers, in the zone of
// this VM if possible; nil if none is known.
func (c *control) selectServingHub(now dandeliongap.Instant) *string {
	var addr *string
	for _, hb := range c.presence.Hubs(now) {
		m, ok := c.members[hb.VM]
		if !ok || !hb.Serving || c.era > 0 && !m.Eras { // dgwatch W7
			continue
		}
		if addr == nil || m.Zone == c.e.opt.Settings.Zone {
			addr = &m.Gossip
		}
	}
	return addr
}

func (c *control) candidate(m dandeliongap.EdgeMember) dgroster.Candidate {
	return dgroster.Candidate{VM: m.VM, Zone: m.Zone, Cores: m.Cores}
}

func names(vms []dandeliongap.VMName) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = string(vm)
	}
	return out
}
