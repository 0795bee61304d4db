package dgplacement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(20261204, 0) }

// deployment returns a deployment of leaves with the given number of replicas, which
// are spread over three zones.
func deployment(leaves, replicas int) *dandeliongap.Deployment {
	d := &dandeliongap.Deployment{Services: map[dandeliongap.ServiceName]*dandeliongap.Service{}}
	for l := range leaves {
		name := dandeliongap.ServiceName(fmt.Sprintf("leaf%03d", l))
		s := &dandeliongap.Service{Name: name}
		for r := range replicas {
			s.Replicas = append(s.Replicas, dandeliongap.Replica{
				ID: dandeliongap.ReplicaID(fmt.Sprintf("%s/%d", name, r)), Service: name, Zone: zoneNames[(l+r)%len(zoneNames)],
			})
		}
		d.Services[name] = s
	}
	return d
}

const (
	simLeaves   = 4
	simReplicas = 2
)

// injectFault draws one fault and applies it. Lost messages and an unreachable platform
// last until the next fault of the same kind or until heal.
func (c *cluster) injectFault(t *rapid.T, vms int) {
	randomVMs := func() map[int]bool {
		s := map[int]bool{}
		for i := range vms {
			s[i] = rapid.Bool().Draw(t, "in")
		}
		return s
	}
	victim := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "victim")]
	switch rapid.SampledFrom([]string{"pause", "platform down", "platform up", "partition", "partition without platform", "one-way", "reconnect", "lossy", "restart", "power loss", "leave", "heal"}).Draw(t, "fault") {
	case "pause":
		victim.pausedUntil = c.now + time.Duration(rapid.IntRange(500, 40000).Draw(t, "ms"))*time.Millisecond
	case "platform down":
		c.platformDown = randomVMs()
	case "platform up":
		c.platformDown = map[int]bool{}
	case "partition":
		side := randomVMs()
		c.blockIf(vms, func(a, b int) bool { return side[a] != side[b] })
	case "partition without platform": // one side does not reach the platform
		c.platformDown = randomVMs()
		c.blockIf(vms, func(a, b int) bool { return c.platformDown[a] != c.platformDown[b] })
	case "one-way":
		side := randomVMs()
		c.blockIf(vms, func(a, b int) bool { return side[a] && !side[b] })
	case "reconnect":
		c.blockIf(vms, func(int, int) bool { return false })
	case "lossy":
		c.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.33}).Draw(t, "loss rate")
	case "restart":
		if victim.stopped {
			return // the next process of its VM runs already or is about to start
		}
		victim.stopped = true
		c.after(time.Duration(rapid.IntRange(0, 20).Draw(t, "s"))*time.Second, func() { c.boot(victim.vm) })
	case "power loss":
		for i := range vms {
			c.after(time.Duration(rapid.IntRange(0, 20).Draw(t, "s"))*time.Second, func() { c.boot(i) })
		}
		for _, n := range c.nodes {
			n.stopped = true
		}
	case "leave":
		victim.after(0, func() {
			victim.leaving = true
			victim.runMemberActions(victim.member.Leave(victim.localNow(), nil))
		})
	case "heal":
		c.heal(vms)
	}
}

// blockIf blocks the messages from VM a to VM b if block returns true, and unblocks all
// others.
func (c *cluster) blockIf(vms int, block func(a, b int) bool) {
	for a := range vms {
		for b := range vms {
			c.blocked[[2]int{a, b}] = block(a, b)
		}
	}
}

// heal ends all faults of the network and the platform and all pauses.
func (c *cluster) heal(vms int) {
	c.lossRate, c.platformDown = 0, map[int]bool{}
	c.blockIf(vms, func(int, int) bool { return false })
	for _, n := range c.nodes {
		n.pausedUntil = 0
	}
}

