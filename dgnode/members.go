package dgnode

import (
	"context"
	"errors"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgwire"
)

// leaseName returns the name of a member's lease object.
func leaseName(id dandeliongap.MemberID) dandeliongap.ObjectName {
	return dandeliongap.ObjectName("leases/" + string(id))
}

// performMember carries out one action of dgmember.
func (c *control) performMember(a dgmember.Action) {
	if a.Kind != dgmember.KindExchange && a.Kind != dgmember.KindRenew {
		c.log.Info("membership", "Rule", a.Rule, "Choice", a.Kind, "Member", a.Member, "Via", a.Via, "Version", a.Version)
	}
	switch a.Kind {
	case dgmember.KindRenew:
		c.renew(a)
	case dgmember.KindReadBack:
		c.readBack(a)
	case dgmember.KindExchange:
		c.exchange(a.Member)
	case dgmember.KindReadLease:
		c.readLease(a)
	case dgmember.KindDeleteLease:
		c.deleteLease(a)
	case dgmember.KindWriteMembers:
		c.writeMembers(a)
	case dgmember.KindStopLost:
		c.lostOnce.Do(func() { close(c.lost) })
	}
}

// platform counts the result of one call to the platform and reports whether
// the platform answered.
func (c *control) platform(err error) {
	c.stats.platformCalls.Add(1)
	answered := !errors.Is(err, dandeliongap.ErrUnreachable) && !errors.Is(err, dandeliongap.ErrNotRun)
	c.post(func(now dandeliongap.Instant) {
		if answered {
			c.memberActions = c.member.PlatformOK(now, c.memberActions)
		} else {
			c.memberActions = c.member.PlatformFailed(now, c.memberActions)
		}
	})
}

// member runs f, which reports a result to the membership decisions.
func (c *control) memberEvent(f func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action) {
	c.post(func(now dandeliongap.Instant) { c.memberActions = f(now, c.memberActions) })
}

// renew writes this VM's lease object, directly or through a peer.
func (c *control) renew(a dgmember.Action) {
	body := dgmember.EncodeLease(a.Lease)
	via := c.address(a.Via)
	c.call(callLimit, func(ctx context.Context) {
		var version dandeliongap.Version
		var err error
		if a.Via == "" {
			version, err = c.store.Put(ctx, leaseName(c.self.ID), body, a.Version)
			c.platform(err)
		} else {
			version, err = c.renewVia(ctx, via, body, a.Version)
		}
		c.memberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
			switch {
			case err == nil:
				return c.member.RenewOK(now, a.Lease.Attempt, version, dst)
			case errors.Is(err, dandeliongap.ErrConflict):
				return c.member.RenewConflict(now, a.Lease.Attempt, dst)
			default:
				return c.member.RenewUnreachable(now, a.Lease.Attempt, dst)
			}
		})
	})
}

func (c *control) renewVia(ctx context.Context, address string, body []byte, ifVersion dandeliongap.Version) (dandeliongap.Version, error) {
	if address == "" {
		return 0, dandeliongap.ErrUnreachable
	}
	r, err := c.peers.Peer(address).Renew(ctx, &dgwire.RenewRequest{
		Name:      string(leaseName(c.self.ID)),
		IfVersion: uint64(ifVersion),
		Body:      body,
	})
	switch {
	case err != nil || r.GetUnreachable():
		return 0, dandeliongap.ErrUnreachable
	case r.GetConflict():
		return 0, dandeliongap.ErrConflict
	default:
		return dandeliongap.Version(r.GetVersion()), nil
	}
}

// readBack reads this VM's own lease object.
func (c *control) readBack(a dgmember.Action) {
	c.call(callLimit, func(ctx context.Context) {
		obj, err := c.store.Get(ctx, leaseName(c.self.ID))
		c.platform(err)
		c.memberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
			if err != nil && !errors.Is(err, dandeliongap.ErrNotFound) {
				return c.member.RenewUnreachable(now, a.Lease.Attempt, dst)
			}
			lease, lerr := dgmember.DecodeLease(obj.Body)
			return c.member.LeaseReadBack(now, err == nil && lerr == nil, obj.Version, lease, dst)
		})
	})
}

