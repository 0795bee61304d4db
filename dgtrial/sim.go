package dgtrial

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
)

// Network, callers and size of a run (T1, T2, T7, T8).
const (
	EntryVMs              = 6
	HopDelay              = 50 * time.Microsecond
	JitterShare           = 0.2
	UrgentShare           = 0.1
	ArchiveShare          = 0.1
	ArchiveDeadlineFactor = 10
	MaxViewDelay          = 2 * time.Second
	CallerDelay           = 2 * time.Second
	partsPerLeaf          = 2
	indexVersion          = 1
)

const never = dandeliongap.Instant(math.MaxInt64)

// load describes the callers and servers of one run.
type load struct {
	Rate       float64       // searches per second; 0: none
	Urgent     float64       // share of urgent searches
	Archive    float64       // share of archive searches
	Stragglers float64       // share of sub-requests
	Baseline   bool          // use the baseline policy
	Length     time.Duration // period in which searches arrive
}

// sim is the state of one simulation run.
type sim struct {
	now           dandeliongap.Instant
	queue         eventQueue
	load          load
	group         *dandeliongap.Service
	zoneDelay     time.Duration
	rng           *rand.Rand // delays of messages and views
	arrivals      *rand.Rand
	vms           []*vm
	callerVMs     []*vm // entry VMs that callers use
	replicas      map[dandeliongap.ReplicaID]*ownedReplica
	replicaList   []*ownedReplica // in the order of the leaves in the group
	bodies        []dgfanout.Body
	tally         tally
	nextStraggler dandeliongap.ServiceName // the next request to this service is a straggler; empty: none
	out           io.Writer                // receives the trace of a session; nil: none
}

// newSim prepares a run of the deployment's group. The streams of random
// numbers for arrivals and for each server depend on the seed only, so that two
// policies receive the same arrivals.
func newSim(d *dandeliongap.Deployment, group *dandeliongap.Service, l load, zoneDelay time.Duration, seed uint64) *sim {
	s := &sim{
		load: l, group: group, zoneDelay: zoneDelay,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		arrivals: rand.New(rand.NewPCG(seed, 2)),
		replicas: map[dandeliongap.ReplicaID]*ownedReplica{},
	}
	base := dandeliongap.View{
		Deployment: d, Serving: true,
		Members:   map[dandeliongap.MemberID]dandeliongap.Member{},
		Placement: map[dandeliongap.ReplicaID]dandeliongap.Placement{},
		Catalog:   dandeliongap.Catalog{group.Name: {s.snapshot()}},
	}
	for i := range EntryVMs {
		v := &vm{sim: s, id: dandeliongap.MemberID(fmt.Sprintf("vm-%d", i+1)), entry: uint64(i + 1), zone: d.Zones[i%len(d.Zones)]}
		v.rng = rand.New(rand.NewPCG(seed, 100+uint64(i)))
		s.vms = append(s.vms, v)
		base.Members[v.id] = dandeliongap.Member{ID: v.id, Zone: v.zone}
	}
	s.callerVMs = s.vms
	for _, name := range group.Leaves {
		for _, r := range d.Services[name].Replicas {
			s.addReplica(r, &base, seed)
		}
	}
	for _, v := range s.vms {
		view := base
		view.Self = v.id
		v.view = &view
	}
	return s
}

// snapshot returns the index snapshot of the group and fills bodies with the
// answer of each shard.
func (s *sim) snapshot() dandeliongap.Snapshot {
	snap := dandeliongap.Snapshot{Version: indexVersion}
	for _, name := range s.group.Leaves {
		shard := dandeliongap.Shard{Service: name}
		var body dgfanout.Body
		for range partsPerLeaf {
			part := dandeliongap.PartID(snap.Parts)
			shard.Parts = append(shard.Parts, part)
			body.Parts = append(body.Parts, dgfanout.Part{Part: part})
			snap.Parts++
		}
		snap.Shards = append(snap.Shards, shard)
		s.bodies = append(s.bodies, body)
	}
	return snap
}

// addReplica assigns the replica to a VM of its zone, or to any VM if the zone has
// none (T1). The VM is selected by half the position in replicaList, which is the
// index of the leaf if each leaf has two replicas. The server of the replica
// starts warm.
func (s *sim) addReplica(r dandeliongap.Replica, base *dandeliongap.View, seed uint64) {
	candidates := slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return v.zone != r.Zone })
	if len(candidates) == 0 {
		candidates = s.vms
	}
	n := len(s.replicaList)
	owned := &ownedReplica{sim: s, replica: r, owner: candidates[n/2%len(candidates)], attempts: map[dandeliongap.SubID]*attempt{}, timer: never}
	owned.server = server{sim: s, owned: owned, rng: rand.New(rand.NewPCG(seed, 1000+uint64(n))), slots: int(r.Slots), coldLimit: int(r.ColdLimit)}
	owned.gate.Configure(r)
	owned.gate.SetRightsEnd(dggate.Never)
	owned.gate.Grant(0, 1, dggate.Handover{Known: true, Limit: r.Slots}, nil)
	s.replicas[r.ID] = owned
	s.replicaList = append(s.replicaList, owned)
	base.Placement[r.ID] = dandeliongap.Placement{Replica: r.ID, Owner: owned.owner.id, Epoch: 1}
}

