package dgrollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgcatalog"
)

const (
	// cycle is the length of a cycle of X5.
	cycle = 3 * time.Second
	// slackShare is the share of Limits.Slack that canary requests may use (X3). The rest is
	// for the steps beyond the canary.
	slackShare = 0.5
	// initialSlack is the share of a VM's slack that is available when the first replica of
	// the target is no longer cold; all of it is after slackTime of the duration.
	initialSlack = 0.5
	slackTime    = 0.2

	// slowFactor is the multiple of the typical latency from which a response is slow (X7).
	// Bad versions take several times as long as the old one.
	slowFactor = 2.5
	// slowMargin is the least time above the typical latency: shorter delays are those of
	// scheduling.
	slowMargin = 5 * time.Millisecond
	// typicalWeight is the weight of a new sample in a typical latency, once there are more
	// than 1/typicalWeight.
	typicalWeight = 0.1
	// minTypical is the number of samples of a zone from which it has a typical latency of
	// its own. That of the route counts before.
	minTypical = 3
	// pauseTime is the longest pause of a healthy replica.
	pauseTime = 250 * time.Millisecond
)

// Outcome is how a request to a replica ended, as far as this tells about its version.
type Outcome uint8

// Outcomes.
const (
	NoEvidence Outcome = iota // not sent, refused for a reason that is normal, or abandoned early
	Succeeded
	Failed
	Unanswered // abandoned without a response; its age is a lower bound of the latency
)

// followed is the state of a service.
type followed struct {
	listed    bool                           // inUse was set from a list of replicas
	inUse     []dandeliongap.SoftwareVersion // X1
	order     dandeliongap.RolloutOrder      // newest; Target is empty if there is none
	id        dandeliongap.Version           // of the operator's write (X14)
	doubtful  bool                           // the order was read first in a grace period (X18)
	doubtEnd  dandeliongap.Instant           // end of that grace period
	open      bool                           // the order has not ended
	since     dandeliongap.Instant           // when the order was seen, or that it continues
	stage     Stage
	bad       bool // X9
	sent      float64
	sentNew   float64
	credit    float64 // of the target, in the stages Quarter and Half
	control   []dandeliongap.ZoneName
	counts    map[Key]Counts
	test      *Test
	typical   map[place]*latency
	pauses    map[dandeliongap.InstanceID]dandeliongap.Instant // start of the last request that was slow and counted
	targets   []dandeliongap.InstanceID                        // replicas of the target, sorted
	warmAt    dandeliongap.Instant                             // when the first of them is no longer cold
	resting   []dgbalance.Group                                // those of a request while no order is open
	hasOthers bool                                             // there are replicas of other versions
}

// Local decides which versions the requests of one VM may go to, and counts how they
// end. It is not safe for concurrent use.
type Local struct {
	limits   Limits
	share    float64 // of the slack that this VM has
	news     dandeliongap.Instant
	graceEnd dandeliongap.Instant // X15 to X18 apply until then
	services map[dandeliongap.ServiceName]*followed
	replicas map[dandeliongap.ServiceName][]dandeliongap.Instance
}

// NewLocal returns the state of a VM that knows no replicas and orders.
func NewLocal(limits Limits) *Local {
	return &Local{limits: limits, services: make(map[dandeliongap.ServiceName]*followed)}
}

// Limits returns the limits.
func (l *Local) Limits() Limits { return l.limits }

// SetShare sets the share of the common slack that this VM has (dgroster.AllowanceShare).
func (l *Local) SetShare(share float64) { l.share = share }

// SetNews records when something newer was received from the store or the leading VM (X4).
func (l *Local) SetNews(at dandeliongap.Instant) { l.news = max(l.news, at) }

func (l *Local) fresh(now dandeliongap.Instant) bool {
	limit := FreshFor
	if l.limits.Rollback > 0 {
		limit = min(limit, l.limits.Rollback/2)
	}
	return now.Sub(l.news) <= limit
}

// BeginEra records that the next list of orders is the first of an era of the store, or the
// first that this VM reads while the store has eras.
func (l *Local) BeginEra(now dandeliongap.Instant) {
	l.graceEnd = now.Add(dgcatalog.ReregistrationGrace)
}