// readLease reads the lease object of a suspect.
func (c *control) readLease(a dgmember.Action) {
	c.call(callLimit, func(ctx context.Context) {
		obj, err := c.store.Get(ctx, leaseName(a.Member))
		c.platform(err)
		c.memberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
			if err != nil && !errors.Is(err, dandeliongap.ErrNotFound) {
				return c.member.SuspectCallFailed(now, a.Member, dst)
			}
			if err != nil {
				return c.member.SuspectLeaseRead(now, a.Member, false, 0, dgmember.Lease{}, dst)
			}
			lease, err := dgmember.DecodeLease(obj.Body)
			if err != nil {
				return c.member.SuspectCallFailed(now, a.Member, dst)
			}
			return c.member.SuspectLeaseRead(now, a.Member, true, obj.Version, lease, dst)
		})
	})
}

// deleteLease fences a member, or gives up this VM's own lease.
func (c *control) deleteLease(a dgmember.Action) {
	c.call(callLimit, func(ctx context.Context) {
		err := c.store.Delete(ctx, leaseName(a.Member), a.Version)
		c.platform(err)
		c.memberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
			switch {
			case err == nil:
				return c.member.LeaseDeleted(now, a.Member, dst)
			case errors.Is(err, dandeliongap.ErrConflict) || errors.Is(err, dandeliongap.ErrNotFound):
				return c.member.LeaseConflict(now, a.Member, dst)
			default:
				return c.member.SuspectCallFailed(now, a.Member, dst)
			}
		})
	})
}

// writeMembers writes the list of members.
func (c *control) writeMembers(a dgmember.Action) {
	a.List.WriteID = c.writeID()
	body, err := dgrelay.EncodeMemberList(a.List)
	if err != nil {
		c.log.Error("list of members not encoded", "Error", err)
		c.memberActions = c.member.MembersNotWritten(c.clock.now(), c.memberActions)
		return
	}
	c.call(callLimit, func(ctx context.Context) {
		version, err := c.store.Put(ctx, dgrelay.Members, body, a.Version)
		c.platform(err)
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.memberActions = c.member.MembersNotWritten(now, c.memberActions)
				c.readState()
				return
			}
			c.adopt(now, dandeliongap.Object{Name: dgrelay.Members, Version: version, Body: body})
		})
	})
}

// leave tells the other VMs that this one leaves, and waits until it holds no
// replica or ctx ends.
func (c *control) leave(ctx context.Context) {
	c.memberEvent(c.member.Leave)
	c.waitFor(ctx, func(now dandeliongap.Instant) bool {
		if !c.member.ReachesPlatform(now) {
			// Nothing can be moved without the platform. The other replicas of
			// each shard go on; the rows move when the lease was fenced.
			return true
		}
		return c.holdings.Idle() && !c.owns()
	})
}

// owns tells whether the placement table names this VM.
func (c *control) owns() bool {
	for i := range c.table.Rows {
		if c.table.Rows[i].Owner == c.self.ID {
			return true
		}
	}
	return false
}

// finishLimit bounds the deletion of the own lease; without it the others fence
// this member after its TTL.
const finishLimit = 3 * time.Second

// finish gives up the lease and leaves the list of members.
func (c *control) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	c.memberEvent(c.member.Finish)
	c.waitFor(ctx, func(now dandeliongap.Instant) bool {
		return c.member.Finished() || !c.member.ReachesPlatform(now)
	})
}

// waitFor waits until done holds on the control goroutine or ctx ends.
func (c *control) waitFor(ctx context.Context, done func(now dandeliongap.Instant) bool) {
	for {
		ok := false
		if !c.ask(func(now dandeliongap.Instant) { ok = done(now) }) || ok {
			return
		}
		if !pause(ctx, waitStep) {
			return
		}
	}
}

// waitStep is the time between two looks at a condition.
const waitStep = 20 * time.Millisecond
