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

func leaseName(id dandeliongap.MemberID) dandeliongap.ObjectName {
	return dandeliongap.ObjectName("leases/" + string(id))
}

// performMember carries out one action returned by dgmember.
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
		c.fencedOnce.Do(func() { close(c.fenced) })
	}
}

// recordPlatformCall counts one call to the platform, which returned err, and reports
// to dgmember whether the platform answered.
func (c *control) recordPlatformCall(err error) {
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

// postMemberEvent queues f, which passes an event to dgmember, for the control
// goroutine. The actions that f returns are carried out on the next tick.
func (c *control) postMemberEvent(f func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action) {
	c.post(func(now dandeliongap.Instant) { c.memberActions = f(now, c.memberActions) })
}

// renew writes this VM's lease object, directly or through a peer.
func (c *control) renew(a dgmember.Action) {
	body := dgmember.EncodeLease(a.Lease)
	via := c.address(a.Via)
	c.call(callTimeout, func(ctx context.Context) {
		var version dandeliongap.Version
		var err error
		if a.Via == "" {
			version, err = c.store.Put(ctx, leaseName(c.self.ID), body, a.Version)
			c.recordPlatformCall(err)
		} else {
			version, err = c.renewVia(ctx, via, body, a.Version)
		}
		c.postMemberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
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
	c.call(callTimeout, func(ctx context.Context) {
		obj, err := c.store.Get(ctx, leaseName(c.self.ID))
		c.recordPlatformCall(err)
		c.postMemberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
			if err != nil && !errors.Is(err, dandeliongap.ErrNotFound) {
				return c.member.RenewUnreachable(now, a.Lease.Attempt, dst)
			}
			lease, lerr := dgmember.DecodeLease(obj.Body)
			return c.member.LeaseReadBack(now, err == nil && lerr == nil, obj.Version, lease, dst)
		})
	})
}

// readLease reads the lease object of a suspected member.
func (c *control) readLease(a dgmember.Action) {
	c.call(callTimeout, func(ctx context.Context) {
		obj, err := c.store.Get(ctx, leaseName(a.Member))
		c.recordPlatformCall(err)
		c.postMemberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
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

// deleteLease deletes a lease object: that of another member, which fences it, or
// this VM's own.
func (c *control) deleteLease(a dgmember.Action) {
	c.call(callTimeout, func(ctx context.Context) {
		err := c.store.Delete(ctx, leaseName(a.Member), a.Version)
		c.recordPlatformCall(err)
		c.postMemberEvent(func(now dandeliongap.Instant, dst []dgmember.Action) []dgmember.Action {
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

// writeMembers writes the member list.
func (c *control) writeMembers(a dgmember.Action) {
	a.List.WriteID = c.writeID()
	body, err := dgrelay.EncodeMemberList(a.List)
	if err != nil {
		c.log.Error("member list not encoded", "Error", err)
		c.memberActions = c.member.MembersNotWritten(c.clock.now(), c.memberActions)
		return
	}
	c.call(callTimeout, func(ctx context.Context) {
		version, err := c.store.Put(ctx, dgrelay.Members, body, a.Version)
		c.recordPlatformCall(err)
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

// leave announces to the other VMs that this one leaves, and waits until it owns
// no replica, the platform is unreachable or ctx ends.
func (c *control) leave(ctx context.Context) {
	c.postMemberEvent(c.member.Leave)
	c.waitFor(ctx, func(now dandeliongap.Instant) bool {
		if !c.member.ReachesPlatform(now) {
			// Replicas cannot be moved without the platform. The other replicas
			// of each shard go on serving; the replicas of this VM move once the
			// other VMs have fenced it.
			return true
		}
		return c.holdings.Idle() && !c.ownsReplicas()
	})
}

// ownsReplicas reports whether the placement table names this VM as the owner of a
// replica.
func (c *control) ownsReplicas() bool {
	for i := range c.placementTable.Rows {
		if c.placementTable.Rows[i].Owner == c.self.ID {
			return true
		}
	}
	return false
}

// leaseDeletionTimeout bounds the deletion of this VM's lease. If the deletion fails,
// the others fence this member after the lease's TTL.
const leaseDeletionTimeout = 3 * time.Second

// deleteOwnLease deletes this VM's lease and takes this VM off the member list. It
// returns early if the platform is unreachable or ctx ends.
func (c *control) deleteOwnLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseDeletionTimeout)
	defer cancel()
	c.postMemberEvent(c.member.Finish)
	c.waitFor(ctx, func(now dandeliongap.Instant) bool {
		return c.member.Finished() || !c.member.ReachesPlatform(now)
	})
}

// waitFor polls done on the control goroutine until it returns true, ctx ends or
// control is closed.
func (c *control) waitFor(ctx context.Context, done func(now dandeliongap.Instant) bool) {
	for {
		ok := false
		if !c.postAndWait(func(now dandeliongap.Instant) { ok = done(now) }) || ok {
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

// pollInterval is the time between two checks of a condition that is waited for.
const pollInterval = 20 * time.Millisecond
