package dgnode

import (
	"context"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/twitchtv/twirp"
)

var (
	errStopping = twirp.NewError(twirp.Unavailable, "this process is stopping")
	errNotLease = twirp.InvalidArgumentError("name", "is not a lease object")
)

func isLease(name dandeliongap.ObjectName) bool { return strings.HasPrefix(string(name), "leases/") }

// performHolding carries out one action returned by dgplacement.
func (c *control) performHolding(a dgplacement.Action) {
	c.log.Info("placement", "Rule", a.Rule, "Choice", a.Kind, "Replica", a.Replica, "Epoch", a.Epoch, "Member", a.Member)
	switch a.Kind {
	case dgplacement.KindAskRelease:
		c.requestRelease(a)
	case dgplacement.KindGrant:
		c.grant(a)
	case dgplacement.KindRevoke:
		c.revoke(a)
	case dgplacement.KindAnswerRelease:
		key := releaseKey{a.Member, a.Replica, a.Epoch}
		for _, reply := range c.releaseReplies[key] {
			reply <- a
		}
		delete(c.releaseReplies, key)
	}
}

// requestRelease asks the former owner of a replica to release it.
func (c *control) requestRelease(a dgplacement.Action) {
	address := c.address(a.Member)
	if address == "" {
		c.holdingActions = c.holdings.ReleaseFailed(c.clock.now(), a.Member, a.Replica, a.Epoch, c.holdingActions)
		return
	}
	c.call(callTimeout, func(ctx context.Context) {
		r, err := c.peers.Peer(address).Release(ctx, &dgwire.ReleaseRequest{
			FromMember:   string(c.self.ID),
			FormerMember: string(a.Member),
			Replica:      string(a.Replica),
			Epoch:        uint64(a.Epoch),
		})
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.holdingActions = c.holdings.ReleaseFailed(now, a.Member, a.Replica, a.Epoch, c.holdingActions)
				return
			}
			state := dgplacement.GateState{Limit: dandeliongap.Slots(r.GetLimit()), Draining: r.GetDraining()}
			c.holdingActions = c.holdings.ReleaseAnswered(now, a.Member, a.Replica, a.Epoch, r.GetReleased(), state, c.holdingActions)
		})
	})
}

// grant allows the gate of a replica to send under an epoch. A placement table
// can arrive before the configuration that defines its replicas; the grant is then
// kept until the configuration arrives.
func (c *control) grant(a dgplacement.Action) {
	replica := c.replica(a.Replica)
	if replica == nil {
		c.pendingGrants[a.Replica] = a
		return
	}
	delete(c.pendingGrants, a.Replica)
	g := c.gates.configure(replica, c.zonesOut[replica.Zone])
	g.grant(a.Epoch, dggate.Handover{Limit: a.State.Limit, Known: a.StateKnown, Draining: a.State.Draining})
}

// replica returns the replica with the given id from the configuration in force,
// or nil if there is none.
func (c *control) replica(id dandeliongap.ReplicaID) *dandeliongap.Replica {
	if c.deployment == nil {
		return nil
	}
	return c.deployment.Replica(id)
}

// performPendingGrants carries out the grants that were kept until the
// configuration arrived.
func (c *control) performPendingGrants() {
	for _, a := range c.pendingGrants {
		c.grant(a)
	}
}

// revoke ends the rights of the gate of a replica. The release is reported to
// dgplacement when the gate has drained, or at once if there is no gate.
func (c *control) revoke(a dgplacement.Action) {
	delete(c.pendingGrants, a.Replica)
	if g := c.gates.get(a.Replica); g != nil {
		g.revoke(a.Epoch)
		return
	}
	c.holdingActions = c.holdings.Drained(c.clock.now(), a.Replica, dgplacement.GateState{}, c.holdingActions)
}

// drained handles a revoked gate that has no request left in flight. It closes the
// connections before the release is answered, so that the old and the new owner
// together never exceed the connection limit of the replica.
func (c *control) drained(id dandeliongap.ReplicaID) {
	state := dgplacement.GateState{}
	if g := c.gates.get(id); g != nil {
		h := g.handover()
		if h.Known {
			state.Limit = h.Limit
		}
		state.Draining = h.Draining
	}
	c.call(callTimeout, func(ctx context.Context) {
		if err := c.backend.Disconnect(ctx, id); err != nil {
			c.log.Warn("connections to backend server not closed", "Replica", id, "Error", err)
		}
		c.post(func(now dandeliongap.Instant) {
			c.holdingActions = c.holdings.Drained(now, id, state, c.holdingActions)
		})
	})
}