// Holds reports whether a list that has the order o for a service, nil if none, is not
// followed yet (X16).
func (l *Local) Holds(now dandeliongap.Instant, name dandeliongap.ServiceName, o *dandeliongap.RolloutOrder) bool {
	s := l.services[name]
	return now < l.graceEnd && s != nil && s.order.Version > 0 && (o == nil || !sameContent(s.order, *o))
}

// Undecided reports whether the order of a service may be one of an earlier era that this VM
// does not know (X18).
func (l *Local) Undecided(now dandeliongap.Instant, name dandeliongap.ServiceName) bool {
	s := l.services[name]
	return s != nil && s.doubtful && now < s.doubtEnd
}

func (l *Local) service(name dandeliongap.ServiceName) *followed {
	s := l.services[name]
	if s == nil {
		s = &followed{typical: make(map[place]*latency)}
		l.services[name] = s
	}
	return s
}

// SetReplicas replaces the replicas of all services (X1).
func (l *Local) SetReplicas(now dandeliongap.Instant, list []dandeliongap.Instance) {
	l.replicas = make(map[dandeliongap.ServiceName][]dandeliongap.Instance)
	for _, in := range list {
		l.replicas[in.Service] = append(l.replicas[in.Service], in)
		l.service(in.Service)
	}
	for name, s := range l.services {
		l.update(name, s)
		s.warmAt = 0
		for _, in := range l.replicas[name] {
			if at := now.Add(in.ColdRemaining); in.Software == s.order.Target && (s.warmAt == 0 || at < s.warmAt) {
				s.warmAt = at
			}
		}
	}
}

// update works out what follows from the replicas and the order of a service.
func (l *Local) update(name dandeliongap.ServiceName, s *followed) {
	list := l.replicas[name]
	if !s.listed && len(list) > 0 {
		s.listed = true
		for _, in := range list {
			if !slices.Contains(s.inUse, in.Software) {
				s.inUse = append(s.inUse, in.Software)
			}
		}
	}
	s.targets, s.hasOthers = nil, false
	defer s.updateResting()
	if s.order.Target == "" {
		return
	}
	if !s.open && s.order.Status.State == dandeliongap.RolloutCompleted || s.stage == Completed {
		s.inUse, s.listed = []dandeliongap.SoftwareVersion{s.order.Target}, true
	} else {
		s.inUse = slices.DeleteFunc(s.inUse, func(v dandeliongap.SoftwareVersion) bool { return v == s.order.Target })
	}
	for _, in := range list {
		if in.Software == s.order.Target {
			s.targets = append(s.targets, in.ID)
		} else {
			s.hasOthers = true
		}
	}
	slices.Sort(s.targets)
}

// updateResting works out the groups of a request while no order is open.
func (s *followed) updateResting() {
	rolledBack := s.order.Target != "" && s.order.Status.State != dandeliongap.RolloutCompleted
	s.resting = s.oldGroups(rolledBack, true)
}

// SetOrder sets the newest order of a service. An object version that is not newer is
// ignored. It reports whether the order is open and was not known before (X14).
func (l *Local) SetOrder(now dandeliongap.Instant, o dandeliongap.RolloutOrder) (begins bool) {
	s := l.service(o.Service)
	old, wasOpen := s.order, s.open
	if o.Version <= old.Version {
		return false
	}
	if now < l.graceEnd && sameContent(old, o) {
		s.order = o
		if s.stage.Final() {
			s.open = !ended(o) || finalStage(o) != s.stage
		}
		if s.open && s.test == nil {
			s.clearEvidence(now) // the VM started after the end of the order
		}
		l.update(o.Service, s)
		return false
	}
	if continues(old, o) {
		s.order = o
		if ended(o) {
			s.open, s.stage = false, finalStage(o)
		}
		l.update(o.Service, s)
		return false
	}
	// Only the tier writes the status. An order that has ended and is written again with the
	// same status is a new one.
	rewritten := old.Version > 0 && ended(old) && old.Status == o.Status && !wasOpen
	s.order, s.id, s.open, s.doubtful = o, o.Version, !ended(o) || rewritten, now < l.graceEnd
	s.doubtEnd = l.graceEnd
	s.begin(now, wasOpen && old.Target == o.Target)
	l.update(o.Service, s)
	return s.open
}

