package dgedge

import (
	"strings"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgroute"
)

// applyRoutes puts a routing configuration in force if it is newer than the current
// one. The current one stays in force if the object is deleted or invalid.
func (c *control) applyRoutes(o dandeliongap.Object) {
	if o.Deleted {
		c.e.log.event("configuration removed").Uint64("Version", uint64(o.Version)).Str("Choice", "keep the last one").Send()
		return
	}
	cfg, err := c.e.opt.Store.DecodeRoutes(o)
	if err != nil {
		c.e.log.event("configuration invalid").Uint64("Version", uint64(o.Version)).Err(err).Str("Choice", "keep the last one").Send()
		return
	}
	accounts, err := dgaccount.New(cfg.Accounts)
	if err != nil {
		c.e.log.event("configuration invalid").Str("Rule", "K1").Uint64("Version", uint64(o.Version)).Err(err).Str("Choice", "keep the last one").Send()
		return
	}
	cfg.Accounts = nil // accounts has them without their keys
	if c.table != nil && cfg.Version <= c.table.Config.Version {
		return
	}
	t := dgroute.New(cfg)
	c.e.mu.Lock()
	t.InheritSplitState(c.table)
	c.e.mu.Unlock()
	c.table, c.accounts = t, accounts
	c.e.quotas.setBook(c.e.now(), accounts)
	c.e.log.event("configuration in force").Uint64("Version", uint64(cfg.Version)).Uint64("Number", cfg.Number).
		Int("Routes", len(cfg.Routes)).Int("Services", len(cfg.Services)).Int("Accounts", accounts.Len()).Send()
}

func (c *control) applyInstances(now dandeliongap.Instant, b batch) {
	var list []dandeliongap.Instance
	var versions []dandeliongap.Version
	for _, o := range b.objects {
		id := dandeliongap.InstanceID(baseName(o.Name))
		if o.Deleted {
			c.catalog.Remove(now, id)
			c.e.log.event("replica removed").Str("Replica", string(id)).Uint64("Version", uint64(o.Version)).Send()
			continue
		}
		in, err := c.e.opt.Store.DecodeInstance(o)
		if err != nil {
			c.e.log.event("invalid replica registration").Str("Replica", clip(string(id))).Uint64("Version", uint64(o.Version)).Str("Error", clip(err.Error())).Send()
			c.catalog.Remove(now, id)
			continue
		}
		if !b.full {
			c.catalog.Put(now, in, o.Version)
			c.e.log.event("replica changed").Str("Replica", string(id)).Str("Service", string(in.Service)).
				Str("Address", in.Address).Bool("Draining", in.Draining).Dur("Cold", in.ColdRemaining).Uint64("Version", uint64(o.Version)).Send()
			continue
		}
		list = append(list, in)
		versions = append(versions, o.Version)
	}
	if b.full {
		c.catalog.Replace(now, list, versions)
		c.e.log.event("replicas listed").Int("Replicas", len(list)).Uint64("Version", uint64(b.version)).Send()
	}
}

func (c *control) applyZones(b batch) {
	out := make(map[dandeliongap.ZoneName]bool)
	if !b.full {
		for z := range c.zonesOut {
			out[z] = true
		}
	}
	for _, o := range b.objects {
		z := dandeliongap.ZoneName(baseName(o.Name))
		if o.Deleted {
			delete(out, z)
		} else {
			out[z] = true
		}
		c.e.log.event("zone changed").Str("Zone", string(z)).Bool("Out", !o.Deleted).Uint64("Version", uint64(o.Version)).Send()
	}
	c.zonesOut = out
}

// baseName returns the name of an object without the prefix for its kind.
func baseName(n dandeliongap.ObjectName) string {
	_, name, _ := strings.Cut(string(n), "/")
	return name
}
