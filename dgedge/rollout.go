package dgedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrollout"
	"dandeliongap.example/dandeliongap/dgwatch"
)

const (
	// rolloutWatchWait is the wait of the leading VM's watches of the kinds of rollouts while
	// one is open. It tells within dgrollout.FreshFor whether the store answers.
	rolloutWatchWait = 700 * time.Millisecond
	// rolloutRetryDelay is the time between two writes about a rollout.
	// It doubles with each failure, up to maxRolloutRetryDelay.
	rolloutRetryDelay    = 150 * time.Millisecond
	maxRolloutRetryDelay = 2 * time.Second
	// unknownServiceGrace is how long an order waits for a configuration with its service.
	unknownServiceGrace = 2 * time.Second
	// evidenceLogInterval is the time between two log lines about the evidence of a rollout.
	evidenceLogInterval = 2 * time.Second
)

// rolloutKinds are the kinds that are followed besides kinds if rollouts are on.
var rolloutKinds = []string{dandeliongap.KindRollouts, dandeliongap.KindRolloutStates}

// extendedKinds are the kinds in an extended message. Their order is fixed.
var extendedKinds = slices.Concat(kinds, rolloutKinds)

// kinds returns the kinds of control state that this VM follows.
func (e *Edge) kinds() []string {
	if e.rollouts == nil {
		return kinds
	}
	return extendedKinds
}

// rolloutControl is the part of control that carries rollouts out (dgrollout). Its zero
// value knows none. Fields without a lock or an atomic type belong to the control goroutine.
type rolloutControl struct {
	entries map[dandeliongap.ServiceName]*rolloutEntry
	answer  dandeliongap.Instant // last answer of the store about KindRolloutStates
	leader  dandeliongap.VMName
	polling atomic.Bool      // this VM leads and a rollout is open
	open    bool             // a rollout is open
	era     dandeliongap.Era // of the last list of orders
	// changedAt is the time of the last change of an order or a state.
	changedAt dandeliongap.Instant

	mu     sync.Mutex
	writes map[dandeliongap.ServiceName]rolloutWrites
}

// rolloutWrites limits the writes about a service.
type rolloutWrites struct {
	notUntil time.Time // a write is in progress, or the next one must wait
	failed   int       // writes that failed since the last that did not
}

// rolloutEntry is what is known of the order for a service.
type rolloutEntry struct {
	object   dandeliongap.Object // "" if there is no order
	order    dandeliongap.RolloutOrder
	err      error // the order is invalid
	seenAt   dandeliongap.Instant
	listed   bool // the order was in a full list, so that it may be older
	admitted bool // passed on to dgrollout
	// held is what a list of a new era has in place of the object (dgrollout X16), nil if
	// nothing differs. It is deleted if the list has none.
	held   *dandeliongap.Object
	heldAt dandeliongap.Instant // when it was read first

	state        dgrollout.State
	stateVersion dandeliongap.Version

	lead     *dgrollout.Lead
	reporter reporter

	logAt     dandeliongap.Instant // last line about the evidence
	loggedBad bool                 // it said that the target is bad
}

func (r *rolloutControl) entry(name dandeliongap.ServiceName) *rolloutEntry {
	if r.entries == nil {
		r.entries = make(map[dandeliongap.ServiceName]*rolloutEntry)
	}
	en := r.entries[name]
	if en == nil {
		en = &rolloutEntry{}
		r.entries[name] = en
	}
	return en
}

// applyRollouts applies orders of operators.
func (c *control) applyRollouts(now dandeliongap.Instant, b batch) {
	present := make(map[dandeliongap.ServiceName]bool, len(b.objects))
	c.rollouts.changedAt = now
	if era := b.version.Era(); b.full && era > c.rollouts.era {
		c.rollouts.era = era
		c.e.mu.Lock()
		c.e.rollouts.BeginEra(now)
		c.e.mu.Unlock()
	}
	for _, o := range b.objects {
		name := dandeliongap.ServiceName(baseName(o.Name))
		present[name] = true
		if o.Deleted {
			c.withdrawOrder(name, o.Version)
		} else {
			c.applyOrder(now, now, name, o, b.full)
		}
	}
	if !b.full {
		return
	}
	for name, en := range c.rollouts.entries {
		switch {
		case en.object.Name == "" || present[name]:
		case c.holdOrder(now, name, en, nil):
			en.held = &dandeliongap.Object{Version: b.version, Deleted: true}
		default:
			c.withdrawOrder(name, b.version)
		}
	}
}