// continues reports whether a change of an object is a write of the status (X14).
func continues(old, o dandeliongap.RolloutOrder) bool {
	status := ownStatus(o)
	return sameContent(old, o) && status != dandeliongap.RolloutNone && status != ownStatus(old) &&
		(!ended(old) || ended(o))
}

// begin sets the state of a new order. same tells whether the order before was open and had
// the same target (X13).
func (s *followed) begin(now dandeliongap.Instant, same bool) {
	if s.stage = Canary; s.open {
		if !same {
			s.sent, s.sentNew, s.credit, s.control = 0, 0, 0, nil
			s.clearEvidence(now)
			s.bad = false
		}
		s.since = now
	} else if s.order.Target != "" {
		s.stage = finalStage(s.order)
	}
}

func (s *followed) clearEvidence(now dandeliongap.Instant) {
	s.counts, s.test = make(map[Key]Counts), NewTest(now, ownBadEvidence)
	s.pauses = make(map[dandeliongap.InstanceID]dandeliongap.Instant)
}

// Withdraw records that an order was deleted.
func (l *Local) Withdraw(name dandeliongap.ServiceName, version dandeliongap.Version) {
	s := l.service(name)
	if version <= s.order.Version {
		return
	}
	s.order, s.id, s.open, s.stage, s.bad = dandeliongap.RolloutOrder{Service: name, Version: version}, version, false, Canary, false
	l.update(name, s)
}

// Adopt takes the version of an order from the state that the store holds at a version, if
// this VM has seen less of the order than the leading VM that wrote the state (X14). It
// reports whether it does.
func (l *Local) Adopt(now dandeliongap.Instant, name dandeliongap.ServiceName, st State, version dandeliongap.Version) bool {
	s := l.service(name)
	ordered := dandeliongap.RolloutOrder{Target: st.Target, Duration: st.Duration}
	later := ownStatus(s.order) != dandeliongap.RolloutNone || version > s.order.Version ||
		s.doubtful && now < s.doubtEnd && st.Order.Era() < s.id.Era()
	carried := s.id.Era() < s.order.Version.Era() // X15; a later state is of a VM that does not know
	if !s.open || !sameContent(ordered, s.order) || st.Order == s.id || st.Order > s.order.Version || !later || carried && st.Order > s.id {
		return false
	}
	s.id, s.doubtful = st.Order, false
	s.begin(now, true)
	l.update(name, s)
	return true
}

// Recall takes over what another VM knows of an order from an earlier era (X18). It reports
// whether the version or the stage of the order changed.
func (l *Local) Recall(now dandeliongap.Instant, name dandeliongap.ServiceName, st State) (changed bool) {
	s := l.services[name]
	ordered := dandeliongap.RolloutOrder{Target: st.Target, Duration: st.Duration}
	if s == nil || !s.open || !sameContent(ordered, s.order) || st.Order.Era() >= s.order.Version.Era() {
		return false
	}
	if s.doubtful && st.Order < s.id {
		s.id, s.doubtful = st.Order, false
		s.begin(now, true)
		l.update(name, s)
		changed = true
	}
	return l.SetState(name, st) || changed
}

// SetState applies the state of a rollout as the store holds it. A state of another order
// than the newest is ignored, and so is an earlier stage. It reports whether the stage changed.
func (l *Local) SetState(name dandeliongap.ServiceName, st State) (changed bool) {
	s := l.service(name)
	if !s.open || st.Order != s.id || s.stage.Final() || st.Stage <= s.stage {
		return false
	}
	s.stage, s.credit = st.Stage, 0
	if s.stage.Final() && ended(s.order) && finalStage(s.order) == s.stage {
		s.open = false // the status was read first, in a grace period
	}
	l.update(name, s)
	return true
}

// SetBad records that the leading VM takes the target of an order as bad (X9).
func (l *Local) SetBad(name dandeliongap.ServiceName, order dandeliongap.Version) (changed bool) {
	s := l.services[name]
	if s == nil || !s.open || s.id != order || s.bad {
		return false
	}
	s.bad = true
	return true
}

