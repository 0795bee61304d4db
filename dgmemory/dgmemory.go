// Package dgmemory decides how the memory and the descriptors of a VM are divided, and which
// connections end when they run short.
//
// Rules:
//
//	M1  A quarter of the memory is for what connections of callers hold, an eighth for the
//	    bodies of responses of backend servers. The runtime collects garbage so that it
//	    uses at most 0.6 of the memory; the rest is for the program itself and for what
//	    the kernel holds in the sockets. Without a known memory nothing is limited.
//	M2  A connection holds a fixed cost from its accept to its close: its buffers, its
//	    goroutine, and a small request with its response. A request holds more for each
//	    byte and each line of its head beyond that, as parsing a line takes far more memory
//	    than its bytes, and for the buffers of its body, of answers being merged and of
//	    its response.
//	M3  A request that holds much may not take the last quarter of the account, which is
//	    kept for new connections and small requests.
//	M4  If there is not enough left, connections end in this order: those whose request
//	    is being received and holds much, the one that holds most for what it has
//	    progressed first; then those that are idle, receive a small request, or have been
//	    closed for 250 ms but by their caller, the one that has not changed for longest
//	    first; then those that deliver a last response. If it is still not enough, what asks for memory is
//	    refused: a request that holds much ends only others that come before itself.
//	M5  A request that runs is not ended, and its response is counted even if the account
//	    is exceeded, as it may already have run.
//	M6  A head has to arrive within the header timeout, whatever number of bytes arrive. A
//	    body extends the time by what it has received at the lowest rate allowed.
//	M7  If all connections that may be open are open, a new one ends others as in M4, without
//	    those that hold much: what is short is not memory. If all run a request, the new one
//	    is closed.
package dgmemory

import (
	"cmp"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	accountShare  = 1.0 / 4
	responseShare = 1.0 / 8
	answerShare   = 1.0 / 16
	runtimeShare  = 0.6
	// reserveShare is the share of the account that requests that hold much may not take (M3).
	reserveShare = 0.25
	// otherShare is the share of the descriptors that connections to one of the other
	// listeners may take, and minOther their least number.
	otherShare = 1.0 / 32
	minOther   = 8
	// defaultOther is the same number if the descriptors are not known.
	defaultOther = 1024
	// otherListeners is the number of the other listeners.
	otherListeners = 4
	// freeShare is the least share of the limit that is made free at a time, so that
	// looking for connections to end stays rare.
	freeShare = 1.0 / 64

	// ConnBytes is the fixed cost of a connection (M2), the kernel's part included.
	ConnBytes = 44 << 10
	// lineBytes is what a line of a head takes, once parsed, beyond its bytes.
	lineBytes = 160
	// copies is how often the bytes of a head are held: as received, parsed, and as sent to
	// backend servers.
	copies = 3
	// deliveryTime is several round trips between availability zones, in which a caller
	// receives a last response (M4).
	deliveryTime = 250 * time.Millisecond
	// smallBytes is what the fixed cost includes for a request.
	smallBytes = 8 << 10
	// fileDescriptors is the number of descriptors that the platform reserves for files, and
	// maxFileShare the share of a small number that they take at most.
	fileDescriptors = 200
	maxFileShare    = 0.5
	// minReceiveRate is the lowest rate at which a body may arrive, in bytes per second (M6).
	minReceiveRate = 16 << 10
)

// Limits are the limits of a VM. Values of 0 are not known.
type Limits struct {
	MemoryBytes int64
	Sockets     int64 // descriptors for sockets
}

// SocketsOf returns the number of sockets that a VM may have, given its descriptors, or 0 if
// these are not known.
func SocketsOf(descriptors int64) int64 {
	return descriptors - min(fileDescriptors, int64(maxFileShare*float64(descriptors)))
}

// Plan divides the limits (M1). Values of 0 mean no limit.
type Plan struct {
	AccountBytes  int64 // what connections of callers hold
	ResponseBytes int64 // bodies of responses of backend servers
	AnswerBytes   int64 // answers with control state
	RuntimeBytes  int64 // all memory of the Go runtime
	OtherConns    int   // open connections of each listener other than that for callers
	Sockets       Sockets
}

// NewPlan returns the plan for a VM.
func NewPlan(l Limits) Plan {
	p := Plan{
		AccountBytes:  int64(accountShare * float64(l.MemoryBytes)),
		ResponseBytes: int64(responseShare * float64(l.MemoryBytes)),
		AnswerBytes:   int64(answerShare * float64(l.MemoryBytes)),
		RuntimeBytes:  int64(runtimeShare * float64(l.MemoryBytes)),
		OtherConns:    defaultOther,
	}
	if l.Sockets > 0 {
		p.OtherConns = min(defaultOther, max(minOther, int(otherShare*float64(l.Sockets))))
		own := min(ownSockets, l.Sockets/minShared)
		p.Sockets = NewSockets(max(l.Sockets/minShared, l.Sockets-otherListeners*int64(p.OtherConns)-own))
	}
	return p
}