// holdOrder reports whether a list that has the order o for a service, nil if none, is not
// followed yet (dgrollout X16).
func (c *control) holdOrder(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry, o *dandeliongap.RolloutOrder) bool {
	c.e.mu.Lock()
	holds := c.e.rollouts.Holds(now, name, o)
	c.e.mu.Unlock()
	if holds && en.held == nil {
		c.e.log.event("rollout order held").Str("Rule", "X16").Str("Service", clip(string(name))).Uint64("Version", uint64(en.object.Version)).Bool("Missing", o == nil).Send()
	}
	return holds
}

// releaseOrder follows what the list of a new era had, when the grace period has ended.
func (c *control) releaseOrder(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry) {
	if en.held == nil || c.holdOrder(now, name, en, nil) {
		return
	}
	if o := *en.held; o.Deleted {
		c.withdrawOrder(name, o.Version)
	} else {
		c.applyOrder(now, en.heldAt, name, o, true)
	}
	en.held = nil
}

func (c *control) withdrawOrder(name dandeliongap.ServiceName, version dandeliongap.Version) {
	en := c.rollouts.entry(name)
	if version <= en.object.Version {
		return
	}
	en.object, en.order, en.admitted, en.lead, en.held = dandeliongap.Object{Version: version}, dandeliongap.RolloutOrder{}, false, nil, nil
	c.e.mu.Lock()
	c.e.rollouts.Withdraw(name, version)
	c.e.mu.Unlock()
	c.e.log.event("rollout withdrawn").Str("Rule", "X12").Str("Service", clip(string(name))).Uint64("Version", uint64(version)).Send()
}

// applyOrder applies an order that was seen first at seenAt, from which its deadline counts.
func (c *control) applyOrder(now, seenAt dandeliongap.Instant, name dandeliongap.ServiceName, o dandeliongap.Object, listed bool) {
	en := c.rollouts.entry(name)
	if o.Version <= en.object.Version {
		return
	}
	order, err := c.e.opt.Store.DecodeRollout(o)
	if err == nil {
		err = dgrollout.Check(order, true)
	}
	if listed && c.holdOrder(now, name, en, &order) {
		if en.held == nil || en.held.Version != o.Version {
			en.heldAt = now
		}
		en.held = &o
		return
	}
	en.held = nil
	listed = listed || en.listed && order.Target == en.order.Target && order.Duration == en.order.Duration
	en.object, en.order, en.err, en.seenAt, en.listed, en.admitted = o, order, err, seenAt, listed, false
	if err != nil {
		c.e.mu.Lock()
		c.e.rollouts.Withdraw(name, o.Version) // the order before is abandoned
		c.e.mu.Unlock()
		en.lead = nil
		c.e.log.event("rollout order invalid").Str("Service", clip(string(name))).Uint64("Version", uint64(o.Version)).Str("Error", clip(err.Error())).Send()
		return
	}
	c.admitOrder(now, name, en)
}