// Groups returns the groups of replicas that a request may go to, the preferred one first.
// extra tells whether it is a retry or a hedge. Nil means that any replica may be used.
func (l *Local) Groups(now dandeliongap.Instant, name dandeliongap.ServiceName, extra bool) []dgbalance.Group {
	s := l.services[name]
	if s == nil {
		return nil
	}
	if !s.open {
		return s.resting
	}
	target := []dandeliongap.SoftwareVersion{s.order.Target}
	switch {
	case s.stage == Completed:
		return []dgbalance.Group{{Only: target}}
	case s.bad || s.stage == RolledBack:
		return s.oldGroups(true, extra)
	case s.stage == All:
		return []dgbalance.Group{{Only: target}}
	case !l.fresh(now) || extra || len(s.targets) == 0 || s.doubtful && now < s.doubtEnd || !s.permits(now, l.limits, l.share):
		return s.oldGroups(true, extra)
	}
	groups := make([]dgbalance.Group, 0, 5)
	if focus := s.focus(now); focus != "" {
		groups = append(groups, dgbalance.Group{Only: target, Replica: focus})
	}
	return append(append(groups, dgbalance.Group{Only: target}), s.oldGroups(true, extra)...)
}

// oldGroups returns the groups of a request that does not go to the target (X2, X6).
func (s *followed) oldGroups(notTarget, extra bool) []dgbalance.Group {
	var others dgbalance.Group
	if notTarget && s.hasOthers {
		others.Not = []dandeliongap.SoftwareVersion{s.order.Target}
	}
	if len(s.inUse) == 0 {
		return []dgbalance.Group{others}
	}
	groups := make([]dgbalance.Group, 0, 3)
	if len(s.control) > 0 && !extra {
		groups = append(groups, dgbalance.Group{Only: s.inUse, Zone: s.control[0]})
	}
	others.Fallback = true
	return append(groups, dgbalance.Group{Only: s.inUse}, others)
}

// permits reports whether the next request may go to the target (X3, X5).
func (s *followed) permits(now dandeliongap.Instant, limits Limits, share float64) bool {
	if s.stage != Canary {
		return s.credit+s.stage.share() >= 1
	}
	elapsed := now.Sub(s.since)
	if elapsed >= s.order.Duration {
		return false
	}
	if phase := elapsed % cycle; phase >= cycle/3 && phase < 2*cycle/3 {
		return false
	}
	part := 0.0
	if warm := now.Sub(max(s.since, s.warmAt)); warm >= 0 {
		part = min(1, initialSlack+(1-initialSlack)*float64(warm)/(slackTime*float64(s.order.Duration)))
	}
	return s.sentNew+1 <= limits.Share*(s.sent+1)+limits.Slack*slackShare*share*part
}

// focus returns the replica on which canary requests are concentrated now, "" if on none.
func (s *followed) focus(now dandeliongap.Instant) dandeliongap.InstanceID {
	elapsed := now.Sub(s.since)
	if elapsed%cycle < 2*cycle/3 || s.stage.share()*float64(len(s.targets)) > 1 {
		return "" // not more than the replica gets in the stage All
	}
	return s.targets[int(elapsed/cycle)%len(s.targets)]
}

// Sent records that a request is sent to a replica. It reports whether this is one of the
// target of an open order.
func (l *Local) Sent(in *dandeliongap.Instance) (toTarget bool) {
	s := l.services[in.Service]
	if s == nil || !s.open {
		return false
	}
	s.sent++
	s.credit = min(1, s.credit+s.stage.share())
	switch {
	case in.Software == s.order.Target:
		s.sentNew++
		s.credit--
		if !slices.Contains(s.control, in.Zone) {
			s.control = append(s.control, in.Zone)
		}
	case len(s.control) > 0:
		s.control = s.control[1:]
	}
	return in.Software == s.order.Target
}

// NotSent records that a request did not reach its replica, after Sent.
func (l *Local) NotSent(in *dandeliongap.Instance, at dandeliongap.Instant) {
	if s := l.services[in.Service]; s != nil && s.open && at >= s.since && in.Software != s.order.Target {
		s.sent = max(0, s.sent-1)
	}
}

