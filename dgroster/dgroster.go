// Package dgroster decides which VMs of the tier serve callers. The directory names only
// these; the others stand by. Few VMs that serve know the backend servers better and
// have warmer connections than many that each see a small part of the requests, and
// VMs near the backend servers cause less traffic between availability zones.
//
// Every VM works out the roster alone, from the same registrations and from what it
// knows about the presence of the others. Rosters that differ for a while are safe: a VM
// that stands by serves the callers that reach it.
//
// Rules:
//
//	S1  A VM is on the roster only if it is present and accepts callers.
//	S2  The roster has VMs of the zones that have a replica of most services, and of
//	    at least minZones zones, so that it outlives any zone.
//	S3  It has at least vmsPerZone VMs of each of these zones, as far as there are so
//	    many, and minVMs in all. A weak VM, with less than strongShare of the processor
//	    cores of the strongest, is taken only if a zone has less than minPerZone without
//	    it: callers are spread evenly over the roster, and a query to many shards takes
//	    longer on a weak VM than its objective allows.
//	S4  Of a zone, the VMs with the most processor cores come first, then those that
//	    a hash of their names puts first.
//	S5  The roster grows until its processors can do what the VMs do at present at
//	    targetLoad. Weak VMs join only when the others would be loaded above strongLoad.
//	    It grows at once and shrinks with the halving time demandHalfLife.
//	S6  The hubs are the first VMs of every zone in the order of S4, more than the
//	    roster needs, so that they include those that join it when others are lost.
//	    They tell each other of each other (dgpresence). They follow from the
//	    registrations; those that are known to be lost are replaced.
package dgroster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

const (
	minZones   = 2
	vmsPerZone = 3
	minPerZone = 2
	minVMs     = 4
	// hubsPerZone is the number of hubs of a zone, unless the roster needs more (S6).
	hubsPerZone = vmsPerZone + 1
	// hubsPerChosen is the number of hubs of a zone for each of its VMs that would be on
	// the roster if all VMs were present.
	hubsPerChosen = 4.0 / 3
	// nearShare is the share of the services of which a zone has a replica, relative
	// to the zone with the most, from which its VMs are preferred (S2).
	nearShare = 0.5
	// targetLoad is the share of the processors of the roster that the present requests
	// may use (S5). A query to many shards needs its processor time at once.
	targetLoad = 0.25
	// strongShare is the share of the processor cores of the strongest VM from which a VM
	// is not weak (S3).
	strongShare = 0.5
	// strongLoad is the load up to which the VMs that are not weak serve alone (S5). Above
	// it, queries wait longer for them than a weak VM takes.
	strongLoad = 0.6
	// defaultCores is assumed for VMs whose registration states no processor cores.
	defaultCores = 0.2
	// demandHalfLife is the time in which a demand that is over loses half of its
	// weight (S5). Bursts of callers come again within such times.
	demandHalfLife = 20 * time.Second
	// CoreSecondsPerAttempt is the processor time that a VM takes to send a request to
	// a replica and to read its response, callers' side included.
	CoreSecondsPerAttempt = 100e-6
)

// Candidate is a VM that may be on the roster (S1).
type Candidate struct {
	VM    dandeliongap.VMName
	Zone  dandeliongap.ZoneName
	Cores float64 // processor cores; 0: unknown
}

// Nearness is the number of services of which a zone has a replica, by zone.
type Nearness map[dandeliongap.ZoneName]int

// NearnessOf counts the services of the instances by zone. It includes replicas that are
// draining and zones that are out of service, because these are short-lived states for
// which callers should not move.
func NearnessOf(list []dandeliongap.Instance) Nearness {
	type pair struct {
		zone    dandeliongap.ZoneName
		service dandeliongap.ServiceName
	}
	seen := make(map[pair]bool, len(list))
	n := make(Nearness)
	for _, in := range list {
		p := pair{in.Zone, in.Service}
		if !seen[p] {
			seen[p] = true
			n[in.Zone]++
		}
	}
	return n
}

// Roster works out which VMs serve. The zero value is ready for use. It is not safe for
// concurrent use.
type Roster struct {
	demand    float64 // processor cores in use by requests, or a decayed earlier value (S5)
	updatedAt dandeliongap.Instant
}

// Update sets the number of attempts per second that all VMs start at present (S5).
func (r *Roster) Update(now dandeliongap.Instant, attemptsPerSecond float64) {
	decay := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(demandHalfLife))
	r.demand = max(attemptsPerSecond*CoreSecondsPerAttempt, r.demand*decay)
	r.updatedAt = now
}

