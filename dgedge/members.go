package dgedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrestore"
)

const (
	// removeMemberAfter is the age of a VM's last heartbeat at which its registration is
	// removed. A VM that was only paused registers again.
	removeMemberAfter = 30 * time.Second
	// removeZoneAfter is the same for VMs of a zone without a hub that is present. Such a
	// zone is cut off or lost as a whole.
	removeZoneAfter = 5 * time.Minute
)

// applyMembers applies changed registrations of VMs. If the registration of this VM is
// missing or belongs to another process, it makes keepRegistered write a new one.
func (c *control) applyMembers(now dandeliongap.Instant, b batch) {
	if b.full {
		c.replaceMembers(now, b.objects)
	}
	for _, o := range b.objects {
		vm := dandeliongap.VMName(baseName(o.Name))
		m, err := decodeMember(o)
		switch {
		case o.Deleted:
			delete(c.members, vm)
			c.keptMembers.Registered(vm)
		case err != nil:
			delete(c.members, vm)
			c.e.log.event("invalid member registration").Str("Member", clip(string(vm))).Str("Error", clip(err.Error())).Send()
			continue
		case b.full && m.Boot < c.members[vm].Boot:
			// The one that is known stays (dgrestore E6).
		default:
			if !b.full {
				c.keptMembers.Registered(vm)
			}
			c.members[vm] = m
			c.memberVersions[vm] = o.Version
			if _, ok := c.memberSince[vm]; !ok {
				c.memberSince[vm] = now
			}
		}
		c.e.log.event("member changed").Str("Member", string(vm)).Bool("Removed", o.Deleted).Str("Entry", m.Entry).Send()
	}
	c.registerProcesses()
	if dgrestore.NeedsRegistration(c.members[c.e.opt.Settings.VM], c.e.boot) {
		c.regMu.Lock()
		c.registered = false
		c.regMu.Unlock()
	}
}

// registerProcesses tells the presence view which processes are registered.
func (c *control) registerProcesses() {
	boots := make(map[dandeliongap.VMName]int64, len(c.members))
	for vm, m := range c.members {
		boots[vm] = m.Boot
	}
	c.presence.SetRegistered(boots)
}

// replaceMembers drops the members before a full list is applied, except for those that stay
// after a restore of the store (dgrestore E6).
func (c *control) replaceMembers(now dandeliongap.Instant, list []dandeliongap.Object) {
	listed := make(map[dandeliongap.VMName]int64, len(list))
	for _, o := range list {
		if m, err := decodeMember(o); err == nil {
			listed[dandeliongap.VMName(baseName(o.Name))] = m.Boot
		}
	}
	for vm, m := range c.members {
		if vm == c.e.opt.Settings.VM || !c.keptMembers.Keeps(now, vm, m.Boot, listed[vm]) {
			delete(c.members, vm)
			continue
		}
		c.e.log.event("member missing from the restored store").Str("Rule", "E6").Str("Member", string(vm)).Bool("Listed", listed[vm] != 0).Str("Choice", "keep it").Send()
	}
}

// expireMembers drops members that do not stay any more (dgrestore E6).
func (c *control) expireMembers(now dandeliongap.Instant) {
	dropped := c.keptMembers.Expire(now, func(vm dandeliongap.VMName) bool {
		_, known := c.presence.Age(now, vm)
		alive, _ := c.presence.Present(now, vm)
		return known && !alive
	})
	for _, vm := range dropped {
		delete(c.members, vm)
		c.e.log.event("member changed").Str("Rule", "E6").Str("Member", string(vm)).Bool("Removed", true).Send()
	}
	if len(dropped) > 0 {
		c.registerProcesses()
	}
}

// decodeMember decodes the registration of a VM. Its error wraps ErrInvalid. The object of
// a VM that was removed has no content.
func decodeMember(o dandeliongap.Object) (m dandeliongap.EdgeMember, err error) {
	if o.Deleted {
		return m, nil
	}
	if err := json.Unmarshal(o.Body, &m); err != nil {
		return m, fmt.Errorf("%w: %w", dandeliongap.ErrInvalid, err)
	}
	if err := dandeliongap.CheckName(string(m.Zone)); err != nil {
		return m, fmt.Errorf("zone: %w", err)
	}
	for _, addr := range []string{m.Entry, m.Gossip} {
		if err := dandeliongap.CheckAddress(addr); err != nil {
			return m, err
		}
	}
	return m, nil
}

