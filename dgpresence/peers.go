package dgpresence

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dandeliongap.example/dandeliongap"
)

const (
	// smallTier is the number of other hubs up to which each heartbeat is sent to
	// smallTierPeers of them. It then reaches all hubs within one or two intervals.
	smallTier      = 11
	smallTierPeers = 5
	// sameZonePeers and otherZonePeers are the numbers of VMs in the sender's and in
	// other availability zones that a heartbeat is sent to in a larger tier. The others
	// receive it from these. Most are in the same zone, because traffic between zones
	// costs money.
	sameZonePeers  = 2
	otherZonePeers = 1
)

// SelectHub selects the hub that a VM that stands by asks next (V5). turn counts its
// questions, from another number on each VM of a zone, so that they do not all ask the
// same hub at the same time. It returns false if there is no hub.
func SelectHub(turn int, zone dandeliongap.ZoneName, hubs []dandeliongap.EdgeMember) (dandeliongap.EdgeMember, bool) {
	var near []dandeliongap.EdgeMember
	for _, m := range hubs {
		if m.Zone == zone {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = hubs
	}
	if len(near) == 0 {
		return dandeliongap.EdgeMember{}, false
	}
	slices.SortFunc(near, func(a, b dandeliongap.EdgeMember) int { return cmp.Compare(a.VM, b.VM) })
	return near[turn%len(near)], true
}

// SelectPeers selects the hubs that the next heartbeats of a hub are sent to (V4). It
// reorders others.
func SelectPeers(rng *rand.Rand, zone dandeliongap.ZoneName, others []dandeliongap.EdgeMember) []dandeliongap.EdgeMember {
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if len(others) <= smallTier {
		return others[:min(len(others), smallTierPeers)]
	}
	sameZone, otherZone := sameZonePeers, otherZonePeers
	var selected, rest []dandeliongap.EdgeMember
	for _, m := range others {
		switch {
		case m.Zone == zone && sameZone > 0:
			sameZone--
			selected = append(selected, m)
		case m.Zone != zone && otherZone > 0:
			otherZone--
			selected = append(selected, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(selected, rest[:min(len(rest), sameZone+otherZone)]...)
}
