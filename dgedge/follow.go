package dgedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwatch"
)

const (
	// waitFew is the wait of a watch on a VM that hears no other one, or whose store
	// failed a short time ago: a change that a watch missed is seen that late.
	waitFew = 3 * time.Second
	// waitEach is added for each other VM that reads: the watches of all end at about
	// this distance, and one that brings news makes the others look (F2).
	waitEach = 1500 * time.Millisecond
	// waitMost is below the 30 s that stores allow.
	waitMost = 20 * time.Second
	// lookWait is the wait of a watch that only looks whether there is a change: the
	// shortest that stores know.
	lookWait = time.Millisecond
	// waitCareful is how long after a failure of the store waits stay short.
	waitCareful = 10 * time.Second

	// callTimeout bounds calls to the store, watches beyond their wait. A slow store
	// takes 50 times its usual 4 ms.
	callTimeout = 1200 * time.Millisecond
	// retryOnce is the wait after a first failure, which may be that of one
	// connection only.
	retryOnce = 50 * time.Millisecond
	// probeEvery is the time between the calls of the one follower that looks
	// whether the store is back; refused calls count against its rate.
	probeEvery = 250 * time.Millisecond
	// probeOthers is the longest wait of the other followers for it.
	probeOthers = 1500 * time.Millisecond
	// probeRarely is the time between two calls of a VM whose calls fail while others
	// read the store: in a large tier all such VMs together call as often as the
	// readers.
	probeRarely = 4 * time.Second
	// roleEvery is the time between two looks at the own role.
	roleEvery = 500 * time.Millisecond
	// registerEvery is the time between two looks at the own registration.
	registerEvery = 200 * time.Millisecond
)

// backlogFrom is below the 500 changes that stores return at a time, and above what
// happens to the replicas of a large tier within afterChange.
const backlogFrom = 300

const (
	// settleFor is the time after the store's return in which lapsed registrations
	// come back: two seconds by its documentation, and the way of the last ones.
	settleFor = 3 * time.Second
	// settlingWait replaces longer waits of afterChange in that time: about a tenth of
	// the time in which all registrations come back.
	settlingWait = 100 * time.Millisecond
)

// afterChange is how long a follower waits after a change, so that the next answer
// brings several at once. Calls to the store are limited and priced.
var afterChange = map[string]time.Duration{
	dandeliongap.KindRoutes:    60 * time.Millisecond,
	dandeliongap.KindInstances: 450 * time.Millisecond,
	dandeliongap.KindZonesOut:  60 * time.Millisecond,
	dandeliongap.KindMembers:   200 * time.Millisecond,
}

// follower keeps up with one kind of objects: a list, then changes. Who reads the
// store is decided by dgwatch.
//
// Rules:
//
//	F1  Changes that the store no longer has are made up for by a new list.
//	F2  A VM that learns from another one that the store has something newer ends
//	    its watch and looks at once. Watches may therefore wait for long.
//	F3  While the store fails, one follower of a VM looks whether it is back, and the
//	    others wait for that one. All pull changes from other VMs meanwhile.
//	F4  The first list may be some seconds old, which costs the store less. It is in
//	    force once a look at the changes after it was answered.
type follower struct {
	c     *control
	kind  string
	since dandeliongap.Version
	hint  chan struct{} // F2
	fails int
	// historyGone: the store has dropped its history since the last list (F1).
	historyGone bool
	// confirmed: the state is no older than the start of the VM (F4).
	confirmed bool
	// from has the addresses of VMs that have newer changes.
	from atomic.Pointer[[]string]
	// failedFrom is the address from which the last pull failed; "" after one that
	// did not.
	failedFrom string
}

func (f *follower) run() {
	for f.c.ctx.Err() == nil {
		if f.since > 0 && f.confirmed && f.c.role() == dgwatch.Puller {
			f.rest(roleEvery, true)
			continue
		}
		begin := f.c.e.now()
		b := f.fetch()
		if !f.deliver(b) {
			f.pause()
			continue
		}
		if f.kind == dandeliongap.KindRoutes && !b.pulled {
			f.c.signal()
		}
		if !b.unconfirmed {
			now := f.c.e.now()
			f.c.sleep(waitAfter(f.kind, len(b.objects), now.Sub(begin), int64(now) < f.c.settling.Load()))
		}
	}
}

// waitAfter returns how long a follower waits after an answer with so many changes
// that took so long. More than backlogFrom of them are what a VM has missed, and
// the store returns them in parts: there is no wait in between. While the state
// settles after an outage, replicas that lapsed register again, and a VM that has
// started meanwhile knows no other ones: waits are short.
func waitAfter(kind string, changes int, took time.Duration, settling bool) time.Duration {
	switch {
	case changes >= backlogFrom:
		return 0
	case changes > 0 && settling:
		return min(afterChange[kind], settlingWait)
	case changes > 0:
		return afterChange[kind]
	case took < retryOnce:
		return retryOnce // the watch did not wait
	default:
		return 0
	}
}