// admitOrder passes an order on to dgrollout once its service is known.
func (c *control) admitOrder(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry) {
	if en.admitted || en.err != nil || en.object.Name == "" || !c.knowsService(name) {
		return
	}
	en.admitted = true
	local := c.e.rollouts
	c.e.mu.Lock()
	before := local.View(name)
	begins := local.SetOrder(en.seenAt, en.order)
	changed := c.adoptState(now, name, en)
	v := local.View(name)
	c.e.mu.Unlock()
	switch {
	case !begins || en.lead == nil:
	case before.Open && before.Order.Target == en.order.Target:
		en.lead.SetOrder(en.order)
	default:
		en.lead = nil
	}
	c.e.log.event("rollout order").Str("Rule", "X13").Str("Service", clip(string(name))).Str("Target", clip(string(en.order.Target))).Dur("Duration", en.order.Duration).
		Uint64("Version", uint64(en.order.Version)).Uint64("Order", uint64(v.ID)).Bool("Begins", begins).Dur("Elapsed", now.Sub(v.Since)).Int("Replicas", v.Targets).Interface("InUse", v.InUse).Send()
	if changed {
		c.logStage(now, name, en, v)
	}
}

// adoptState passes the state of a rollout on to dgrollout and reports whether the stage
// changed. An order that this VM did not see arrive began when the state says. e.mu must be
// held.
func (c *control) adoptState(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry) (changed bool) {
	if !en.admitted {
		return false
	}
	adopted := c.e.rollouts.Adopt(now, name, en.state, en.stateVersion)
	if (en.listed || adopted) && en.state.Order == c.e.rollouts.View(name).ID && en.state.OrderedUnixMs > 0 {
		age := max(0, time.Since(time.UnixMilli(en.state.OrderedUnixMs)))
		c.e.rollouts.Begin(name, now.Add(-min(age, en.order.Duration)))
	}
	return c.e.rollouts.SetState(name, en.state)
}

// knowsService reports whether the configuration in force has a service.
func (c *control) knowsService(name dandeliongap.ServiceName) bool {
	if c.table == nil {
		return false
	}
	_, ok := c.table.Config.Services[name]
	return ok || slices.ContainsFunc(c.table.Config.Routes, func(r dandeliongap.Route) bool { return uses(&r, name) })
}

// uses reports whether requests of a route go to a service.
func uses(r *dandeliongap.Route, name dandeliongap.ServiceName) bool {
	return r.Service == name || slices.Contains(r.Shards, name) ||
		slices.ContainsFunc(r.Split, func(w dandeliongap.ServiceWeight) bool { return w.Service == name })
}

// longestTime returns the longest time that a request may be at a replica of a service.
func (c *control) longestTime(name dandeliongap.ServiceName) (longest time.Duration) {
	if c.table == nil {
		return defaultTimeout
	}
	for i := range c.table.Config.Routes {
		r := &c.table.Config.Routes[i]
		switch {
		case !uses(r, name):
		case r.Timeout > 0:
			longest = max(longest, r.Timeout)
		default:
			longest = max(longest, defaultTimeout)
		}
	}
	return longest
}

// applyRolloutStates applies the states of rollouts that the leading VM wrote.
func (c *control) applyRolloutStates(now dandeliongap.Instant, b batch) {
	present := make(map[dandeliongap.ServiceName]bool, len(b.objects))
	for _, o := range b.objects {
		name := dandeliongap.ServiceName(baseName(o.Name))
		present[name] = true
		en := c.rollouts.entry(name)
		if o.Version <= en.stateVersion {
			continue
		}
		c.rollouts.changedAt = now
		if o.Deleted {
			en.state, en.stateVersion = dgrollout.State{}, 0
			continue
		}
		var st dgrollout.State
		if err := json.Unmarshal(o.Body, &st); err != nil {
			c.e.log.event("rollout state invalid").Str("Service", clip(string(name))).Uint64("Version", uint64(o.Version)).Str("Error", clip(err.Error())).Send()
			en.stateVersion = o.Version
			continue
		}
		en.state, en.stateVersion = st, o.Version
		c.e.mu.Lock()
		changed := c.adoptState(now, name, en)
		v := c.e.rollouts.View(name)
		c.e.mu.Unlock()
		if changed {
			c.logStage(now, name, en, v)
		}
	}
	if !b.full {
		return
	}
	for name, en := range c.rollouts.entries {
		if !present[name] && b.version > en.stateVersion {
			en.state, en.stateVersion = dgrollout.State{}, 0 // the stage stays (X17)
		}
	}
}

