package dgedge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgroster"
)

// tierTraffic plays the heartbeats of a tier of n VMs in five zones for some seconds and
// returns the bytes per second that a VM sends and receives: the most of a hub and of a
// VM that stands by. era is that of the store; 0: it has none.
func tierTraffic(n int, era dandeliongap.Era) (hub, standby float64) {
	const seconds = 3
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	members := make(map[dandeliongap.VMName]dandeliongap.EdgeMember)
	var candidates []dgroster.Candidate
	for i := range n {
		zone := dandeliongap.ZoneName(fmt.Sprintf("lk-west-%c", 'a'+i%5))
		m := dandeliongap.EdgeMember{VM: dandeliongap.VMName(fmt.Sprintf("frontend-%s-%d", zone, i/5)), Zone: zone}
		members[m.VM] = m
		candidates = append(candidates, dgroster.Candidate{VM: m.VM, Zone: zone})
	}
	var roster dgroster.Roster
	hubs := roster.Hubs(candidates, nil, func(dandeliongap.VMName) bool { return false })
	place := make(map[dandeliongap.VMName]int) // of those that stand by, in their zone
	standbys := make(map[dandeliongap.ZoneName]int)
	for _, c := range candidates {
		if !slices.Contains(hubs, c.VM) {
			place[c.VM] = standbys[c.Zone]
			standbys[c.Zone]++
		}
	}
	views := make(map[dandeliongap.VMName]*dgpresence.View)
	boots := make(map[dandeliongap.VMName]int64)
	for vm := range members {
		boots[vm] = rng.Int64()
		views[vm] = dgpresence.New(vm, boots[vm])
	}
	for _, v := range views {
		v.SetRegistered(boots)
	}
	others := func(self dandeliongap.VMName) (out []dandeliongap.EdgeMember) {
		for _, vm := range hubs {
			if vm != self {
				out = append(out, members[vm])
			}
		}
		return out
	}
	bytes := make(map[dandeliongap.VMName]int)
	count := func(a, b dandeliongap.VMName, size int) {
		bytes[a] += size
		bytes[b] += size
	}
	var send func(now dandeliongap.Instant, from, to dandeliongap.VMName, m dgpresence.Message)
	send = func(now dandeliongap.Instant, from, to dandeliongap.VMName, m dgpresence.Message) {
		count(from, to, len(dgedge.EncodeShort(m)))
		replies, long := views[to].Receive(now, m)
		for _, reply := range replies {
			send(now, to, from, reply)
		}
		if len(long) > 0 {
			count(to, from, len(dgedge.Pack(long)))
			views[from].Merge(now, long)
		}
	}
	versions := map[string]dandeliongap.Version{dandeliongap.KindRoutes: 1234, dandeliongap.KindInstances: 56789, dandeliongap.KindZonesOut: 900, dandeliongap.KindMembers: 4321}
	for kind, v := range versions {
		versions[kind] = era.Version(uint64(v))
	}
	for round := range seconds * int(time.Second/dgpresence.HeartbeatInterval) {
		now := dandeliongap.Instant(round+1) * dandeliongap.Instant(dgpresence.HeartbeatInterval)
		for i, c := range candidates {
			v, standby := views[c.VM], !slices.Contains(hubs, c.VM)
			v.Tick(now, dgpresence.LocalStatus{Serving: true, Standby: standby, Attempts: 250, Seen: versions})
			if !standby {
				beat := v.Beat(now)
				for _, m := range dgpresence.SelectPeers(rng, c.Zone, others(c.VM)) {
					send(now, c.VM, m.VM, beat)
				}
				continue
			}
			interval := int(dgpresence.PollInterval / dgpresence.HeartbeatInterval)
			if (round+i)%interval == 0 {
				m, _ := dgpresence.SelectHub(round/interval+place[c.VM], c.Zone, others(c.VM))
				send(now, c.VM, m.VM, v.Question(now))
			}
		}
	}
	for vm, b := range bytes {
		rate := float64(b) / seconds
		if slices.Contains(hubs, vm) {
			hub = max(hub, rate)
		} else {
			standby = max(standby, rate)
		}
	}
	return hub, standby
}

// maxControlBytes is the control traffic that a VM may send and receive, in bytes a
// second.
const maxControlBytes = 5000

// TestStandbyTraffic guards against control traffic of the VMs that stand by that grows
// with the tier.
func TestStandbyTraffic(t *testing.T) {
	for _, n := range []int{62, 195, 610} {
		for _, era := range []dandeliongap.Era{0, 300} {
			if _, standby := tierTraffic(n, era); standby > maxControlBytes {
				t.Errorf("%d VMs, era %d: %.0f bytes a second, want at most %d", n, era, standby, maxControlBytes)
			}
		}
	}
}

// TestHubTraffic guards against control traffic of the hubs that grows with the tier.
func TestHubTraffic(t *testing.T) {
	for _, n := range []int{62, 195, 610} {
		for _, era := range []dandeliongap.Era{0, 300} {
			hub, _ := tierTraffic(n, era)
			t.Logf("%d VMs, era %d: %.0f bytes a second", n, era, hub)
			if hub > maxControlBytes {
				t.Errorf("%d VMs, era %d: %.0f bytes a second, want at most %d", n, era, hub, maxControlBytes)
			}
		}
	}
}