// deliver gives a batch to the control goroutine; false if it brought no answer.
func (f *follower) deliver(b batch) bool {
	if b.cut {
		return true
	}
	if errors.Is(b.err, dandeliongap.ErrHistoryGone) {
		f.c.e.log.event("history gone").Str("Rule", "F1").Str("Kind", f.kind).Uint64("Since", uint64(f.since)).Send()
		f.since, f.fails, f.historyGone = 0, 0, true
		return false
	}
	select {
	case f.c.batches <- b:
	case <-f.c.ctx.Done():
		return false
	}
	if b.err != nil {
		f.fails++
		return false
	}
	if !b.pulled {
		f.fails = 0
	}
	f.confirmed = f.confirmed || !b.full || b.pulled
	f.historyGone = f.historyGone && !b.full
	f.since = max(f.since, b.version)
	return true
}

// pause waits after a failure (F3). A VM that starts pulls from another one
// (dgwatch W5).
func (f *follower) pause() {
	if f.since == 0 && f.fails > 0 {
		if b, err := f.pull("W5", f.c.heardFrom()); err == nil && f.deliver(b) {
			return
		}
	}
	switch {
	case f.fails <= 1:
		f.c.sleep(retryOnce)
	case f.c.role() == dgwatch.Retrier:
		f.rest(time.Duration((0.75+rand.Float64()/2)*float64(probeRarely)), false)
	case f.kind == dandeliongap.KindRoutes:
		f.rest(probeEvery, false)
	default:
		f.rest(probeOthers, false)
	}
}

// rest pulls changes from other VMs for a while, or until the store is back. look
// allows to look at the store when no VM answers (dgwatch W3).
func (f *follower) rest(most time.Duration, look bool) {
	back := f.c.storeBack()
	t := time.NewTimer(most)
	defer t.Stop()
	for {
		select {
		case <-f.hint:
			b, err := f.pull("W3", f.source())
			switch {
			case err == nil:
				f.deliver(b)
			case look:
				f.deliver(f.watch(lookWait))
			}
		case <-back:
			if !look {
				return
			}
			back = nil
		case <-t.C:
			return
		case <-f.c.ctx.Done():
			return
		}
	}
}

// fetch lists the kind, or waits for its changes. A hint shortens the wait.
func (f *follower) fetch() batch {
	if f.since == 0 {
		return f.list()
	}
	wait := f.c.watchWait()
	select {
	case <-f.hint:
		if f.fails > 0 {
			if b, err := f.pull("W3", f.source()); err == nil {
				return b
			}
		}
		wait = lookWait
	default:
	}
	if !f.confirmed {
		wait = lookWait
	}
	return f.watch(wait)
}

// list reads the whole kind (F1, F4).
func (f *follower) list() batch {
	ctx, cancel := context.WithTimeout(f.c.ctx, callTimeout)
	defer cancel()
	list := f.c.e.opt.Store.ListStale
	if f.historyGone {
		list = f.c.e.opt.Store.List
	}
	f.confirmed = f.historyGone
	b := batch{kind: f.kind, full: true, unconfirmed: !f.confirmed}
	b.objects, b.version, b.err = list(ctx, f.kind)
	return b
}

// watch waits for changes. A hint cuts it short (F2).
func (f *follower) watch(wait time.Duration) batch {
	ctx, cancel := context.WithTimeout(f.c.ctx, callTimeout+wait)
	defer cancel()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-f.hint:
			f.push() // seen by the next fetch
			cancel()
		case <-over:
		}
	}()
	b := batch{kind: f.kind}
	b.objects, b.version, b.err = f.c.e.opt.Store.Watch(ctx, f.kind, f.since, wait)
	if b.err != nil && len(f.hint) > 0 {
		b.err, b.cut = nil, true // the store did not fail
	}
	return b
}

// push tells the follower that the store has something newer.
func (f *follower) push() {
	select {
	case f.hint <- struct{}{}:
	default:
	}
}

// watchWait returns how long a watch may wait now, at random by a quarter so that
// the watches of the VMs that read spread.
func (c *control) watchWait() time.Duration {
	wait := waitFew
	if n := c.present.Load(); n > 0 && c.careful.Load() < int64(c.e.now()) {
		wait = min(waitMost, waitFew+time.Duration(min(n, dgwatch.ReaderCount-1))*waitEach)
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(wait))
}

// signal wakes those that wait for the store.
func (c *control) signal() {
	c.backMu.Lock()
	defer c.backMu.Unlock()
	close(c.back)
	c.back = make(chan struct{})
}

// storeBack returns a channel that is closed when the store has answered.
func (c *control) storeBack() chan struct{} {
	c.backMu.Lock()
	defer c.backMu.Unlock()
	return c.back
}

func (c *control) awaitSignal(most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-c.storeBack():
	case <-t.C:
	case <-c.ctx.Done():
	}
}

func (c *control) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
