// Package dgpresence is a gossip failure detector: it decides which VMs of the tier
// are alive. At least once per HeartbeatInterval, a hub (dgroster) increments its counter
// and sends a few other hubs its own heartbeat and the newest ones of all hubs that are
// present. A VM whose counter stops increasing is taken as lost. The other VMs, which
// stand by, send only their own heartbeat to one hub at a time, which replies with those
// of the hubs. What a VM sends so does not grow with the tier. Clocks of different VMs are
// never compared.
//
// Rules:
//
//	V1  A VM is present if its counter has increased within LostAfter, whichever VM
//	    passed the heartbeat on. The time is longer in a large tier, where a heartbeat
//	    takes several rounds to reach all VMs, and on a VM that stands by.
//	V2  Of two processes with the same VM name, the one that started later replaces
//	    the other. Heartbeats of the earlier one are ignored.
//	V3  After a pause of its own process, a VM extends the allowed age of all
//	    heartbeats by that pause.
//	V4  If there are many hubs, a heartbeat is sent to a few of them, most in the
//	    sender's availability zone. The rest are in other zones and pass it on there.
//	V5  A VM that stands by asks the hubs of its zone in turn, one every PollInterval;
//	    those of other zones if there are none in its own. The hub replies with the
//	    hubs that are present. If the VM knows just these, which it tells by a digest, the
//	    hub only confirms them. A hub that is missing from a reply is taken as lost, unless
//	    the reply has less than half of the hubs that the VM knows: then the hub that
//	    replied may have just started.
//	V6  Heartbeats travel in a short form, which names a process by a hash. A VM finds
//	    its name in the registrations. If it is missing there, it asks the sender,
//	    which replies with the long form.
//	V7  Versions in heartbeats carry the era of the store (dgwatch W6), so that the newest
//	    one that any VM has reported is right after a restore, which makes revisions go
//	    back. VMs of earlier versions, which do not say in their registration that they
//	    know eras, get bare revisions. Theirs count as older than any version with an era.
//	V8  Datagrams carry no proof of their sender. Of VMs that are not registered, a View
//	    holds at most MaxUnregistered; heartbeats of further ones are ignored.
package dgpresence

