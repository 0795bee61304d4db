package dgedge

import (
	"slices"
	"strings"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgrestore"
	"dandeliongap.example/dandeliongap/dgroute"
	"dandeliongap.example/dandeliongap/dgwatch"
)

// applyRouteState applies a state of the configuration. It returns the state that this VM
// passes on: with hashes in place of keys (dgaccount K7), and with the configuration in force
// in place of one of a restored store (dgrestore E3). fromVM tells whether another VM passed
// the state on.
func (c *control) applyRouteState(s dgwatch.State, fromVM bool) dgwatch.State {
	s.Objects = slices.Clone(s.Objects)
	listed := false
	for i, o := range s.Objects {
		verdict := dgrestore.Outdated
		verdict, s.Objects[i] = c.applyRoutes(o, fromVM)
		if verdict == dgrestore.Refused {
			s.Objects[i] = c.routes
		}
		listed = listed || s.Objects[i].Name == c.routes.Name
	}
	if s.Full && !listed && c.routes.Version.Era() < s.Version.Era() && c.table != nil {
		s.Objects = append(s.Objects, c.routes)
	}
	return s
}

// offerRoutes applies the configuration in force of another VM (dgrestore E4).
func (c *control) offerRoutes(objects []dandeliongap.Object) {
	for _, o := range objects {
		if verdict, shared := c.applyRoutes(o, true); verdict == dgrestore.Applied {
			c.e.mirror.Keep(dandeliongap.KindRoutes, shared)
			c.propagate()
		}
	}
}

// applyRoutes puts a routing configuration in force unless dgrestore E1 or E2 exclude it. The
// current one stays in force if the object is deleted or invalid. It returns the object that
// this VM passes on (dgaccount K7). An invalid one is passed on without content: it may have
// keys, and others could not find all faults of keys by their hashes.
func (c *control) applyRoutes(o dandeliongap.Object, fromVM bool) (dgrestore.Verdict, dandeliongap.Object) {
	store := c.e.opt.Store
	decode, shared := store.DecodeRoutes, o
	if fromVM {
		decode = store.DecodeSharedRoutes
	} else {
		shared = store.ShareRoutes(o)
	}
	refused := o
	refused.Body = nil
	if o.Deleted {
		c.e.log.event("configuration removed").Uint64("Version", uint64(o.Version)).Str("Choice", "keep the last one").Send()
		return dgrestore.Outdated, refused
	}
	cfg, err := decode(o)
	if err != nil {
		c.e.log.event("configuration invalid").Uint64("Version", uint64(o.Version)).Err(err).Str("Choice", "keep the last one").Send()
		return dgrestore.Outdated, refused
	}
	accounts, err := dgaccount.New(cfg.Accounts)
	if err != nil {
		c.e.log.event("configuration invalid").Str("Rule", "K1").Uint64("Version", uint64(o.Version)).Err(err).Str("Choice", "keep the last one").Send()
		return dgrestore.Outdated, refused
	}
	if accounts != nil {
		c.e.sharesHashes.Store(true)
	}
	cfg.Accounts = nil // accounts has them without their keys
	inForce := c.inForce.Number()
	verdict := c.inForce.Offer(cfg.Version, cfg.Number)
	if verdict == dgrestore.Refused {
		c.e.log.event("configuration of a restored store").Str("Rule", "E2").Uint64("Version", uint64(cfg.Version)).Uint64("Number", cfg.Number).
			Uint64("InForce", inForce).Str("Choice", "keep the last one").Send()
	}
	if verdict != dgrestore.Applied {
		return verdict, shared
	}
	c.routes = shared
	t := dgroute.New(cfg)
	c.e.mu.Lock()
	t.InheritSplitState(c.table)
	c.e.mu.Unlock()
	c.table, c.accounts = t, accounts
	c.e.quotas.setBook(c.e.now(), accounts)
	c.e.log.event("configuration in force").Uint64("Version", uint64(cfg.Version)).Uint64("Number", cfg.Number).
		Int("Routes", len(cfg.Routes)).Int("Services", len(cfg.Services)).Int("Accounts", accounts.Len()).Send()
	return verdict, shared
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

func (c *control) applyZones(now dandeliongap.Instant, b batch) {
	if b.full {
		c.zonesOut.Replace(now, nil)
	}
	for _, o := range b.objects {
		z := dandeliongap.ZoneName(baseName(o.Name))
		if o.Deleted {
			c.zonesOut.Remove(z)
		} else {
			c.zonesOut.Put(z)
		}
		c.e.log.event("zone changed").Str("Zone", string(z)).Bool("Out", !o.Deleted).Uint64("Version", uint64(o.Version)).Send()
	}
}

// baseName returns the name of an object without the prefix for its kind.
func baseName(n dandeliongap.ObjectName) string {
	_, name, _ := strings.Cut(string(n), "/")
	return name
}
