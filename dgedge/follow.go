package dgedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// waitFew is the wait of a watch on a VM that hears no other one, or whose store
	// failed a short time ago: a change that a watch missed is seen that late.
	waitFew = 3 * time.Second
	// waitEach is added for each VM that is present: the watches of all VMs end at
	// about this distance, and one that brings news makes the others look (F2).
	waitEach = 1500 * time.Millisecond
	// waitMost is below the 30 s that stores allow.
	waitMost = 20 * time.Second
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
	// registerEvery is the time between two looks at the own registration.
	registerEvery = 200 * time.Millisecond
)

const (
	// smallTier is the number of VMs up to which followers wait as afterChange says; the
	// store's rates grow more slowly than the tier.
	smallTier = 6
	// longestWait bounds how much longer followers of a larger tier wait, so that a
	// replica that drains is left within two seconds.
	longestWait = 4
)

// afterChange is how long a follower waits after a change, so that the next answer
// brings several at once. Calls to the store are limited and priced.
var afterChange = map[string]time.Duration{
	dandeliongap.KindRoutes:    60 * time.Millisecond,
	dandeliongap.KindInstances: 250 * time.Millisecond,
	dandeliongap.KindZonesOut:  60 * time.Millisecond,
	dandeliongap.KindMembers:   200 * time.Millisecond,
}

// follower keeps up with one kind of objects: a list, then changes.
//
// Rules:
//
//	F1  Changes that the store no longer has are made up for by a new list.
//	F2  A VM that learns from another one that the store has something newer ends
//	    its watch and looks at once. Watches may therefore wait for long.
//	F3  While the store fails, one follower of a VM looks whether it is back, and the
//	    others wait for that one.
type follower struct {
	c     *control
	kind  string
	since dandeliongap.Version
	hint  chan struct{} // F2
	fails int
}

func (f *follower) run() {
	for f.c.ctx.Err() == nil {
		begin := f.c.e.now()
		b := f.fetch()
		if errors.Is(b.err, dandeliongap.ErrHistoryGone) {
			f.c.e.log.event("history gone").Str("Rule", "F1").Str("Kind", f.kind).Uint64("Since", uint64(f.since)).Send()
			f.since = 0
			f.c.sleep(retryOnce)
			continue
		}
		select {
		case f.c.batches <- b:
		case <-f.c.ctx.Done():
			return
		}
		if b.err != nil {
			f.fails++
			f.pause()
			continue
		}
		f.fails = 0
		f.since = b.version
		if f.kind == dandeliongap.KindRoutes {
			f.c.signal()
		}
		switch {
		case len(b.objects) > 0:
			f.c.sleep(f.c.waitAfterChange(f.kind))
		case f.c.e.now().Sub(begin) < retryOnce:
			f.c.sleep(retryOnce) // the watch did not wait
		}
	}
}

// pause waits after a failure (F3).
func (f *follower) pause() {
	switch {
	case f.fails == 1:
		f.c.sleep(retryOnce)
	case f.kind == dandeliongap.KindRoutes:
		f.c.sleep(probeEvery)
	default:
		f.c.awaitSignal(probeOthers)
	}
}

// fetch lists the kind, or waits for its changes. A hint shortens the wait.
func (f *follower) fetch() batch {
	b := batch{kind: f.kind, full: f.since == 0}
	wait := f.c.watchWait()
	select {
	case <-f.hint:
		b.looked, wait = true, time.Millisecond
	default:
	}
	limit := callTimeout
	if !b.full {
		limit += wait
	}
	ctx, cancel := context.WithTimeout(f.c.ctx, limit)
	defer cancel()
	if b.full {
		b.objects, b.version, b.err = f.c.e.opt.Store.List(ctx, f.kind)
		return b
	}
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
	b.objects, b.version, b.err = f.c.e.opt.Store.Watch(ctx, f.kind, f.since, wait)
	if b.err != nil && len(f.hint) > 0 {
		b.err, b.version = nil, f.since
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
// the watches of the VMs spread.
func (c *control) watchWait() time.Duration {
	wait := waitFew
	if n := c.present.Load(); n > 0 && c.careful.Load() < int64(c.e.now()) {
		wait = min(waitMost, waitFew+time.Duration(n)*waitEach)
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(wait))
}

// waitAfterChange returns how long the follower of a kind waits after a change.
func (c *control) waitAfterChange(kind string) time.Duration {
	times := min(max(1, float64(c.present.Load()+1)/smallTier), longestWait)
	return time.Duration(times * float64(afterChange[kind]))
}

// signal wakes those that wait for the store.
func (c *control) signal() {
	c.backMu.Lock()
	defer c.backMu.Unlock()
	close(c.back)
	c.back = make(chan struct{})
}

func (c *control) awaitSignal(most time.Duration) {
	c.backMu.Lock()
	back := c.back
	c.backMu.Unlock()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-back:
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
