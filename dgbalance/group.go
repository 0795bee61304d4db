package dgbalance

import (
	"slices"

	"dandeliongap.example/dandeliongap"
)

// Group selects some of the replicas of a service (R12). The zero value selects all.
type Group struct {
	Only     []dandeliongap.SoftwareVersion // empty: all versions
	Not      []dandeliongap.SoftwareVersion
	Zone     dandeliongap.ZoneName   // "": all zones
	Replica  dandeliongap.InstanceID // "": all replicas
	Fallback bool                    // used only if no replica of the groups before it is usable
}

func (g *Group) has(in *dandeliongap.Instance) bool {
	return (len(g.Only) == 0 || slices.Contains(g.Only, in.Software)) && !slices.Contains(g.Not, in.Software) &&
		(g.Zone == "" || g.Zone == in.Zone) && (g.Replica == "" || g.Replica == in.ID)
}

// PickAmong is Pick for the first of the groups that has a replica for the request now.
// Without groups it is Pick.
func (b *Balancer) PickAmong(now dandeliongap.Instant, route dandeliongap.RouteName, s dandeliongap.ServiceName, groups []Group, excluded, failed []dandeliongap.InstanceID) (a Assignment, retryAt dandeliongap.Instant, err error) {
	if len(groups) == 0 {
		return b.Pick(now, route, s, excluded, failed)
	}
	usable := false
	for _, g := range groups {
		if g.Fallback && usable {
			break
		}
		var at dandeliongap.Instant
		if a, at, err = b.pickAmong(now, route, s, g, excluded, failed); err == nil {
			return a, 0, nil
		}
		if retryAt == 0 || at < retryAt {
			retryAt = at
		}
		usable = usable || b.usable(now, s, g)
	}
	return Assignment{}, retryAt, dandeliongap.ErrNoReplica
}

// usable reports whether a replica of a group is neither down nor unresponsive, or may be
// probed now.
func (b *Balancer) usable(now dandeliongap.Instant, s dandeliongap.ServiceName, g Group) bool {
	return slices.ContainsFunc(b.services[s], func(r *replica) bool {
		return g.has(&r.instance) && b.eligible(r) && !b.suspended(now, r)
	})
}