import (
	"maps"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// LostAfter is the age of the newest heartbeat above which a VM counts as lost in a
// small tier: four heartbeat intervals plus the time that relaying a datagram may
// take.
const LostAfter = 1200 * time.Millisecond

const (
	// Each time the size of the tier grows by the factor lostAfterGrowth, the allowed
	// age of a heartbeat increases by lostAfterStep heartbeat intervals. Each heartbeat
	// is sent to three VMs, and about one VM in a thousand receives it two rounds later
	// than the others.
	lostAfterGrowth = 4
	lostAfterStep   = 2
	// standbyLostAfter is the age of the newest heartbeat above which a VM that stands by
	// counts as lost. A hub gets its heartbeat only when it is that hub's turn (V5).
	standbyLostAfter = 12 * time.Second
	// countedFor is the age of the newest heartbeat up to which a VM counts towards
	// the size of the tier.
	countedFor = 10 * time.Second
	// removeAfter is the age of the newest heartbeat above which a VM is removed from
	// the View. VMs are continually replaced by others with new names, so the memory in
	// use would otherwise grow without bound.
	removeAfter = 10 * time.Minute
)

// MaxUnregistered is the number of VMs without a registration that a View holds (V8). It is more
// than the VMs of a tier, as a VM may hear from all of them before it reads the registrations.
const MaxUnregistered = 1024

// HeartbeatInterval is the interval of the regular heartbeats of a hub.
const HeartbeatInterval = 250 * time.Millisecond

// PollInterval is the interval at which a VM that stands by asks a hub (V5).
const PollInterval = 2 * HeartbeatInterval

// Heartbeat is the state that one VM reports about itself, in its long form.
type Heartbeat struct {
	VM      dandeliongap.VMName
	Boot    int64  // start of the process in Unix nanoseconds
	Count   uint64 // increases with every heartbeat of the process
	Serving bool   // accepts new callers
	// Standby reports that the VM is not a hub.
	Standby bool `json:",omitempty"`
	// StoreFailing reports that the VM's calls to the store fail.
	StoreFailing bool `json:",omitempty"`
	// Attempts is the number of attempts per second that the VM starts at replicas. The
	// short form of a heartbeat has it with a precision of 20%.
	Attempts uint32 `json:",omitempty"`
	// Seen is the version of the newest change that the VM uses, for each kind of
	// control state. It is nil if only others passed the heartbeat on.
	Seen map[string]dandeliongap.Version `json:",omitempty"`
}

// WithoutEras returns the heartbeats with bare revisions (V7).
func WithoutEras(heartbeats []Heartbeat) []Heartbeat {
	out := slices.Clone(heartbeats)
	for i := range out {
		out[i].Seen = revisions(out[i].Seen)
	}
	return out
}

// revisions returns the versions without their eras.
func revisions(seen map[string]dandeliongap.Version) map[string]dandeliongap.Version {
	if seen == nil {
		return nil
	}
	out := make(map[string]dandeliongap.Version, len(seen))
	for kind, version := range seen {
		out[kind] = dandeliongap.Version(version.Revision())
	}
	return out
}

type peer struct {
	id        ProcessID // of heartbeat
	heartbeat Heartbeat
	passedOn  uint64               // Count of the heartbeat that was last passed on in a Beat
	updatedAt dandeliongap.Instant // when the newest heartbeat arrived
}

// View holds the heartbeats that one VM has received from the others. It is not safe
// for concurrent use.
type View struct {
	self      Heartbeat
	id        ProcessID // of self
	peers     map[dandeliongap.VMName]*peer
	lastTick  dandeliongap.Instant
	tierSize  int                             // number of hubs, this VM included
	newest    map[string]dandeliongap.Version // newest change that any VM has reported, by kind of control state
	processes map[ProcessID]process           // of registered VMs and of peers
	// registered has the process of each registered VM, and unregistered is the number of
	// peers that are not in it.
	registered   map[dandeliongap.VMName]int64
	unregistered int
	requested    map[ProcessID]bool // unknown processes that the VM has asked about since the last tick
}

// New returns the empty view of a VM. boot is the value for Heartbeat.Boot.
func New(vm dandeliongap.VMName, boot int64) *View {
	v := &View{
		self: Heartbeat{VM: vm, Boot: boot}, id: ProcessIDOf(vm, boot),
		peers: make(map[dandeliongap.VMName]*peer), newest: make(map[string]dandeliongap.Version),
	}
	v.SetRegistered(nil)
	return v
}

// LocalStatus is the part of the own heartbeat that the caller provides. The fields
// are those of Heartbeat.
type LocalStatus struct {
	Serving      bool
	Standby      bool
	StoreFailing bool
	Attempts     uint32
	Seen         map[string]dandeliongap.Version
}

// Tick increments the own counter and returns the heartbeats of the hubs in their long
// form, for VMs that do not read the short form: the own one first, then the newest ones
// of the other hubs that are present. It must be called at
// least once per HeartbeatInterval. A gap of more than two intervals counts as a pause
// of this process (V3).
func (v *View) Tick(now dandeliongap.Instant, status LocalStatus) []Heartbeat {
	if pause := now.Sub(v.lastTick) - HeartbeatInterval; v.lastTick > 0 && pause > HeartbeatInterval {
		for _, p := range v.peers {
			p.updatedAt = p.updatedAt.Add(pause)
		}
	}
	v.lastTick = now
	v.tierSize = 1
	for vm, p := range v.peers {
		switch age := now.Sub(p.updatedAt); {
		case age <= countedFor && !p.heartbeat.Standby:
			v.tierSize++
		case age > removeAfter:
			v.remove(vm, p)
		}
	}
	v.self.Count++
	v.self.Serving, v.self.StoreFailing, v.self.Attempts = status.Serving, status.StoreFailing, status.Attempts
	v.self.Standby = status.Standby
	v.self.Seen = maps.Clone(status.Seen)
	v.recordSeen(v.self)
	v.requested = nil
	return append([]Heartbeat{v.self}, v.Hubs(now)...)
}

// Newest returns the version of the newest change of a kind of control state that any VM
// has reported, this one included.
func (v *View) Newest(kind string) dandeliongap.Version { return v.newest[kind] }

func (v *View) recordSeen(h Heartbeat) {
	for kind, version := range h.Seen {
		v.newest[kind] = max(v.newest[kind], version)
	}
}

// Hubs returns the newest heartbeats of the other hubs that are present.
func (v *View) Hubs(now dandeliongap.Instant) []Heartbeat {
	var out []Heartbeat
	for _, p := range v.hubs(now) {
		out = append(out, p.heartbeat)
	}
	return out
}

// hubs returns the other hubs that are present.
func (v *View) hubs(now dandeliongap.Instant) (out []*peer) {
	for _, p := range v.peers {
		if !p.heartbeat.Standby && now.Sub(p.updatedAt) <= v.lostAfter(p) {
			out = append(out, p)
		}
	}
	return out
}

// Merge adds received heartbeats to the view. It ignores those of this VM, those
// without a VM name and those that are not newer than the heartbeat in the view.
func (v *View) Merge(now dandeliongap.Instant, heartbeats []Heartbeat) {
	for _, h := range heartbeats {
		if h.VM == v.self.VM || h.VM == "" {
			continue
		}
		p := v.peers[h.VM]
		if p == nil {
			if !v.isRegistered(h.VM) {
				if v.unregistered >= MaxUnregistered {
					continue
				}
				v.unregistered++
			}
			p = &peer{}
			v.peers[h.VM] = p
		}
		v.recordSeen(h)
		if h.Boot < p.heartbeat.Boot || h.Boot == p.heartbeat.Boot && h.Count <= p.heartbeat.Count {
			continue
		}
		if h.Boot != p.heartbeat.Boot || p.id == (ProcessID{}) {
			v.forgetProcess(p)
			p.id = ProcessIDOf(h.VM, h.Boot)
			v.processes[p.id] = process{h.VM, h.Boot}
		} else if h.Seen == nil {
			h.Seen = p.heartbeat.Seen
		}
		p.heartbeat, p.updatedAt = h, now
	}
}

func (v *View) isRegistered(vm dandeliongap.VMName) bool {
	_, ok := v.registered[vm]
	return ok
}

// remove removes a peer.
func (v *View) remove(vm dandeliongap.VMName, p *peer) {
	v.forgetProcess(p)
	delete(v.peers, vm)
	if !v.isRegistered(vm) {
		v.unregistered--
	}
}

// forgetProcess removes the process of a peer, unless it is registered.
func (v *View) forgetProcess(p *peer) {
	if boot, ok := v.registered[p.heartbeat.VM]; !ok || boot != p.heartbeat.Boot {
		delete(v.processes, p.id)
	}
}

// lostAfter returns the age of the newest heartbeat above which a VM counts as lost
// (V1).
func (v *View) lostAfter(p *peer) time.Duration {
	if p.heartbeat.Standby {
		return standbyLostAfter
	}
	age := LostAfter
	if v.self.Standby {
		age += PollInterval
	}
	for n := smallTier + 1; n < v.tierSize; n *= lostAfterGrowth {
		age += lostAfterStep * HeartbeatInterval
	}
	return age
}

// Confirm records that a hub has confirmed the hubs that are present (V5).
func (v *View) Confirm(now dandeliongap.Instant) {
	for _, p := range v.hubs(now) {
		p.updatedAt = now
	}
}

// MergeReply adds the heartbeats of an Answer, which has all hubs that are present (V5).
func (v *View) MergeReply(now dandeliongap.Instant, heartbeats []Heartbeat) {
	known := v.Hubs(now)
	v.Merge(now, heartbeats)
	if 2*len(heartbeats) < len(known) {
		return
	}
	listed := make(map[dandeliongap.VMName]bool, len(heartbeats))
	for _, h := range heartbeats {
		listed[h.VM] = true
		if p := v.peers[h.VM]; p != nil && !h.Standby && h.Boot == p.heartbeat.Boot {
			p.updatedAt = now // the hub vouches for it
		}
	}
	for _, h := range known {
		if p := v.peers[h.VM]; !listed[h.VM] {
			p.updatedAt = now.Add(-v.lostAfter(p) - 1)
		}
	}
}

// Present reports whether another VM is alive (V1), and whether it accepts new
// callers.
func (v *View) Present(now dandeliongap.Instant, vm dandeliongap.VMName) (alive, serving bool) {
	p := v.peers[vm]
	if p == nil || now.Sub(p.updatedAt) > v.lostAfter(p) {
		return false, false
	}
	return true, p.heartbeat.Serving
}

// Age returns the age of the newest heartbeat of another VM, and false if there is
// none.
func (v *View) Age(now dandeliongap.Instant, vm dandeliongap.VMName) (time.Duration, bool) {
	p := v.peers[vm]
	if p == nil {
		return 0, false
	}
	return now.Sub(p.updatedAt), true
}
