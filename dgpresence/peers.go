package dgpresence

import (
	"math/rand/v2"

	"dandeliongap.example/dandeliongap"
)

const (
	// smallTier is the number of other VMs up to which each beat goes to fewPeers of
	// them: news are everywhere after one or two beats.
	smallTier = 11
	fewPeers  = 5
	// nearPeers and farPeers are the VMs of the own and of other zones that a beat
	// goes to in larger tiers, which pass each other's beats on. Traffic between
	// zones is paid for.
	nearPeers = 2
	farPeers  = 1
)

// SelectPeers selects the VMs that the next beat goes to (V4).
func SelectPeers(rng *rand.Rand, zone dandeliongap.ZoneName, others []dandeliongap.EdgeMember) []dandeliongap.EdgeMember {
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if len(others) <= smallTier {
		return others[:min(len(others), fewPeers)]
	}
	near, far := nearPeers, farPeers
	var out, rest []dandeliongap.EdgeMember
	for _, m := range others {
		switch {
		case m.Zone == zone && near > 0:
			near--
			out = append(out, m)
		case m.Zone != zone && far > 0:
			far--
			out = append(out, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(out, rest[:min(len(rest), near+far)]...)
}