// HeadBytes returns what the head of a request holds beyond the fixed cost (M2), given its
// bytes and lines.
func HeadBytes(length, lines int) int64 {
	return max(0, int64(copies*length)+int64(lineBytes*lines)-smallBytes)
}

// BodyBytes returns what a body holds beyond the fixed cost while its buffer is replaced by
// one of size bytes. The old buffer has at most half of that.
func BodyBytes(size int) int64 { return max(0, int64(size)+int64(size)/2-smallBytes) }

// ReceiveTime returns the time that a request may take from its first byte to its last (M6).
// bodyBytes is what has arrived of its body.
func ReceiveTime(headerTimeout time.Duration, bodyBytes int64) time.Duration {
	return headerTimeout + time.Duration(bodyBytes)*time.Second/minReceiveRate
}

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	Idle      Phase = iota // no byte of a request has arrived
	Receiving              // a part of a request has arrived
	Running                // a request runs or its response is written
	Lingering              // closed, but for what the caller has not received
)

// Holder is a connection as the account sees it.
type Holder struct {
	Phase    Phase
	Held     int64                // beyond the fixed cost
	Since    dandeliongap.Instant // begin of the phase
	Received int64                // bytes of the current request
}

// large reports whether a connection holds much.
func (h *Holder) large() bool { return h.Held > 0 }

// weight compares connections that hold much: what one holds for each byte that it has
// received per second.
func (h *Holder) weight(now dandeliongap.Instant) float64 {
	return float64(h.Held) * (1 + now.Sub(h.Since).Seconds()) / float64(1+h.Received)
}

// Account counts what connections hold. Its zero value has no limit.
type Account struct{ limit, used int64 }

// NewAccount returns an account with a limit in bytes; 0 means none.
func NewAccount(limit int64) Account { return Account{limit: limit} }

// Used returns the bytes held.
func (a *Account) Used() int64 { return a.used }

// Add counts n more bytes, also above the limit (M5). A negative n gives bytes back.
func (a *Account) Add(n int64) { a.used += n }

// Missing returns the number of bytes that must become free before a connection that then
// holds held may take n more (M3). At 0, it may take them with Add.
func (a *Account) Missing(n, held int64) int64 {
	if a.limit <= 0 {
		return 0
	}
	limit := a.limit
	if held > 0 {
		limit -= int64(reserveShare * float64(a.limit))
	}
	return max(0, a.used+n-limit)
}

// Victims returns the connections to end so that missing bytes become free (M4), or nothing
// if that is not possible. self is the index of the connection that asks, or -1 for a
// new one. selfHeld is what it will hold beyond the fixed cost.
func (a *Account) Victims(now dandeliongap.Instant, holders []Holder, self int, selfHeld, missing int64) []int {
	missing = max(missing, int64(freeShare*float64(a.limit)))
	var out []int
	free := int64(0)
	take := func(order []int, bytes func(*Holder) int64) bool {
		for _, i := range order {
			if free >= missing {
				break
			}
			out = append(out, i)
			free += bytes(&holders[i])
		}
		return free >= missing
	}
	heavy := heaviest(now, holders)
	if selfHeld > 0 {
		me := Holder{Held: selfHeld}
		if self >= 0 {
			me.Since, me.Received = holders[self].Since, holders[self].Received
		}
		heavy = slices.DeleteFunc(heavy, func(i int) bool { return i == self || holders[i].weight(now) <= me.weight(now) })
		if !take(heavy, (*Holder).held) && free == 0 {
			return nil
		}
		return out
	}
	if take(heavy, (*Holder).held) {
		return out
	}
	take(slices.DeleteFunc(longest(now, holders), func(i int) bool { return i == self }), func(*Holder) int64 { return ConnBytes })
	return out
}

func (h *Holder) held() int64 { return h.Held }

// Oldest returns n connections to end so that others may open (M7), or fewer if the others
// run a request or hold much.
func Oldest(now dandeliongap.Instant, holders []Holder, n int64) []int {
	order := longest(now, holders)
	return order[:min(int64(len(order)), n)]
}

// heaviest returns the connections whose request is being received and holds much, in the
// order of M4.
func heaviest(now dandeliongap.Instant, holders []Holder) []int {
	var out []int
	for i := range holders {
		if holders[i].Phase == Receiving && holders[i].large() {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(i, j int) int { return cmp.Compare(holders[j].weight(now), holders[i].weight(now)) })
	return out
}

// longest returns the connections that are idle, receive a small request or linger, in the
// order of M4.
func longest(now dandeliongap.Instant, holders []Holder) []int {
	var out []int
	for i := range holders {
		if h := &holders[i]; h.Phase != Running && (h.Phase != Receiving || !h.large()) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(i, j int) int {
		x, y := &holders[i], &holders[j]
		if late := x.delivers(now); late != y.delivers(now) {
			if late {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.Since, y.Since)
	})
	return out
}

// delivers reports whether the caller may still be receiving a last response.
func (h *Holder) delivers(now dandeliongap.Instant) bool {
	return h.Phase == Lingering && now.Sub(h.Since) < deliveryTime
}
