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

// performHolding carries out one action of dgplacement.
func (c *control) performHolding(a dgplacement.Action) {
	c.log.Info("placement", "Rule", a.Rule, "Choice", a.Kind, "Replica", a.Replica, "Epoch", a.Epoch, "Member", a.Member)
	switch a.Kind {
	case dgplacement.KindAskRelease:
		c.askRelease(a)
	case dgplacement.KindGrant:
		c.grant(a)
	case dgplacement.KindRevoke:
		c.revoke(a)
	case dgplacement.KindAnswerRelease:
		key := releaseKey{a.Member, a.Replica, a.Epoch}
		for _, reply := range c.replies[key] {
			reply <- a
		}
		delete(c.replies, key)
	}
}

// askRelease asks a former owner to give up a replica.
func (c *control) askRelease(a dgplacement.Action) {
	address := c.address(a.Member)
	if address == "" {
		c.holdingActions = c.holdings.ReleaseFailed(c.clock.now(), a.Member, a.Replica, a.Epoch, c.holdingActions)
		return
	}
	c.call(callLimit, func(ctx context.Context) {
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

// grant lets the gate of a replica send under an epoch. A placement table can
// arrive before the configuration that names its replicas; then the grant waits
// for it.
func (c *control) grant(a dgplacement.Action) {
	replica := c.replica(a.Replica)
	if replica == nil {
		c.waiting[a.Replica] = a
		return
	}
	delete(c.waiting, a.Replica)
	g := c.gates.configure(replica, c.zonesOut[replica.Zone])
	g.grant(a.Epoch, dggate.Handover{Limit: a.State.Limit, Known: a.StateKnown, Draining: a.State.Draining})
}

// replica returns a replica of the configuration in force, nil if there is none
// of that id.
func (c *control) replica(id dandeliongap.ReplicaID) *dandeliongap.Replica {
	if c.deployment == nil {
		return nil
	}
	return c.deployment.Replica(id)
}

// grantWaiting carries out the grants that waited for the configuration.
func (c *control) grantWaiting() {
	for _, a := range c.waiting {
		c.grant(a)
	}
}

// revoke stops the gate of a replica; drained follows.
func (c *control) revoke(a dgplacement.Action) {
	delete(c.waiting, a.Replica)
	if g := c.gates.get(a.Replica); g != nil {
		g.revoke(a.Epoch)
		return
	}
	c.holdingActions = c.holdings.Drained(c.clock.now(), a.Replica, dgplacement.GateState{}, c.holdingActions)
}

// drained is called when a revoked gate has no request under way. The
// connections are closed before the release is answered, so that two owners
// together never exceed the replica's connections.
func (c *control) drained(id dandeliongap.ReplicaID) {
	state := dgplacement.GateState{}
	if g := c.gates.get(id); g != nil {
		h := g.handover()
		if h.Known {
			state.Limit = h.Limit
		}
		state.Draining = h.Draining
	}
	c.call(callLimit, func(ctx context.Context) {
		if err := c.backend.Disconnect(ctx, id); err != nil {
			c.log.Warn("connections not closed", "Replica", id, "Error", err)
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
		c.replies[key] = append(c.replies[key], reply)
		former := dandeliongap.MemberID(m.GetFormerMember())
		c.holdingActions = c.holdings.ReleaseRequested(now, from, former, replica, epoch, c.holdingActions)
	})
	timer := time.NewTimer(releaseWait)
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

// plan writes the placement table when it has to change and it is this VM's turn
// (L1).
func (c *control) plan(now dandeliongap.Instant) {
	if c.deployment == nil || !c.member.Listed() || !c.member.ReachesPlatform(now) {
		c.planUntil = now.Add(planFor)
		return
	}
	if c.planning || now < c.planDue || now > c.planUntil && c.planSince == 0 {
		return
	}
	c.planDue = now.Add(planEvery)
	in := c.planInput()
	rows, decisions := dgplacement.Plan(now, in)
	if len(decisions) == 0 {
		c.planSince = 0
		return
	}
	if c.planSince == 0 {
		c.planSince = now
	}
	if !c.member.MayWritePlacement(now, c.planSince) {
		return
	}
	c.writeTable(in, rows, decisions)
}

const (
	// planEvery is the time between two looks at the placement.
	planEvery = 250 * time.Millisecond
	// planFor is how long the placement is looked at after an adopted object. A
	// plan depends on objects and on the time since the last moves only.
	planFor = dgplacement.MinMoveInterval + time.Second
)

func (c *control) planInput() dgplacement.Input {
	return dgplacement.Input{
		Deployment:     c.deployment,
		ConfigVersion:  c.version(dgrelay.Deployment),
		ZonesOut:       c.zonesOut,
		Members:        c.list.Members,
		MembersVersion: c.version(dgrelay.Members),
		Table:          c.table,
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
	c.planning = true
	c.call(callLimit, func(ctx context.Context) {
		version, err := c.store.Put(ctx, dgrelay.Placement, body, in.TableVersion)
		c.platform(err)
		c.post(func(now dandeliongap.Instant) {
			c.planning = false
			if err != nil {
				c.planDue = now.Add(time.Second)
				c.readState()
				return
			}
			c.adopt(now, dandeliongap.Object{Name: dgrelay.Placement, Version: version, Body: body})
		})
	})
}
