// Package dgpresence decides which VMs are alive. Each VM counts a beat up and
// sends its own beat and those it knows to others; a VM whose beat stops rising
// is taken as lost. No clock of another VM is compared with the own one.
//
// Rules:
//
//	V1  A VM is present while its beat rose within LostAfter, as seen by any path;
//	    longer in a large tier, where beats take some rounds to reach all.
//	V2  A higher boot replaces a lower one of the same name; a lower one is ignored.
//	V3  A process that was paused itself adds its pause to the age that it allows.
//	V4  In a large tier a beat goes to few VMs, most of them in the own zone. Every
//	    zone hears of the others through those that are elsewhere.
package dgpresence

import (
	"maps"
	"time"

	"dandeliongap.example/dandeliongap"
)

// LostAfter is the age of the last beat at which a VM counts as lost in a small
// tier: four beats and the time that a datagram may be relayed.
const LostAfter = 1200 * time.Millisecond

const (
	// relayGrowth is the factor of VMs for which LostAfter grows by relayBeats: each
	// beat goes to three VMs, and one VM in some thousand hears two rounds later than
	// the others.
	relayGrowth = 4
	relayBeats  = 2
	// knownFor is the age of the last beat up to which a VM counts for the size.
	knownFor = 10 * time.Second
	// forgetAfter is the same up to which it is kept: VMs are replaced by others with
	// new names all the time.
	forgetAfter = 10 * time.Minute
)

// HeartbeatInterval is the time between two beats.
const HeartbeatInterval = 250 * time.Millisecond

// Heartbeat is what one VM says of itself, in the form in which it is sent.
type Heartbeat struct {
	VM      dandeliongap.VMName
	Boot    int64 // Unix nanoseconds of the start of the process
	Count   uint64
	Serving bool // accepts new callers
	// StoreFailing: its calls to the store fail.
	StoreFailing bool `json:",omitempty"`
	// Seen has the newest change of each kind of control state that is in force.
	Seen map[string]dandeliongap.Version `json:",omitempty"`
}

type seen struct {
	beat  Heartbeat
	heard dandeliongap.Instant
}

// View is what one VM knows of the others. It is not safe for concurrent use.
type View struct {
	self  Heartbeat
	peers map[dandeliongap.VMName]*seen
	last  dandeliongap.Instant
	size  int // VMs of the tier, this one included
}

// New returns the view of a VM that starts.
func New(vm dandeliongap.VMName, boot int64) *View {
	return &View{self: Heartbeat{VM: vm, Boot: boot}, peers: make(map[dandeliongap.VMName]*seen)}
}

// LocalStatus is what a VM says of itself with a beat.
type LocalStatus struct {
	Serving      bool
	StoreFailing bool
	Seen         map[string]dandeliongap.Version
}

// Tick counts the own beat up and returns what to send: the own beat first, then
// those of the VMs that are present.
func (v *View) Tick(now dandeliongap.Instant, own LocalStatus) []Heartbeat {
	if pause := now.Sub(v.last) - HeartbeatInterval; v.last > 0 && pause > HeartbeatInterval {
		for _, p := range v.peers {
			p.heard = p.heard.Add(pause)
		}
	}
	v.last = now
	v.size = 1
	for vm, p := range v.peers {
		switch age := now.Sub(p.heard); {
		case age <= knownFor:
			v.size++
		case age > forgetAfter:
			delete(v.peers, vm)
		}
	}
	v.self.Count++
	v.self.Serving, v.self.StoreFailing = own.Serving, own.StoreFailing
	v.self.Seen = maps.Clone(own.Seen)
	return append([]Heartbeat{v.self}, v.PeerHeartbeats(now)...)
}

// PeerHeartbeats returns the last beats of the other VMs that are present.
func (v *View) PeerHeartbeats(now dandeliongap.Instant) []Heartbeat {
	var out []Heartbeat
	for _, p := range v.peers {
		if now.Sub(p.heard) <= v.lostAfter() {
			out = append(out, p.beat)
		}
	}
	return out
}

// Merge takes in the beats of a message.
func (v *View) Merge(now dandeliongap.Instant, beats []Heartbeat) {
	for _, b := range beats {
		if b.VM == v.self.VM || b.VM == "" {
			continue
		}
		p := v.peers[b.VM]
		if p == nil {
			p = &seen{}
			v.peers[b.VM] = p
		}
		if b.Boot < p.beat.Boot || b.Boot == p.beat.Boot && b.Count <= p.beat.Count {
			continue
		}
		p.beat, p.heard = b, now
	}
}

// lostAfter returns the age at which a VM counts as lost (V1).
func (v *View) lostAfter() time.Duration {
	age := LostAfter
	for n := smallTier + 1; n < v.size; n *= relayGrowth {
		age += relayBeats * HeartbeatInterval
	}
	return age
}

// Present tells whether a VM other than this one is alive (V1), and whether it
// accepts new callers.
func (v *View) Present(now dandeliongap.Instant, vm dandeliongap.VMName) (alive, serving bool) {
	p := v.peers[vm]
	if p == nil || now.Sub(p.heard) > v.lostAfter() {
		return false, false
	}
	return true, p.beat.Serving
}

// Age returns the time since a VM was heard of; false if it never was.
func (v *View) Age(now dandeliongap.Instant, vm dandeliongap.VMName) (time.Duration, bool) {
	p := v.peers[vm]
	if p == nil {
		return 0, false
	}
	return now.Sub(p.heard), true
}