func (c *control) logStage(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry, v dgrollout.View) {
	c.e.log.event("rollout stage").Str("Rule", "X10").Str("Service", string(name)).Str("Target", string(v.Order.Target)).Stringer("Stage", v.Stage).Str("Why", clip(en.state.Why)).
		Uint64("Order", uint64(v.ID)).Uint64("Version", uint64(en.stateVersion)).Dur("Elapsed", now.Sub(v.Since)).
		Float64("Sent", v.Sent).Float64("SentNew", v.SentNew).Send()
}

// storeAnsweredRollouts records an answer of the store about the states of rollouts (X4).
func (c *control) storeAnsweredRollouts(now dandeliongap.Instant, kind string) {
	if kind == dandeliongap.KindRolloutStates {
		c.rollouts.answer = now
	}
}

// rolloutWait returns how long a watch may wait that could wait for the given time.
func (c *control) rolloutWait(kind string, wait time.Duration) time.Duration {
	if slices.Contains(rolloutKinds, kind) && c.rollouts.polling.Load() {
		return min(wait, rolloutWatchWait)
	}
	return wait
}

// findLeader returns the hub that leads: the first by rank of those that are present and
// take part in rollouts.
func (c *control) findLeader(now dandeliongap.Instant) dandeliongap.VMName {
	var vms []dandeliongap.VMName
	if self := c.e.opt.Settings.VM; len(c.hubs) == 0 || slices.Contains(c.hubs, self) {
		vms = append(vms, self)
	}
	for _, hb := range c.presence.Hubs(now) {
		if c.members[hb.VM].Rollouts {
			vms = append(vms, hb.VM)
		}
	}
	return dgwatch.First(vms)
}

// news returns when this VM last received something newer, from the store or from the
// leading VM (X4).
func (c *control) news(now dandeliongap.Instant) dandeliongap.Instant {
	for _, kind := range rolloutKinds {
		if c.presence.Newest(kind) > max(c.completeUpTo[kind], c.newestApplied[kind]) {
			return 0 // another VM has a newer change
		}
	}
	at := c.rollouts.answer
	for _, hb := range c.presence.Hubs(now) {
		if age, known := c.presence.Age(now, hb.VM); known && hb.VM == c.rollouts.leader && !hb.StoreFailing {
			at = max(at, now.Add(-age))
		}
	}
	return at
}

// tickRollouts does what is due for all rollouts: evidence, decisions of the leading VM and
// writes. It is called once per heartbeat interval.
func (c *control) tickRollouts(now dandeliongap.Instant) {
	e := c.e
	if e.rollouts == nil {
		return
	}
	r := &c.rollouts
	if leader := c.findLeader(now); leader != r.leader {
		r.leader = leader
		for _, en := range r.entries {
			en.reporter.reset()
		}
		e.log.event("rollout leader").Str("Rule", "X10").Str("Leader", string(leader)).Send()
	}
	for name, en := range r.entries {
		c.releaseOrder(now, name, en)
		c.admitOrder(now, name, en)
	}
	news := c.news(now)
	e.mu.Lock()
	e.rollouts.SetNews(news)
	bad := e.rollouts.Judge(now)
	open := e.rollouts.Open()
	e.mu.Unlock()
	for _, name := range bad {
		e.stats.add("RolloutsFoundBad")
		e.log.event("rollout target bad").Str("Rule", "X9").Str("Service", string(name)).Str("By", "own evidence").Send()
	}
	r.open = len(open) > 0
	leading := r.leader == e.opt.Settings.VM
	if polling := leading && len(open) > 0; r.polling.Swap(polling) != polling && polling {
		c.followers[dandeliongap.KindRolloutStates].sendHint() // ends a watch that waits longer
	}
	for name, en := range r.entries {
		if slices.Contains(open, name) {
			c.reportEvidence(name, en)
		}
		if leading {
			c.leadRollout(now, name, en)
		}
	}
}

