package dgpresence

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// ProcessID identifies a process of a VM in a few bytes. It is a hash of the VM's name and
// of Heartbeat.Boot, so that a VM can work it out from the registration of another one.
type ProcessID [3]byte

// ProcessIDOf returns the identifier of a process.
func ProcessIDOf(vm dandeliongap.VMName, boot int64) (id ProcessID) {
	h := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(vm), uint64(boot)))
	copy(id[:], binary.LittleEndian.AppendUint64(nil, h))
	return id
}

// Status holds the flags of a heartbeat in its lower statusFlagBits bits and a measure of
// Attempts in the others.
type Status uint8

const (
	statusServing Status = 1 << iota
	statusStandby
	statusStoreFailing

	statusFlagBits = iota
	// attemptSteps is the number of steps of the measure of Attempts in which it doubles.
	attemptSteps = 2
	// maxAttemptStep is the largest step, 32,768 attempts a second.
	maxAttemptStep = 1<<(8-statusFlagBits) - 1
)

func statusOf(h Heartbeat) Status {
	step := 0
	if h.Attempts > 0 {
		step = min(maxAttemptStep, 1+int(math.Round(attemptSteps*math.Log2(float64(h.Attempts)))))
	}
	s := Status(step << statusFlagBits)
	if h.Serving {
		s |= statusServing
	}
	if h.Standby {
		s |= statusStandby
	}
	if h.StoreFailing {
		s |= statusStoreFailing
	}
	return s
}

// apply sets the fields of a heartbeat that the status stands for.
func (s Status) apply(h *Heartbeat) {
	h.Serving, h.Standby, h.StoreFailing = s&statusServing != 0, s&statusStandby != 0, s&statusStoreFailing != 0
	h.Attempts = 0
	if step := int(s >> statusFlagBits); step > 0 {
		h.Attempts = uint32(math.Round(math.Exp2(float64(step-1) / attemptSteps)))
	}
}

// Brief is the short form of a heartbeat that a VM passes on.
type Brief struct {
	Process ProcessID
	Count   uint8 // the lowest bits of Heartbeat.Count
	Status  Status
}

// MessageKind is the purpose of a message between VMs.
type MessageKind uint8

// Kinds of messages.
const (
	Beat         MessageKind = iota // heartbeats of a hub to another hub
	Question                        // from a VM that stands by to a hub (V5)
	Answer                          // to a Question: the hubs that are present
	Confirmation                    // to a Question: the digest is right
	NameRequest                     // asks for the long form of the heartbeats of Processes (V6)
	messageKinds                    // number of kinds
)

// Valid reports whether the kind is known.
func (k MessageKind) Valid() bool { return k < messageKinds }

// Message is what VMs send to each other, apart from heartbeats in their long form.
type Message struct {
	Kind    MessageKind
	Process ProcessID // of the sender
	Status  Status    // of the sender
	Count   uint64    // of the sender
	// Seen is that of the sender's heartbeat; only in a Beat and an Answer.
	Seen map[string]dandeliongap.Version
	// Hubs holds the heartbeats of the other hubs that are present: in an Answer of all,
	// in a Beat of those of which newer ones arrived since the Beat before.
	Hubs []Brief
	// Digest identifies what the sender of a Question knows (V5).
	Digest uint32
	// Processes are those that a NameRequest asks about.
	Processes []ProcessID
}

// WithoutEras returns the message with bare revisions (V7).
func (m Message) WithoutEras() Message {
	m.Seen = revisions(m.Seen)
	return m
}

// VMOf returns the VM of a process, or false if the process is unknown.
func (v *View) VMOf(id ProcessID) (dandeliongap.VMName, bool) {
	p, ok := v.processes[id]
	return p.vm, ok
}

// process is the long form of a ProcessID.
type process struct {
	vm   dandeliongap.VMName
	boot int64
}

// SetRegistered sets the registered processes, by VM, so that their identifiers are known
// (V6).
func (v *View) SetRegistered(boots map[dandeliongap.VMName]int64) {
	v.registered = maps.Clone(boots)
	v.unregistered = 0
	v.processes = map[ProcessID]process{v.id: {v.self.VM, v.self.Boot}}
	for vm, boot := range boots {
		v.processes[ProcessIDOf(vm, boot)] = process{vm, boot}
	}
	for vm, p := range v.peers {
		v.processes[p.id] = process{vm, p.heartbeat.Boot}
		if !v.isRegistered(vm) {
			v.unregistered++
		}
	}
}

// message returns a message with the fields that are common to all kinds.
func (v *View) message(kind MessageKind) Message {
	return Message{Kind: kind, Process: v.id, Status: statusOf(v.self), Count: v.self.Count}
}

// Beat returns the message that a hub sends to other hubs after Tick. It has the
// heartbeats that are newer than those of the Beat before.
func (v *View) Beat(now dandeliongap.Instant) Message {
	return v.hubsMessage(Beat, now)
}

