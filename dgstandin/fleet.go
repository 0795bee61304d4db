package dgstandin

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"slices"

	"dandeliongap.example/dandeliongap"
)

// FleetOptions configures a Fleet. Backend applies to each backend server, except
// for Replica, Address, Seed and RunCounts, which NewFleet sets.
type FleetOptions struct {
	Backend BackendOptions
	// Seed is the seed of the first server; each further server adds one.
	Seed uint64
	// FreePorts makes the servers listen on free ports of Host instead of the
	// addresses of the replicas. Fleet.Addresses returns the chosen ones.
	FreePorts bool
	// Host is the IP address to listen on with FreePorts. Default: 127.0.0.1.
	Host string
}

// Fleet runs one stand-in backend server for each replica of a deployment.
type Fleet struct {
	runCounts RunCounts
	backends  map[dandeliongap.ReplicaID]*Backend
	services  map[dandeliongap.ReplicaID]dandeliongap.ServiceName
	zones     map[dandeliongap.ReplicaID]dandeliongap.ZoneName
}

// NewFleet starts a backend server for each replica of d. Each server holds index
// version 0 with one part, which is the one that a group without a catalog entry
// expects. For a leaf service, the number of that part is the position of the
// service among the leaves of the first group, by name, that lists it. For other
// services, it is 0.
func NewFleet(d *dandeliongap.Deployment, o FleetOptions) (*Fleet, error) {
	f := &Fleet{
		backends: make(map[dandeliongap.ReplicaID]*Backend),
		services: make(map[dandeliongap.ReplicaID]dandeliongap.ServiceName),
		zones:    make(map[dandeliongap.ReplicaID]dandeliongap.ZoneName),
	}
	parts := implicitParts(d)
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		for _, r := range d.Services[name].Replicas {
			if err := f.add(r, o, parts[name]); err != nil {
				return nil, errors.Join(err, f.Close())
			}
		}
	}
	return f, nil
}

func (f *Fleet) add(r dandeliongap.Replica, o FleetOptions, part dandeliongap.PartID) error {
	bo := o.Backend
	bo.Replica = r
	bo.RunCounts = &f.runCounts
	bo.Seed = o.Seed + uint64(len(f.backends))
	bo.Address = r.Address
	if o.FreePorts {
		bo.Address = net.JoinHostPort(cmp.Or(o.Host, "127.0.0.1"), "0")
	}
	b, err := NewBackend(bo)
	if err != nil {
		return err
	}
	b.HoldVersion(0, []dandeliongap.PartID{part})
	f.backends[r.ID] = b
	f.services[r.ID] = r.Service
	f.zones[r.ID] = r.Zone
	return nil
}

// implicitParts returns the part that each leaf service holds in index version 0,
// as described at NewFleet.
func implicitParts(d *dandeliongap.Deployment) map[dandeliongap.ServiceName]dandeliongap.PartID {
	parts := make(map[dandeliongap.ServiceName]dandeliongap.PartID)
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if d.Services[name].Kind != dandeliongap.KindGroup {
			continue
		}
		for i, leaf := range d.Services[name].Leaves {
			if _, found := parts[leaf]; !found {
				parts[leaf] = dandeliongap.PartID(i)
			}
		}
	}
	return parts
}

// Backend returns the server of a replica, or nil if there is none.
func (f *Fleet) Backend(id dandeliongap.ReplicaID) *Backend { return f.backends[id] }

// RunCounts returns the run counts of actions, shared by all servers.
func (f *Fleet) RunCounts() *RunCounts { return &f.runCounts }

// Addresses returns the address on which the server of each replica listens.
func (f *Fleet) Addresses() map[dandeliongap.ReplicaID]string {
	m := make(map[dandeliongap.ReplicaID]string, len(f.backends))
	for id, b := range f.backends {
		m[id] = b.Address()
	}
	return m
}

// Counters returns the counters of all servers, combined. MostAtOnce and
// MostConnections are the highest values of any one server.
func (f *Fleet) Counters() BackendCounters {
	var sum BackendCounters
	for _, b := range f.backends {
		sum.add(b.Counters())
	}
	sum.DuplicateRuns = f.runCounts.DuplicateRuns()
	return sum
}

// Each calls fn for each server, in the order of the replica IDs.
func (f *Fleet) Each(fn func(id dandeliongap.ReplicaID, b *Backend)) {
	for _, id := range slices.Sorted(maps.Keys(f.backends)) {
		fn(id, f.backends[id])
	}
}

// OfService returns the servers of one service, in the order of the replica IDs.
func (f *Fleet) OfService(name dandeliongap.ServiceName) []*Backend {
	return f.filter(func(id dandeliongap.ReplicaID) bool { return f.services[id] == name })
}

// InZone returns the servers of one availability zone, in the order of the
// replica IDs.
func (f *Fleet) InZone(name dandeliongap.ZoneName) []*Backend {
	return f.filter(func(id dandeliongap.ReplicaID) bool { return f.zones[id] == name })
}

func (f *Fleet) filter(match func(dandeliongap.ReplicaID) bool) []*Backend {
	var found []*Backend
	f.Each(func(id dandeliongap.ReplicaID, b *Backend) {
		if match(id) {
			found = append(found, b)
		}
	})
	return found
}

// SetFaults replaces the faults of the given servers.
func SetFaults(servers []*Backend, faults BackendFaults) {
	for _, b := range servers {
		b.SetFaults(faults)
	}
}

// HoldSnapshot makes the servers of each shard hold the snapshot's version with
// the shard's parts.
func (f *Fleet) HoldSnapshot(s dandeliongap.Snapshot) {
	for _, shard := range s.Shards {
		for _, b := range f.OfService(shard.Service) {
			b.HoldVersion(s.Version, shard.Parts)
		}
	}
}

// ReleaseSnapshot makes the servers of each shard answer 410 for the snapshot's
// version.
func (f *Fleet) ReleaseSnapshot(s dandeliongap.Snapshot) {
	for _, shard := range s.Shards {
		for _, b := range f.OfService(shard.Service) {
			b.ReleaseVersion(s.Version)
		}
	}
}

// Close stops all servers and waits for their handlers.
func (f *Fleet) Close() error {
	var err error
	for _, b := range f.backends {
		err = errors.Join(err, b.Close())
	}
	return err
}