// removeLostMembers removes the registrations of VMs that no heartbeat has arrived from
// for removeMemberAfter. The hub that does so is the first by name of those present in
// the zone of the VM, because VMs that stand by send their heartbeats only there. If no
// hub of that zone is present, it is the first of all, after removeZoneAfter.
func (c *control) removeLostMembers(now dandeliongap.Instant) {
	self := c.e.opt.Settings.VM
	if len(c.failingKinds) > 0 || !c.confirmed[dandeliongap.KindMembers] || !slices.Contains(c.hubs, self) {
		return
	}
	first := make(map[dandeliongap.ZoneName]dandeliongap.VMName) // first present hub by zone; "" for all zones
	for _, vm := range c.hubs {
		alive, _ := c.presence.Present(now, vm)
		if !alive && vm != self {
			continue
		}
		zone := c.e.opt.Settings.Zone
		if vm != self {
			zone = c.members[vm].Zone
		}
		for _, z := range []dandeliongap.ZoneName{zone, ""} {
			if first[z] == "" || vm < first[z] {
				first[z] = vm
			}
		}
	}
	for vm, m := range c.members {
		remover, after := first[m.Zone], removeMemberAfter
		if remover == "" {
			remover, after = first[""], removeZoneAfter
		}
		age, known := c.presence.Age(now, vm)
		if !known {
			age = now.Sub(c.memberSince[vm])
		}
		if vm == self || remover != self || age < after || now.Sub(c.memberSince[vm]) < after {
			continue
		}
		version := c.memberVersions[vm]
		delete(c.members, vm)
		delete(c.memberSince, vm)
		c.e.log.event("removing registration of lost member").Str("Member", string(vm)).Dur("Age", age).Send()
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, storeCallTimeout)
			defer cancel()
			if err := c.e.opt.Store.Delete(ctx, memberObjectName(vm), version); err != nil {
				c.e.log.event("cannot remove registration of lost member").Str("Member", string(vm)).Err(err).Send()
			}
		})
	}
}

// keepRegistered writes the registration of this VM to the store until the VM stops,
// again whenever applyMembers finds that it is missing.
func (c *control) keepRegistered() {
	s := c.e.opt.Settings
	body, err := json.Marshal(dandeliongap.EdgeMember{VM: s.VM, Zone: s.Zone, Entry: s.EntryListen, Gossip: s.GossipListen, Boot: c.e.boot, Cores: s.Cores, ShortForm: true, Eras: true, Rollouts: c.e.rollouts != nil})
	if err != nil {
		c.e.log.event("registration failed").Err(err).Send()
		return
	}
	var version dandeliongap.Version
	for c.ctx.Err() == nil {
		c.regMu.Lock()
		needed := !c.registered
		c.regMu.Unlock()
		if needed {
			version, err = c.putRegistration(body, version)
			if err != nil {
				c.e.log.event("registration failed").Err(err).Send()
				c.awaitStoreAnswer(maxProbeWait)
			} else {
				c.regMu.Lock()
				c.registered = true
				c.regMu.Unlock()
			}
		}
		c.sleep(registrationCheckInterval)
	}
}

// putRegistration writes the registration, replacing any that exists for this VM. It
// returns the version of the written object.
func (c *control) putRegistration(body []byte, version dandeliongap.Version) (dandeliongap.Version, error) {
	ctx, cancel := context.WithTimeout(c.ctx, storeCallTimeout)
	defer cancel()
	name := memberObjectName(c.e.opt.Settings.VM)
	next, err := c.e.opt.Store.Put(ctx, name, body, version)
	if !dgrestore.RepeatsWrite(err) {
		return next, err
	}
	o, err := c.e.opt.Store.Get(ctx, name)
	if errors.Is(err, dandeliongap.ErrNotFound) {
		return c.e.opt.Store.Put(ctx, name, body, 0)
	}
	if err != nil {
		return version, err
	}
	return c.e.opt.Store.Put(ctx, name, body, o.Version)
}

// memberObjectName returns the name of the object that holds a VM's registration.
func memberObjectName(vm dandeliongap.VMName) dandeliongap.ObjectName {
	return dandeliongap.ObjectName(fmt.Sprintf("%s/%s", dandeliongap.KindMembers, vm))
}
