// Package dgrestore decides what stays in force when the platform's store was restored from
// an older copy: the configuration, the zones that are out of service and the registrations of
// VMs. A restore begins a new era of the store (dandeliongap.Era). What was written since the
// copy is missing at first, and its writers write it again within dgcatalog.ReregistrationGrace.
// Package dgcatalog has the rules for backend servers, dgwatch those for passing state on.
//
// Rules:
//
//	E1  In the era of the configuration in force, a configuration with a higher version
//	    replaces it.
//	E2  A configuration of another era replaces it only if its number is higher. One with
//	    the same number is taken as the same one, written again or found in the copy; if
//	    its era is the later one, E1 applies from then on.
//	E3  A VM passes on the configuration in force in place of one that E2 refuses, with the
//	    version under which it was read.
//	E4  A VM that starts while the store has eras asks a hub that serves for the
//	    configuration in force, because the store may still have the copy. E2 decides about
//	    it.
//	E5  A zone out of service that is missing from the first list of an era stays out until
//	    dgcatalog.ReregistrationGrace after that list. A removal that is read in the new
//	    era, and each zone in the list, take effect at once.
//	E6  A VM whose registration is missing from the first list of an era stays registered
//	    until MemberGrace after that list, unless it is found lost before. A registration
//	    of an earlier process of the VM counts as missing.
//	E7  A VM whose registration is missing or of another process writes it again. A write
//	    that met a conflict is repeated with the version that the store has then.
package dgrestore

import (
	"errors"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcatalog"
)

// MemberGrace is how long a VM stays registered that is missing from a restored store:
// ReregistrationGrace, and the time that a VM takes to write its registration again after a
// call that ran into its timeout of 1.2 s and a wait of at most 1.5 s.
const MemberGrace = dgcatalog.ReregistrationGrace + 2900*time.Millisecond

// Verdict tells what happens to a configuration that was read.
type Verdict uint8

// Verdicts.
const (
	Outdated Verdict = iota // older than the one in force, or the same
	Refused                 // of a restored store, and not newer than the one in force (E2)
	Applied
)

// Config is the identity of the configuration in force. The zero value means that there is
// none.
type Config struct {
	version dandeliongap.Version // under which it was read last
	number  uint64
	known   bool
}

// Offer decides about a configuration that was read (E1, E2). If the verdict is Applied, it
// is the one in force from then on.
func (c *Config) Offer(version dandeliongap.Version, number uint64) Verdict {
	switch {
	case !c.known:
	case version.Era() == c.version.Era():
		if version <= c.version {
			return Outdated
		}
	case number == c.number && version > c.version:
		c.version = version
		return Refused
	case number <= c.number:
		return Refused
	}
	*c = Config{version: version, number: number, known: true}
	return Applied
}

// Number returns the number of the configuration in force; 0: none.
func (c *Config) Number() uint64 { return c.number }

// Zones is the set of zones that are out of service. The zero value is empty. It is not safe
// for concurrent use.
type Zones struct {
	out      map[dandeliongap.ZoneName]dandeliongap.Instant // until when it is out; 0: it is out in the store
	graceEnd dandeliongap.Instant                           // E5 applies to lists until then
}

// BeginEra records that the next list is the first of a new era (E5).
func (z *Zones) BeginEra(now dandeliongap.Instant) {
	z.graceEnd = now.Add(dgcatalog.ReregistrationGrace)
}

// Replace sets all zones from a full list.
func (z *Zones) Replace(now dandeliongap.Instant, list []dandeliongap.ZoneName) {
	out := make(map[dandeliongap.ZoneName]dandeliongap.Instant, len(list))
	if now < z.graceEnd {
		for name := range z.out {
			out[name] = z.graceEnd
		}
	}
	for _, name := range list {
		out[name] = 0
	}
	z.out = out
}

// Put records that a zone is out of service.
func (z *Zones) Put(name dandeliongap.ZoneName) {
	if z.out == nil {
		z.out = make(map[dandeliongap.ZoneName]dandeliongap.Instant)
	}
	z.out[name] = 0
}

// Remove records that a zone is in service again.
func (z *Zones) Remove(name dandeliongap.ZoneName) { delete(z.out, name) }

// Expire returns zones to service whose grace period has ended. It returns these, and when to
// call it again; 0 means never.
func (z *Zones) Expire(now dandeliongap.Instant) (returned []dandeliongap.ZoneName, next dandeliongap.Instant) {
	for name, until := range z.out {
		switch {
		case until == 0:
		case now >= until:
			delete(z.out, name)
			returned = append(returned, name)
		case next == 0 || until < next:
			next = until
		}
	}
	return returned, next
}

// Out returns the zones that are out of service.
func (z *Zones) Out() map[dandeliongap.ZoneName]bool {
	out := make(map[dandeliongap.ZoneName]bool, len(z.out))
	for name := range z.out {
		out[name] = true
	}
	return out
}

// Members tells which VMs stay registered although the store does not list them (E6). The
// zero value has none. It is not safe for concurrent use.
type Members struct {
	kept     map[dandeliongap.VMName]bool
	graceEnd dandeliongap.Instant
}

// BeginEra records that the next list is the first of a new era.
func (m *Members) BeginEra(now dandeliongap.Instant) { m.graceEnd = now.Add(MemberGrace) }

// Keeps reports whether a VM that was registered with the process known stays registered,
// given the process with which a full list has it; 0 means that the list lacks it.
func (m *Members) Keeps(now dandeliongap.Instant, vm dandeliongap.VMName, known, listed int64) bool {
	keep := now < m.graceEnd && listed < known
	if keep {
		if m.kept == nil {
			m.kept = make(map[dandeliongap.VMName]bool)
		}
		m.kept[vm] = true
	} else {
		delete(m.kept, vm)
	}
	return keep
}

// Registered records that the store has the registration of a VM, or that it was removed in
// the new era.
func (m *Members) Registered(vm dandeliongap.VMName) { delete(m.kept, vm) }

// Expire returns the VMs that do not stay registered any more: all of them after the grace
// period, and before those that are lost.
func (m *Members) Expire(now dandeliongap.Instant, lost func(dandeliongap.VMName) bool) (dropped []dandeliongap.VMName) {
	for vm := range m.kept {
		if now >= m.graceEnd || lost(vm) {
			delete(m.kept, vm)
			dropped = append(dropped, vm)
		}
	}
	return dropped
}

// NeedsRegistration reports whether the process of this VM, with the given start, has to write
// its registration (E7). registered is the one that the store has; the zero value means none.
func NeedsRegistration(registered dandeliongap.EdgeMember, boot int64) bool {
	return registered.Boot != boot
}

// RepeatsWrite reports whether a write that returned err is repeated with the version that the
// store has now (E7).
func RepeatsWrite(err error) bool {
	return errors.Is(err, dandeliongap.ErrConflict) || errors.Is(err, dandeliongap.ErrNotFound)
}