func (v *View) hubsMessage(kind MessageKind, now dandeliongap.Instant) Message {
	m := v.message(kind)
	m.Seen = v.self.Seen
	for _, p := range v.hubs(now) {
		if kind == Beat && p.passedOn == p.heartbeat.Count {
			continue
		}
		if kind == Beat {
			p.passedOn = p.heartbeat.Count
		}
		m.Hubs = append(m.Hubs, Brief{p.id, uint8(p.heartbeat.Count), statusOf(p.heartbeat)})
	}
	return m
}

// Question returns the message by which a VM that stands by asks a hub (V5).
func (v *View) Question(now dandeliongap.Instant) Message {
	m := v.message(Question)
	m.Digest = v.Digest(now)
	return m
}

// Receive takes in a message. It returns the messages and the heartbeats in their long form
// that the VM sends back.
func (v *View) Receive(now dandeliongap.Instant, m Message) (replies []Message, long []Heartbeat) {
	if m.Kind == NameRequest {
		return nil, v.longForm(m.Processes)
	}
	heartbeats, unknown := v.expand(now, m)
	switch {
	case m.Kind == Answer && v.self.Standby:
		v.MergeReply(now, heartbeats)
	default:
		v.Merge(now, heartbeats)
	}
	switch {
	case m.Kind == Confirmation && v.self.Standby:
		v.Confirm(now)
	case m.Kind == Question && !v.self.Standby && v.self.Count > 0:
		// A VM that is no hub, or has not sent its first heartbeat, knows too little.
		if m.Digest == v.Digest(now) {
			replies = append(replies, v.message(Confirmation))
		} else {
			replies = append(replies, v.hubsMessage(Answer, now))
		}
	}
	if len(unknown) > 0 {
		request := v.message(NameRequest)
		request.Processes = unknown
		replies = append(replies, request)
	}
	return replies, long
}

// expand returns the heartbeats of a message, that of the sender first, in their long form.
// It also returns those of the unknown processes that the VM has not asked about since its
// last tick (V6).
func (v *View) expand(now dandeliongap.Instant, m Message) (out []Heartbeat, unknown []ProcessID) {
	lookUp := func(id ProcessID) (process, bool) {
		proc, known := v.processes[id]
		if !known && !v.requested[id] {
			if v.requested == nil {
				v.requested = make(map[ProcessID]bool)
			}
			v.requested[id] = true
			unknown = append(unknown, id)
		}
		return proc, known
	}
	if proc, known := lookUp(m.Process); known {
		h := Heartbeat{VM: proc.vm, Boot: proc.boot, Count: m.Count, Seen: m.Seen}
		m.Status.apply(&h)
		out = append(out, h)
	}
	for _, b := range m.Hubs {
		if proc, known := lookUp(b.Process); known {
			h := Heartbeat{VM: proc.vm, Boot: proc.boot, Count: v.fullCount(now, proc, b.Count)}
			b.Status.apply(&h)
			out = append(out, h)
		}
	}
	return out, unknown
}

// fullCount returns the count whose lowest bits are low and that is nearest to the count of
// the newest heartbeat of a process. After countedFor without a heartbeat it returns the
// next such count, because the process may have counted further than the bits tell.
func (v *View) fullCount(now dandeliongap.Instant, proc process, low uint8) uint64 {
	p := v.peers[proc.vm]
	if p == nil || p.heartbeat.Boot != proc.boot {
		return uint64(low)
	}
	ahead := int64(int8(low - uint8(p.heartbeat.Count)))
	if ahead < 0 && now.Sub(p.updatedAt) > countedFor {
		ahead += math.MaxUint8 + 1
	}
	return uint64(max(0, int64(p.heartbeat.Count)+ahead))
}

// longForm returns the newest heartbeats of the given processes, as far as they are known.
func (v *View) longForm(ids []ProcessID) (out []Heartbeat) {
	for _, id := range ids {
		proc, known := v.processes[id]
		if !known {
			continue
		}
		h := v.self
		if proc.vm != v.self.VM {
			p := v.peers[proc.vm]
			if p == nil || p.heartbeat.Boot != proc.boot {
				continue
			}
			h = p.heartbeat
		}
		out = append(out, h)
	}
	return out
}

// Digest identifies the hubs that are present, their processes, which of them accept
// callers, and the newest changes that are known. It includes this VM if it is a hub.
func (v *View) Digest(now dandeliongap.Instant) uint32 {
	var parts [][]byte
	add := func(id ProcessID, h Heartbeat) {
		parts = append(parts, append(id[:], byte(statusOf(h)&statusServing)))
	}
	for _, p := range v.hubs(now) {
		add(p.id, p.heartbeat)
	}
	if !v.self.Standby {
		add(v.id, v.self)
	}
	for kind, version := range v.newest {
		parts = append(parts, binary.LittleEndian.AppendUint64([]byte(kind), uint64(version)))
	}
	slices.SortFunc(parts, slices.Compare)
	return uint32(xxhash.Sum64(slices.Concat(parts...)))
}