// Ended records the end of a request that was sent to a replica at the given time (X7).
// cold tells whether the replica was in cold start then.
func (l *Local) Ended(now dandeliongap.Instant, route dandeliongap.RouteName, in *dandeliongap.Instance, at dandeliongap.Instant, cold bool, outcome Outcome) {
	s := l.services[in.Service]
	if s == nil || outcome == NoEvidence {
		return
	}
	isNew := s.order.Target != "" && in.Software == s.order.Target && (s.open || s.order.Status.State != dandeliongap.RolloutCompleted)
	took, typical := now.Sub(at), s.typicalLatency(route, in.Zone)
	if !isNew && !cold && outcome == Succeeded {
		for _, p := range []place{{route, ""}, {route, in.Zone}} {
			if s.typical[p] == nil {
				s.typical[p] = &latency{}
			}
			s.typical[p].add(took)
		}
	}
	if !s.open || at < s.since || !isNew && !slices.Contains(s.inUse, in.Software) {
		return
	}
	var c Counts
	if outcome != Unanswered {
		c.Responses = 1
	}
	if outcome == Failed {
		c.Failures = 1
	} else if typical > 0 && !cold {
		slow := took > max(time.Duration(slowFactor*float64(typical)), typical+slowMargin)
		paused, known := s.pauses[in.ID]
		switch {
		case !slow && outcome == Succeeded:
			c.Timed = 1
		case slow && !(known && at >= paused && at.Sub(paused) <= pauseTime):
			c.Timed, c.Slow = 1, 1
			s.pauses[in.ID] = at
		}
	}
	if c == (Counts{}) {
		return
	}
	k := Key{route, in.ID, in.Zone, s.stage, isNew}
	s.counts[k] = s.counts[k].add(c)
}

// latency is the typical latency of the old versions.
type latency struct {
	typical time.Duration
	samples int
}

func (l *latency) add(took time.Duration) {
	if l.samples++; l.samples == 1 {
		l.typical = took
		return
	}
	weight := max(typicalWeight, 1/float64(l.samples))
	l.typical += time.Duration(weight * float64(min(took, 4*l.typical)-l.typical))
}

// typicalLatency returns the typical latency of the old versions, 0 if it is unknown.
func (s *followed) typicalLatency(route dandeliongap.RouteName, zone dandeliongap.ZoneName) time.Duration {
	if l := s.typical[place{route, zone}]; l != nil && l.samples >= minTypical {
		return l.typical
	}
	if l := s.typical[place{route, ""}]; l != nil {
		return l.typical
	}
	return 0
}

// Judge evaluates the own evidence about all open orders and returns the services whose
// target it shows to be bad only now (X9).
func (l *Local) Judge(now dandeliongap.Instant) (bad []dandeliongap.ServiceName) {
	for name, s := range l.services {
		if !s.open || s.bad {
			continue
		}
		s.test.Update(now, s.counts)
		if s.test.Bad() {
			s.bad = true
			bad = append(bad, name)
		}
	}
	slices.Sort(bad)
	return bad
}

// Open returns the services with an open order, sorted.
func (l *Local) Open() (names []dandeliongap.ServiceName) {
	for name, s := range l.services {
		if s.open {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// View describes the rollout of a service on this VM.
type View struct {
	Order   dandeliongap.RolloutOrder
	ID      dandeliongap.Version // of the operator's write (X14)
	Open    bool
	Since   dandeliongap.Instant
	Stage   Stage
	Bad     bool
	Targets int // replicas of the target
	Sent    float64
	SentNew float64
	InUse   []dandeliongap.SoftwareVersion
}

// View returns the rollout of a service.
func (l *Local) View(name dandeliongap.ServiceName) View {
	s := l.services[name]
	if s == nil {
		return View{}
	}
	return View{s.order, s.id, s.open, s.since, s.stage, s.bad, len(s.targets), s.sent, s.sentNew, slices.Clone(s.inUse)}
}

// Begin makes an order count as seen earlier than it was, on a VM that started during
// the rollout.
func (l *Local) Begin(name dandeliongap.ServiceName, at dandeliongap.Instant) {
	if s := l.services[name]; s != nil && s.open {
		s.since = min(s.since, at)
	}
}

// Rows returns the counts of a service, sorted.
func (l *Local) Rows(name dandeliongap.ServiceName) []Row {
	s := l.services[name]
	if s == nil || !s.open {
		return nil
	}
	rows := make([]Row, 0, len(s.counts))
	for _, k := range slices.SortedFunc(maps.Keys(s.counts), compareKeys) {
		rows = append(rows, Row{k, s.counts[k]})
	}
	return rows
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Zone, b.Zone))
}
