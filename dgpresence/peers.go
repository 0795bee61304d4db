package dgpresence

import (
	"math/rand/v2"

	"dandeliongap.example/dandeliongap"
)

const (
	// smallTier is the number of other VMs up to which each heartbeat is sent to
	// smallTierPeers of them. It then reaches all VMs within one or two intervals.
	smallTier      = 11
	smallTierPeers = 5
	// sameZonePeers and otherZonePeers are the numbers of VMs in the sender's and in
	// other availability zones that a heartbeat is sent to in a larger tier. The others
	// receive it from these. Most are in the same zone, because traffic between zones
	// costs money.
	sameZonePeers  = 2
	otherZonePeers = 1
)

// SelectPeers selects the VMs that the next heartbeat is sent to (V4). It reorders
// others.
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
