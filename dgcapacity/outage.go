package dgcapacity

import (
	"fmt"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

const (
	// fenceTime is the time in which members that are gone are fenced and their
	// replicas have moved, with a reserve.
	fenceTime = 70 * time.Second
	// returnTime is the time in which a zone that returns has joined.
	returnTime = 20 * time.Second
	// startSpread is the time over which the VMs of a zone start again.
	startSpread = 2 * time.Second
)

// outage is what was counted while VMs were lost or returned.
type outage struct {
	took         time.Duration // until the last VM adopted the last object
	delta        snapshot
	peak, writes int // platform calls, and writes among them, in the busiest second
}

// observe runs for the given time after VMs were lost or returned.
func (c *cluster) observe(d time.Duration) outage {
	before := c.snapshot()
	c.lastAdopted = c.now
	began := c.now
	var o outage
	for c.now < began.Add(d) {
		last := c.store.calls
		c.run(time.Second, nil)
		step := c.store.calls.minus(last)
		o.peak = max(o.peak, step.total())
		o.writes = max(o.writes, step[callWriteLease]+step[callDeleteLease]+step[callWriteState])
	}
	o.took = c.lastAdopted.Sub(began)
	o.delta = c.snapshot().since(before)
	return o
}

// crash ends VMs without notice.
func (c *cluster) crash(nodes []*node) {
	for _, n := range nodes {
		n.down, n.crashed = true, true
	}
}

// restart starts new processes on VMs that are down.
func (c *cluster) restart() {
	for i, n := range c.nodes {
		if !n.down {
			continue
		}
		delete(c.byID, n.self.ID)
		next := c.newNode(i)
		c.nodes[i] = next
		c.after(time.Duration(c.rng.Int64N(int64(startSpread))), func() { next.start(nil) })
	}
}

// check tells whether every VM that runs, and no other one, is listed and every
// replica has a running owner, by the objects that all VMs that run hold.
func (c *cluster) check() error {
	up := c.running()
	for _, name := range []dandeliongap.ObjectName{dgrelay.Members, dgrelay.Placement} {
		for _, n := range up {
			if got, want := n.version(name), c.store.objects[name].Version; got != want {
				return fmt.Errorf("%s holds version %d of %s, not %d: %w", n.self.VM, got, name, want, dandeliongap.ErrNotFound)
			}
		}
	}
	s := up[0].state
	if len(s.list.Members) != len(up) {
		return fmt.Errorf("%d members are listed and %d run: %w", len(s.list.Members), len(up), dandeliongap.ErrNotFound)
	}
	for _, row := range s.table.Rows {
		if n := c.byID[row.Owner]; n == nil || n.down {
			return fmt.Errorf("replica %s has no running owner: %w", row.Replica, dandeliongap.ErrNotFound)
		}
	}
	return nil
}

// measureOutages measures the crash of one VM, the loss of a zone and its return.
func (m *controlRun) measureOutages() error {
	c := m.c
	c.run(settle, nil)
	up := c.running()
	c.crash(up[:1])
	m.outage("a crashed VM", c.observe(fenceTime))
	c.restart()
	c.run(returnTime, nil)
	var zone []*node
	for _, n := range c.running() {
		if n.self.Zone == zones[1] {
			zone = append(zone, n)
		}
	}
	c.crash(zone)
	m.outage("a lost zone", c.observe(fenceTime))
	c.restart()
	m.outage("a zone's return", c.observe(returnTime))
	return nil
}

// outage reports what was counted. A fleet that has not settled at the end shows
// the time until its last change.
func (m *controlRun) outage(what string, o outage) {
	m.add(what+": last object adopted after", "s", o.took.Seconds())
	unsettled := 0.0
	err := m.c.check()
	if err != nil {
		unsettled = 1
	}
	if row := m.add(what+": not settled at the end", "runs", unsettled); err != nil {
		row.Note = strings.TrimPrefix(fmt.Sprintf("%s; %d members: %s", row.Note, m.n, err), "; ")
	}
	over := func(k call) float64 {
		return float64(o.delta.calls[k]) - float64(m.idle.calls[k])*o.delta.seconds()/m.idle.seconds()
	}
	m.add(what+": lease reads", "count in all", float64(o.delta.calls[callReadLease]))
	m.add(what+": lease deletions", "count in all", float64(o.delta.calls[callDeleteLease]))
	m.add(what+": state writes", "count in all", over(callWriteState))
	m.add(what+": list reads", "count in all", over(callList))
	m.add(what+": platform calls in the busiest second", "count in all", float64(o.peak))
	m.add(what+": platform writes in the busiest second", "count in all", float64(o.writes))
	m.add(what+": bytes sent", "B/s per VM", float64(o.delta.traffic.sent)/o.delta.seconds()/float64(m.n))
}
