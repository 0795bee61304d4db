package dgedge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// watchWait is how long a watch waits for a change. A watch whose answer was
	// lost is noticed that late.
	watchWait = 3 * time.Second
	// callTimeout bounds calls to the store, watches beyond their wait. Slow answers
	// of the store took 50 times its usual 4 ms.
	callTimeout = 1200 * time.Millisecond
	// retryFirst and retryMost bound the wait between calls to a store that fails.
	// Refused calls count against its rate.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// registerEvery is the time between two looks at the own registration.
	registerEvery = 200 * time.Millisecond
)

// follow keeps up with one kind of objects: a list, then changes. Changes that
// the store no longer has are made up for by a new list.
func (c *control) follow(kind string) {
	var since dandeliongap.Version
	wait := retryFirst
	for c.ctx.Err() == nil {
		b := c.fetch(kind, since)
		if errors.Is(b.err, dandeliongap.ErrHistoryGone) {
			c.e.log.event("history gone").Str("Kind", kind).Uint64("Since", uint64(since)).Send()
			since = 0
			continue
		}
		select {
		case c.batches <- b:
		case <-c.ctx.Done():
			return
		}
		if b.err == nil {
			since, wait = b.version, retryFirst
			continue
		}
		c.sleep(time.Duration((0.5 + rand.Float64()/2) * float64(wait)))
		wait = min(2*wait, retryMost)
	}
}

// fetch lists a kind, or waits for its changes after since.
func (c *control) fetch(kind string, since dandeliongap.Version) batch {
	b := batch{kind: kind, full: since == 0}
	limit := callTimeout
	if since > 0 {
		limit += watchWait
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	if b.full {
		b.objects, b.version, b.err = c.e.opt.Store.List(ctx, kind)
	} else {
		b.objects, b.version, b.err = c.e.opt.Store.Watch(ctx, kind, since, watchWait)
	}
	return b
}

func (c *control) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// register keeps the registration of this VM in the store.
func (c *control) register() {
	s := c.e.opt.Settings
	body, err := json.Marshal(dandeliongap.EdgeMember{VM: s.VM, Zone: s.Zone, Entry: s.Entry, Gossip: s.Gossip, Boot: c.e.boot})
	if err != nil {
		c.e.log.event("not registered").Err(err).Send()
		return
	}
	wait := registerEvery
	var version dandeliongap.Version
	for c.ctx.Err() == nil {
		c.regMu.Lock()
		needed := !c.registered
		c.regMu.Unlock()
		if needed {
			version, err = c.put(body, version)
			if err != nil {
				c.e.log.event("not registered").Err(err).Send()
				wait = min(2*wait, retryMost)
			} else {
				c.regMu.Lock()
				c.registered = true
				c.regMu.Unlock()
				wait = registerEvery
			}
		}
		c.sleep(wait)
	}
}

// put writes the registration over the one that is there.
func (c *control) put(body []byte, version dandeliongap.Version) (dandeliongap.Version, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	name := memberObject(c.e.opt.Settings.VM)
	next, err := c.e.opt.Store.Put(ctx, name, body, version)
	if !errors.Is(err, dandeliongap.ErrConflict) && !errors.Is(err, dandeliongap.ErrNotFound) {
		return next, err
	}
	o, err := c.e.opt.Store.Get(ctx, name)
	if errors.Is(err, dandeliongap.ErrNotFound) {
		return c.e.opt.Store.Put(ctx, name, body, 0)
	}
	if err != nil {
		return version, err
	}
	return c.e.opt.Store.Put(ctx, name, body, o.Version)
}