// capacity returns the searches per second that the leaf with the fewest slots
// allows at the mean service time.
func capacity(d *dandeliongap.Deployment, group *dandeliongap.Service) float64 {
	least := math.MaxInt
	for _, name := range group.Leaves {
		slots := 0
		for _, r := range d.Services[name].Replicas {
			slots += int(r.Slots)
		}
		least = min(least, slots)
	}
	return float64(least) / ServiceMean.Seconds()
}

func (s *sim) schedule(t dandeliongap.Instant, do func()) { s.queue.push(max(t, s.now), do) }

func (s *sim) after(d time.Duration) dandeliongap.Instant { return s.now.Add(d) }

// delay returns a random transit time of one message between two zones (T2).
func (s *sim) delay(from, to dandeliongap.ZoneName) time.Duration {
	d := HopDelay
	if from != to {
		d = s.zoneDelay
	}
	return d + time.Duration(JitterShare*s.rng.Float64()*float64(d))
}

// deliver runs do when a message from one VM reaches another.
func (s *sim) deliver(from, to *vm, do func()) {
	if from == to {
		s.schedule(s.now, do)
		return
	}
	s.schedule(s.after(s.delay(from.zone, to.zone)), do)
}

// run processes all events in order of time and then counts false refusals.
func (s *sim) run() {
	if s.load.Rate > 0 {
		s.schedule(s.nextArrival(), s.arrive)
	}
	for len(s.queue.heap) > 0 {
		e := s.queue.pop()
		s.now = e.at
		e.do()
	}
	for _, sr := range s.tally.refusals {
		if sr.startedAttempts > 0 {
			s.tally.falseRefusals++
		}
	}
}

func (s *sim) nextArrival() dandeliongap.Instant {
	return s.after(time.Duration(s.arrivals.ExpFloat64() / s.load.Rate * float64(time.Second)))
}

// arrive starts a search at a random entry VM and schedules the next one (T7).
func (s *sim) arrive() {
	if s.now >= dandeliongap.Instant(s.load.Length) {
		return
	}
	class := dandeliongap.ClassOrdinary
	switch x := s.arrivals.Float64(); {
	case x < s.load.Urgent:
		class = dandeliongap.ClassUrgent
	case x < s.load.Urgent+s.load.Archive:
		class = dandeliongap.ClassArchive
	}
	v := s.callerVMs[int(s.arrivals.Float64()*float64(len(s.callerVMs)))]
	v.startSearch(class)
	s.schedule(s.nextArrival(), s.arrive)
}

// setZone takes a zone out or returns it (T8).
func (s *sim) setZone(zone dandeliongap.ZoneName, out bool) {
	for _, v := range s.vms {
		v := v
		view := *v.view
		view.ZonesOut = map[dandeliongap.ZoneName]bool{zone: out}
		s.schedule(s.after(time.Duration(s.rng.Float64()*float64(MaxViewDelay))), func() { v.applyView(&view, zone, out) })
	}
	if !out {
		for _, owned := range s.replicaList {
			if owned.replica.Zone == zone {
				owned.server.turnCold()
			}
		}
	}
	s.schedule(s.after(CallerDelay), func() {
		s.callerVMs = s.vms
		if out {
			s.callerVMs = slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return v.zone == zone })
		}
	})
}

// applyView makes a view current on the VM and sets the zone state of its gates.
func (v *vm) applyView(view *dandeliongap.View, zone dandeliongap.ZoneName, out bool) {
	v.view = view
	for _, owned := range v.sim.replicaList {
		if owned.owner == v && owned.replica.Zone == zone {
			owned.setZoneOut(out)
		}
	}
}

// trace writes one line with the virtual time to out, which must be set.
func (s *sim) trace(format string, args ...any) {
	fmt.Fprintf(s.out, "%9.3f ms  %s\n", float64(s.now)/1e6, fmt.Sprintf(format, args...))
}

// formatAttemptID returns the numbers of the query, shard and attempt of an ID,
// separated by dots.
func formatAttemptID(id dandeliongap.SubID) string {
	return fmt.Sprintf("%d.%d.%d", id.Query, id.Shard, id.Attempt)
}
