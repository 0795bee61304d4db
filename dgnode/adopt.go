package dgnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgsettings"
)

// adopt replaces the held version of a relayed object if obj is newer.
func (c *control) adopt(now dandeliongap.Instant, obj dandeliongap.Object) {
	if c.objects.Adopt(now, obj) {
		c.handleAdopted(now, obj.Name)
	}
}

// handleAdopted applies an adopted object, relays it to other members and starts a
// new planning window.
func (c *control) handleAdopted(now dandeliongap.Instant, name dandeliongap.ObjectName) {
	obj, _ := c.objects.Get(name)
	c.log.Info("relay", "Rule", dgrelay.C1, "Choice", "adopt", "Object", name, "Version", obj.Version)
	if err := c.install(now, obj); err != nil {
		c.log.Error("relayed object not readable", "Object", name, "Version", obj.Version, "Error", err)
	}
	c.relayActions = c.relay.Adopted(c.rng, c.relayActions)
	c.nextPlan, c.planUntil = now, now.Add(planWindow)
	c.dirty = true
}

// install decodes an object and replaces the control state derived from it. An
// object that cannot be decoded leaves that state unchanged.
func (c *control) install(now dandeliongap.Instant, obj dandeliongap.Object) error {
	switch obj.Name {
	case dgrelay.Deployment:
		return c.applyDeployment(obj)
	case dgrelay.Zones:
		return c.applyZones(now, obj)
	case dgrelay.Members:
		return c.applyMembers(now, obj)
	case dgrelay.Placement:
		return c.applyPlacementTable(now, obj)
	case dgrelay.Catalog:
		return c.applyCatalog(obj)
	default:
		return fmt.Errorf("object %s: %w", obj.Name, dandeliongap.ErrNotFound)
	}
}

// deploymentObject is the body of state/deployment.
type deploymentObject struct {
	ChangeID string `json:"ChangeId"`
	Text     string
	Recent   []string `json:",omitempty"` // ids of earlier changes, newest last
}

func (c *control) applyDeployment(obj dandeliongap.Object) error {
	if obj.Deleted {
		return fmt.Errorf("configuration object was deleted; the previous configuration stays in force: %w", dandeliongap.ErrNotFound)
	}
	var d deploymentObject
	if err := json.Unmarshal(obj.Body, &d); err != nil {
		return fmt.Errorf("configuration: %w: %w", dandeliongap.ErrInvalid, err)
	}
	parsed, faults := dgsettings.ParseDeployment("version "+strconv.FormatUint(uint64(obj.Version), 10), []byte(d.Text))
	if faults.Any() {
		return fmt.Errorf("configuration: %w: %s", dandeliongap.ErrInvalid, faults)
	}
	c.deployment = parsed
	c.performPendingGrants()
	return nil
}

func (c *control) applyZones(now dandeliongap.Instant, obj dandeliongap.Object) error {
	out := map[dandeliongap.ZoneName]bool{}
	if !obj.Deleted {
		z, err := dgrelay.DecodeZones(obj.Body)
		if err != nil {
			return err
		}
		for _, name := range z.Out {
			out[name] = true
		}
	}
	if out[c.self.Zone] && !c.zonesOut[c.self.Zone] {
		c.zoneOutAt.Store(int64(now))
	}
	c.zonesOut = out
	return nil
}

func (c *control) applyMembers(now dandeliongap.Instant, obj dandeliongap.Object) error {
	var list dgrelay.MemberList
	if !obj.Deleted {
		decoded, err := dgrelay.DecodeMemberList(obj.Body)
		if err != nil {
			return err
		}
		list = decoded
	}
	c.memberList = list
	c.memberActions = c.member.MembersAdopted(now, obj.Version, !obj.Deleted, list, c.memberActions)
	c.relay.SetMembers(list.Members)
	c.holdingActions = c.holdings.MembersAdopted(now, obj.Version, list.Members, c.holdingActions)
	keep := map[string]bool{}
	for _, m := range list.Members {
		keep[m.PeerAddress] = true
	}
	c.peers.Retain(keep)
	return nil
}

func (c *control) applyPlacementTable(now dandeliongap.Instant, obj dandeliongap.Object) error {
	var table dgrelay.PlacementTable
	if !obj.Deleted {
		decoded, err := dgrelay.DecodePlacementTable(obj.Body)
		if err != nil {
			return err
		}
		table = decoded
	}
	c.placementTable = table
	c.moves.Observe(now, table.Rows)
	c.holdingActions = c.holdings.TableAdopted(now, obj.Version, table, c.holdingActions)
	return nil
}

// catalogObject is the body of state/catalog.
type catalogObject struct {
	Groups []struct {
		Service   dandeliongap.ServiceName
		Snapshots []dandeliongap.Snapshot
	}
}

func (c *control) applyCatalog(obj dandeliongap.Object) error {
	if obj.Deleted {
		c.catalog = nil
		return nil
	}
	catalog, err := decodeCatalog(obj.Body)
	if err != nil {
		return err
	}
	c.catalog = catalog
	return nil
}

// decodeCatalog decodes the body of state/catalog and checks it. All its errors wrap
// dandeliongap.ErrInvalid. Each part of a snapshot must be in exactly one shard, and a
// shard must have no other parts; otherwise the reported coverage would be wrong.
func decodeCatalog(body []byte) (dandeliongap.Catalog, error) {
	var o catalogObject
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return nil, fmt.Errorf("catalog: %w: %w", dandeliongap.ErrInvalid, err)
	}
	catalog := dandeliongap.Catalog{}
	for _, g := range o.Groups {
		var last dandeliongap.IndexVersion
		for _, s := range g.Snapshots {
			if s.Version <= last {
				return nil, fmt.Errorf("catalog: %s: version %d is not greater than %d: %w", g.Service, s.Version, last, dandeliongap.ErrInvalid)
			}
			last = s.Version
			if err := checkSnapshot(g.Service, &s); err != nil {
				return nil, err
			}
		}
		catalog[g.Service] = g.Snapshots
	}
	return catalog, nil
}

func checkSnapshot(group dandeliongap.ServiceName, s *dandeliongap.Snapshot) error {
	seen := map[dandeliongap.PartID]bool{} // not sized by s.Parts, which is unchecked input
	for _, shard := range s.Shards {
		for _, p := range shard.Parts {
			if int(p) >= s.Parts || seen[p] {
				return fmt.Errorf("catalog: %s version %d: part %d is outside the snapshot or in two shards: %w",
					group, s.Version, p, dandeliongap.ErrInvalid)
			}
			seen[p] = true
		}
	}
	if len(seen) != s.Parts {
		return fmt.Errorf("catalog: %s version %d: %d of %d parts have a shard: %w",
			group, s.Version, len(seen), s.Parts, dandeliongap.ErrInvalid)
	}
	return nil
}