// Release implements dgwire.Peer.
func (p *peerService) Release(ctx context.Context, m *dgwire.ReleaseRequest) (*dgwire.ReleaseReply, error) {
	c := p.control
	reply := make(chan dgplacement.Action, 1)
	from := dandeliongap.MemberID(m.GetFromMember())
	replica := dandeliongap.ReplicaID(m.GetReplica())
	epoch := dandeliongap.Epoch(m.GetEpoch())
	c.post(func(now dandeliongap.Instant) {
		key := releaseKey{from, replica, epoch}
		c.releaseReplies[key] = append(c.releaseReplies[key], reply)
		former := dandeliongap.MemberID(m.GetFormerMember())
		c.holdingActions = c.holdings.ReleaseRequested(now, from, former, replica, epoch, c.holdingActions)
	})
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		return &dgwire.ReleaseReply{Released: a.Released, Limit: int32(a.State.Limit), Draining: a.State.Draining}, nil
	case <-timer.C:
		return nil, twirp.NewError(twirp.DeadlineExceeded, "requests are still under way at the replica")
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller of Release hung up")
	case <-c.ctx.Done():
		return nil, errStopping
	}
}

// plan computes the placement and writes the placement table if it has to change
// and rule L1 lets this VM write it.
func (c *control) plan(now dandeliongap.Instant) {
	if c.deployment == nil || !c.member.Listed() || !c.member.ReachesPlatform(now) {
		c.planUntil = now.Add(planWindow)
		return
	}
	if c.writingTable || now < c.nextPlan || now > c.planUntil && c.planPendingSince == 0 {
		return
	}
	c.nextPlan = now.Add(planInterval)
	in := c.planInput()
	rows, decisions := dgplacement.Plan(now, in)
	if len(decisions) == 0 {
		c.planPendingSince = 0
		return
	}
	if c.planPendingSince == 0 {
		c.planPendingSince = now
	}
	if !c.member.MayWritePlacement(now, c.planPendingSince) {
		return
	}
	c.writeTable(in, rows, decisions)
}

const (
	// planInterval is the time between two computations of the placement.
	planInterval = 250 * time.Millisecond
	// planWindow is how long the placement is recomputed after an object was
	// adopted. A plan depends only on the objects and on the time since the last
	// moves, so it cannot change later.
	planWindow = dgplacement.MinMoveInterval + time.Second
)

func (c *control) planInput() dgplacement.Input {
	return dgplacement.Input{
		Deployment:     c.deployment,
		ConfigVersion:  c.version(dgrelay.Deployment),
		ZonesOut:       c.zonesOut,
		Members:        c.memberList.Members,
		MembersVersion: c.version(dgrelay.Members),
		Table:          c.placementTable,
		TableVersion:   c.version(dgrelay.Placement),
		Moves:          &c.moves,
	}
}

func (c *control) writeTable(in dgplacement.Input, rows []dandeliongap.Placement, decisions []dgplacement.Decision) {
	body, err := dgrelay.EncodePlacementTable(dgrelay.PlacementTable{
		Rows:           rows,
		MembersVersion: in.MembersVersion,
		ConfigVersion:  in.ConfigVersion,
		WriteID:        c.writeID(),
	})
	if err != nil {
		c.log.Error("placement table not encoded", "Error", err)
		return
	}
	for _, d := range decisions {
		c.log.Info("placement", "Rule", d.Rule, "Choice", d.Cause, "Replica", d.Replica, "From", d.From, "To", d.To, "Epoch", d.Epoch)
	}
	c.writingTable = true
	c.call(callTimeout, func(ctx context.Context) {
		version, err := c.store.Put(ctx, dgrelay.Placement, body, in.TableVersion)
		c.recordPlatformCall(err)
		c.post(func(now dandeliongap.Instant) {
			c.writingTable = false
			if err != nil {
				c.nextPlan = now.Add(time.Second)
				c.readState()
				return
			}
			c.adopt(now, dandeliongap.Object{Name: dgrelay.Placement, Version: version, Body: body})
		})
	})
}