// Guards against two VMs that may send to the same replica, objects that go back to an
// older version, sending under a released epoch, and replicas that no VM may send to two
// minutes after all faults have ended.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{3, 5, 6}).Draw(t, "vms")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), vms, deployment(simLeaves, simReplicas))
		c.runFor(20 * time.Second)
		for range rapid.IntRange(2, 12).Draw(t, "faults") {
			c.injectFault(t, vms)
			c.runFor(time.Duration(rapid.IntRange(100, 30000).Draw(t, "ms")) * time.Millisecond)
		}
		c.heal(vms)
		c.runFor(2 * time.Minute)
		if c.violation != "" {
			t.Fatal(c.violation)
		}
		if n := c.countHolders(); n != simLeaves*simReplicas {
			t.Fatalf("%d of %d replicas have a holder after the faults ended", n, simLeaves*simReplicas)
		}
	})
}

// startCluster starts six VMs and runs them for one minute, after which all replicas
// must have a holder.
func startCluster(t *testing.T) *cluster {
	c := newCluster(7, 6, deployment(simLeaves, simReplicas))
	c.runFor(time.Minute)
	if n := c.countHolders(); n != simLeaves*simReplicas {
		t.Fatalf("%d replicas have a holder after one minute without faults", n)
	}
	return c
}

func (c *cluster) expectState(t *testing.T, phase string, fenced, holders int) {
	t.Helper()
	if c.violation != "" || c.fencedCount != fenced || c.countHolders() != holders {
		t.Fatalf("%s: %d members fenced, %d replicas held, violation %q", phase, c.fencedCount, c.countHolders(), c.violation)
	}
}

// Guards against a graceful stop after which the VM has to be fenced or replicas have no
// holder.
func TestLeave(t *testing.T) {
	c := startCluster(t)
	victim := c.nodes[2]
	victim.leaving = true
	victim.runMemberActions(victim.member.Leave(victim.localNow(), nil))
	c.runFor(15 * time.Second)
	c.expectState(t, "after the stop", 0, simLeaves*simReplicas)
	if !victim.stopped {
		t.Fatal("the leaving VM still runs")
	}
}

// Guards against a VM that keeps running after a pause in which it was fenced, and against
// replicas that stay without a holder until the pause ends.
func TestPauseBeyondLease(t *testing.T) {
	c := startCluster(t)
	victim := c.nodes[2]
	victim.pausedUntil = c.now + time.Minute
	c.runFor(50 * time.Second)
	c.expectState(t, "while paused", 1, simLeaves*simReplicas)
	c.runFor(time.Minute)
	c.expectState(t, "after the pause", 1, simLeaves*simReplicas)
	if !victim.stopped {
		t.Fatal("the fenced incarnation still runs")
	}
}

// Guards against a minority that cannot reach the platform and keeps its replicas, while
// the majority reaches the platform and moves them.
func TestMinorityWithoutPlatform(t *testing.T) {
	c := startCluster(t)
	c.platformDown = map[int]bool{0: true, 1: true}
	c.blockIf(6, func(a, b int) bool { return c.platformDown[a] != c.platformDown[b] })
	c.runFor(time.Minute)
	c.expectState(t, "in the partition", 2, simLeaves*simReplicas)
	for _, n := range c.nodes[:2] {
		if _, ok := n.member.Rights(n.localNow()); ok {
			t.Fatal("a VM of the minority has rights")
		}
	}
}

// Guards against a minority that reaches the platform and fences a majority that keeps
// its rights under rule M2 of dgmember, also if VMs join on the side of the minority.
func TestMinorityWithPlatform(t *testing.T) {
	c := startCluster(t)
	c.platformDown = map[int]bool{0: true, 1: true, 2: true, 3: true}
	c.blockIf(20, func(a, b int) bool { return c.platformDown[a] != c.platformDown[b] })
	for i := range 10 {
		c.boot(6 + i)
	}
	c.runFor(5 * time.Minute)
	for _, n := range c.nodes[:4] {
		if _, ok := n.member.Rights(n.localNow()); !ok {
			t.Fatal("a VM of the majority lost its rights")
		}
	}
	c.expectState(t, "in the partition", 0, c.countHolders())
	c.heal(20)
	c.runFor(time.Minute)
	c.expectState(t, "after the partition", 0, simLeaves*simReplicas)
}