// leadRollout does the work of the leading VM for a service.
func (c *control) leadRollout(now dandeliongap.Instant, name dandeliongap.ServiceName, en *rolloutEntry) {
	e := c.e
	if en.object.Name == "" {
		return
	}
	if !en.admitted {
		if en.err != nil || now.Sub(en.seenAt) > unknownServiceGrace && c.table != nil {
			c.writeStatus(name, en, dandeliongap.RolloutRolledBack)
		}
		return
	}
	e.mu.Lock()
	v := e.rollouts.View(name)
	rows := e.rollouts.Rows(name)
	undecided := e.rollouts.Undecided(now, name)
	e.mu.Unlock()
	if !v.Open {
		en.lead = nil
		return
	}
	if en.lead == nil {
		en.lead = dgrollout.NewLead(v.Since, v.Order, e.rollouts.Limits())
	}
	en.lead.Receive(e.opt.Settings.VM, e.boot, rows, v.Bad)
	if undecided {
		return
	}
	stored := en.state.Order == v.ID && en.state.Stage == v.Stage
	s := dgrollout.Situation{
		Now: now, Elapsed: now.Sub(v.Since), Stage: v.Stage, Replicas: v.Targets,
		LongestTime: c.longestTime(name), HubsUse: stored && c.hubsUse(now, en.stateVersion),
	}
	step := en.lead.Decide(s)
	c.logEvidence(now, name, v.ID, en, s)
	if en.lead.Bad() {
		e.mu.Lock()
		first := e.rollouts.SetBad(name, v.ID)
		e.mu.Unlock()
		if first {
			e.log.event("rollout target bad").Str("Rule", "X8").Str("Service", string(name)).Str("By", "leading VM").Send()
		}
		c.sendVerdict(name, v.ID, en)
	}
	switch {
	case stored && v.Stage == dgrollout.Completed:
		c.writeStatus(name, en, dandeliongap.RolloutCompleted)
	case stored && v.Stage == dgrollout.RolledBack:
		c.writeStatus(name, en, dandeliongap.RolloutRolledBack)
	case stored && step.Stage == v.Stage:
		c.writeStatus(name, en, dandeliongap.RolloutRunning)
	default:
		if step.Stage == v.Stage && step.Stage != dgrollout.Canary {
			step.Why = "written again" // the store was restored (X17)
		}
		c.writeState(name, en, dgrollout.State{
			Order: v.ID, Target: v.Order.Target, Duration: v.Order.Duration, Stage: step.Stage, Why: step.Why,
			OrderedUnixMs: time.Now().Add(-s.Elapsed).UnixMilli(),
		})
	}
}

// logEvidence logs what the decisions about a rollout are based on, from time to time.
func (c *control) logEvidence(now dandeliongap.Instant, name dandeliongap.ServiceName, id dandeliongap.Version, en *rolloutEntry, s dgrollout.Situation) {
	bad := en.lead.Bad()
	if now.Sub(en.logAt) < evidenceLogInterval && bad == en.loggedBad {
		return
	}
	en.logAt, en.loggedBad = now, bad
	against, total := en.lead.Evidence()
	e := c.e.log.event("rollout evidence").Str("Rule", "X8").Str("Service", string(name)).Uint64("Order", uint64(id)).Stringer("Stage", s.Stage).
		Dur("Elapsed", s.Elapsed).Int("Replicas", s.Replicas).Bool("HubsUse", s.HubsUse).Dur("LongestTime", s.LongestTime)
	e.Floats64("Against", against[:]).Floats64("Total", total[:])
	oldCounts, newCounts := en.lead.Counts()
	e.Interface("Old", oldCounts).Interface("New", newCounts).Send()
}

// hubsUse reports whether all hubs that are present use the change of a version (X11). A hub
// that takes no part in rollouts never does.
func (c *control) hubsUse(now dandeliongap.Instant, version dandeliongap.Version) bool {
	for _, hb := range c.presence.Hubs(now) {
		if hb.Seen[dandeliongap.KindRolloutStates] < version {
			return false
		}
	}
	return c.newestApplied[dandeliongap.KindRolloutStates] >= version
}