// Choose returns the sorted names of the VMs on the roster.
func (r *Roster) Choose(candidates []Candidate, near Nearness) []dandeliongap.VMName {
	out, _ := r.choose(candidates, near)
	return out
}

// Hubs returns the sorted names of the hubs (S6). registered holds all registered VMs;
// lost reports whether a VM was present and is not any more.
func (r *Roster) Hubs(registered []Candidate, near Nearness, lost func(dandeliongap.VMName) bool) []dandeliongap.VMName {
	_, zones := r.choose(registered, near)
	chosen := make(map[dandeliongap.ZoneName]int)
	for _, z := range zones {
		chosen[z.name] = z.chosen
	}
	var out []dandeliongap.VMName
	for _, z := range byZone(registered, near) {
		want := max(hubsPerZone, int(math.Ceil(hubsPerChosen*float64(chosen[z.name]))))
		for _, c := range z.vms {
			if want > 0 && !lost(c.VM) {
				want--
				out = append(out, c.VM)
			}
		}
	}
	slices.Sort(out)
	return out
}

// choose returns the sorted names of the VMs on the roster, and the zones with the
// numbers of VMs chosen from them.
func (r *Roster) choose(candidates []Candidate, near Nearness) ([]dandeliongap.VMName, []*zone) {
	zones := byZone(candidates, near)
	strongest := 0.0
	for _, c := range candidates {
		strongest = max(strongest, c.cores())
	}
	strong := func(z *zone) bool { return z.vms[0].cores() >= strongShare*strongest }
	anyVM := func(*zone) bool { return true }
	var out []dandeliongap.VMName
	cores := 0.0
	add := func(z *zone) {
		c := z.vms[0]
		z.vms = z.vms[1:]
		z.chosen++
		out = append(out, c.VM)
		cores += c.cores()
	}
	preferred := 0
	for i, z := range zones {
		if i < minZones || z.near {
			preferred++
			for len(z.vms) > 0 && (z.chosen < minPerZone || z.chosen < vmsPerZone && strong(z)) {
				add(z)
			}
		}
	}
	for _, z := range zones {
		for len(z.vms) > 0 && len(out) < minVMs {
			add(z)
		}
	}
	// grow adds VMs that fit, of some of the zones, until the load is not above targetLoad.
	grow := func(zones []*zone, fits func(*zone) bool) {
		for cores*targetLoad < r.demand {
			z := leastChosen(zones, fits)
			if z == nil {
				return
			}
			add(z)
		}
	}
	grow(zones[:preferred], strong)
	if r.demand > cores*strongLoad {
		grow(zones[:preferred], anyVM)
		grow(zones, anyVM)
	}
	slices.Sort(out)
	return out, zones
}

// zone is the state of a zone while a roster is chosen.
type zone struct {
	name   dandeliongap.ZoneName
	near   bool
	rank   int         // number of services with a replica in the zone
	vms    []Candidate // not chosen yet, in the order of S4
	chosen int
}

// byZone groups the candidates by zone, the zones with replicas of the most services
// first.
func byZone(candidates []Candidate, near Nearness) []*zone {
	most := 0
	for _, n := range near {
		most = max(most, n)
	}
	zones := make(map[dandeliongap.ZoneName]*zone)
	var out []*zone
	for _, c := range candidates {
		z := zones[c.Zone]
		if z == nil {
			n := near[c.Zone]
			z = &zone{name: c.Zone, near: float64(n) >= nearShare*float64(most), rank: n}
			zones[c.Zone] = z
			out = append(out, z)
		}
		z.vms = append(z.vms, c)
	}
	for _, z := range out {
		slices.SortFunc(z.vms, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(b.cores(), a.cores()), cmp.Compare(hash(a.VM), hash(b.VM)), cmp.Compare(a.VM, b.VM))
		})
	}
	slices.SortFunc(out, func(a, b *zone) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	return out
}

// leastChosen returns the zone with the fewest chosen VMs whose next VM fits, or nil.
func leastChosen(zones []*zone, fits func(*zone) bool) (least *zone) {
	for _, z := range zones {
		if len(z.vms) > 0 && fits(z) && (least == nil || z.chosen < least.chosen) {
			least = z
		}
	}
	return least
}

func (c Candidate) cores() float64 {
	if c.Cores <= 0 {
		return defaultCores
	}
	return c.Cores
}

func hash(vm dandeliongap.VMName) uint64 { return xxhash.Sum64String(string(vm)) }
