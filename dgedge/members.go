package dgedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// forgetAfter is the age of a lost VM's last beat at which its registration is
// removed; a VM that was only paused registers again.
const forgetAfter = 30 * time.Second

// applyMembers takes in registrations of VMs.
func (c *control) applyMembers(now dandeliongap.Instant, b batch) {
	if b.full {
		clear(c.members)
	}
	for _, o := range b.objects {
		vm := dandeliongap.VMName(baseName(o.Name))
		var m dandeliongap.EdgeMember
		if o.Deleted {
			delete(c.members, vm)
		} else if err := json.Unmarshal(o.Body, &m); err != nil || m.Entry == "" {
			c.e.log.event("member unreadable").Str("Member", string(vm)).AnErr("Error", err).Send()
			continue
		} else {
			c.members[vm] = m
			c.versions[vm] = o.Version
			if _, ok := c.since[vm]; !ok {
				c.since[vm] = now
			}
		}
		c.e.log.event("member changed").Str("Member", string(vm)).Bool("Removed", o.Deleted).Str("Entry", m.Entry).Send()
	}
	if own, ok := c.members[c.e.opt.Settings.VM]; !ok || own.Boot != c.e.boot {
		c.regMu.Lock()
		c.registered = false
		c.regMu.Unlock()
	}
}

// vms returns the registered VMs, this one included.
func (c *control) vms() []dandeliongap.VMName {
	out := []dandeliongap.VMName{c.e.opt.Settings.VM}
	for vm := range c.members {
		if vm != c.e.opt.Settings.VM {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// sharing returns the VMs among which the connections of replicas are dealt out:
// those that are present, and others up to half of all. VMs whose views differ
// then use at most twice the connections that are dealt out.
func (c *control) sharing(now dandeliongap.Instant) []dandeliongap.VMName {
	all := c.vms()
	var out, away []dandeliongap.VMName
	for _, vm := range all {
		if alive, _ := c.presence.Present(now, vm); alive || vm == c.e.opt.Settings.VM {
			out = append(out, vm)
		} else {
			away = append(away, vm)
		}
	}
	if missing := (len(all)+1)/2 - len(out); missing > 0 {
		out = append(out, away[:missing]...)
	}
	slices.Sort(out)
	return out
}

// forget removes the registration of VMs that are lost for good. One of the VMs
// that are present does so.
func (c *control) forget(now dandeliongap.Instant) {
	if len(c.lostKind) > 0 || !c.known[dandeliongap.KindMembers] {
		return
	}
	for vm := range c.members {
		if alive, _ := c.presence.Present(now, vm); alive && vm < c.e.opt.Settings.VM {
			return
		}
	}
	for vm := range c.members {
		age, heard := c.presence.Age(now, vm)
		if !heard {
			age = now.Sub(c.since[vm])
		}
		if vm == c.e.opt.Settings.VM || age < forgetAfter || now.Sub(c.since[vm]) < forgetAfter {
			continue
		}
		version := c.versions[vm]
		delete(c.members, vm)
		delete(c.since, vm)
		c.e.log.event("member forgotten").Str("Member", string(vm)).Dur("Age", age).Send()
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
			defer cancel()
			if err := c.e.opt.Store.Delete(ctx, memberObject(vm), version); err != nil {
				c.e.log.event("member not removed").Str("Member", string(vm)).Err(err).Send()
			}
		})
	}
}

// register keeps the registration of this VM in the store.
func (c *control) register() {
	s := c.e.opt.Settings
	body, err := json.Marshal(dandeliongap.EdgeMember{VM: s.VM, Zone: s.Zone, Entry: s.EntryListen, Gossip: s.GossipListen, Boot: c.e.boot})
	if err != nil {
		c.e.log.event("not registered").Err(err).Send()
		return
	}
	var version dandeliongap.Version
	for c.ctx.Err() == nil {
		c.regMu.Lock()
		needed := !c.registered
		c.regMu.Unlock()
		if needed {
			version, err = c.put(body, version)
			if err != nil {
				c.e.log.event("not registered").Err(err).Send()
				c.awaitSignal(probeOthers)
			} else {
				c.regMu.Lock()
				c.registered = true
				c.regMu.Unlock()
			}
		}
		c.sleep(registerEvery)
	}
}

// put writes the registration over the one that is there.
func (c *control) put(body []byte, version dandeliongap.Version) (dandeliongap.Version, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	name := memberObject(c.e.opt.Settings.VM)
	next, err := c.e.opt.Store.Put(ctx, name, body, version)
	if !errors.Is(err, dandeliongap.ErrConflict) && !errors.Is(err, dandeliongap.ErrNotFound) {
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

// memberObject names the registration of a VM.
func memberObject(vm dandeliongap.VMName) dandeliongap.ObjectName {
	return dandeliongap.ObjectName(fmt.Sprintf("%s/%s", dandeliongap.KindMembers, vm))
}