// beginWrite reports whether a write about a service may begin now.
func (r *rolloutControl) beginWrite(name dandeliongap.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes == nil {
		r.writes = make(map[dandeliongap.ServiceName]rolloutWrites)
	}
	w := r.writes[name]
	if time.Now().Before(w.notUntil) {
		return false
	}
	w.notUntil = time.Now().Add(2*storeCallTimeout + rolloutRetryDelay)
	r.writes[name] = w
	return true
}

// endWrite records the end of a write. The next one waits until the watch has brought the
// change, or longer with each failure.
func (r *rolloutControl) endWrite(name dandeliongap.ServiceName, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.writes[name]
	if err == nil {
		w.failed = 0
	} else {
		w.failed++
	}
	w.notUntil = time.Now().Add(min(rolloutRetryDelay<<min(w.failed, 10), maxRolloutRetryDelay))
	r.writes[name] = w
}

// writeState writes the state of a rollout if that in the store is the one that the decision
// was based on. What is in the store afterwards is applied.
func (c *control) writeState(name dandeliongap.ServiceName, en *rolloutEntry, st dgrollout.State) {
	if !c.rollouts.beginWrite(name) {
		return
	}
	body, err := json.Marshal(st)
	if err != nil {
		c.rollouts.endWrite(name, err)
		return
	}
	version := en.stateVersion
	c.e.stats.add("RolloutSteps")
	c.e.log.event("rollout decided").Str("Rule", "X10").Str("Service", string(name)).Str("Target", string(st.Target)).Uint64("Order", uint64(st.Order)).
		Stringer("Stage", st.Stage).Str("Why", st.Why).Uint64("Version", uint64(version)).Send()
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeCallTimeout)
		defer cancel()
		o := dandeliongap.Object{Name: dandeliongap.ObjectName(fmt.Sprintf("%s/%s", dandeliongap.KindRolloutStates, name)), Body: body}
		var err error
		o.Version, err = c.e.opt.Store.Put(ctx, o.Name, body, version)
		if errors.Is(err, dandeliongap.ErrConflict) || errors.Is(err, dandeliongap.ErrUnreachable) && !errors.Is(err, dandeliongap.ErrNotRun) {
			var getErr error
			if o, getErr = c.e.opt.Store.Get(ctx, o.Name); getErr == nil {
				err = nil
			}
		}
		if err == nil && o.Version > 0 {
			select {
			case c.batches <- batch{kind: dandeliongap.KindRolloutStates, unconfirmed: true, objects: []dandeliongap.Object{o}}:
			case <-c.ctx.Done():
			}
		}
		c.endRolloutWrite(name, "state", err)
	})
}

// writeStatus writes the status of an order, unless it says the same already. The state of
// the order must be in the store before (dgrollout X14).
func (c *control) writeStatus(name dandeliongap.ServiceName, en *rolloutEntry, state dandeliongap.RolloutState) {
	status := dandeliongap.RolloutStatus{State: state, Target: en.order.Target}
	if en.order.Status == status || en.held != nil || !c.rollouts.beginWrite(name) {
		return
	}
	object := en.object
	c.e.log.event("rollout status").Str("Rule", "X14").Str("Service", clip(string(name))).Str("Target", clip(string(status.Target))).
		Bool("Running", state == dandeliongap.RolloutRunning).Bool("Completed", state == dandeliongap.RolloutCompleted).Uint64("Version", uint64(object.Version)).Send()
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeCallTimeout)
		defer cancel()
		_, err := c.e.opt.Store.PutRolloutStatus(ctx, object, status)
		c.endRolloutWrite(name, "status", err)
	})
}

func (c *control) endRolloutWrite(name dandeliongap.ServiceName, what string, err error) {
	c.rollouts.endWrite(name, err)
	if err != nil {
		c.e.stats.add("RolloutWritesFailed")
		c.e.log.event("rollout write failed").Str("Service", clip(string(name))).Str("What", what).Err(err).Send()
	}
}
