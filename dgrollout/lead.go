package dgrollout

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// statusTime is the time for the two writes that end a rollout, with one repetition.
	statusTime = 1500 * time.Millisecond
	// minStepTime and maxStepTime bound the time of the stages Quarter and Half;
	// stepsPerDuration is the share of the duration that one of them takes in between.
	minStepTime      = 800 * time.Millisecond
	maxStepTime      = 5 * time.Second
	stepsPerDuration = 15
	// minLateTime and maxLateTime bound the time after the planned one that the stage All may
	// still begin: a single bad response just before a step delays it. Orders of more than
	// the shortest duration leave more.
	minLateTime = 900 * time.Millisecond
	maxLateTime = 3 * time.Second
	// endMargin is how long before the deadline a rollout that is not completed is rolled
	// back.
	endMargin = 300 * time.Millisecond
)

// proofFor is the degree to which the target must be proven before a stage (X10).
var proofFor = [...]float64{Quarter: 0.5, Half: 1, All: 3, Completed: 3}

// usableExposure is the share of the permitted exposure that the stages up to All may use.
// The rest is for the time until a version is rolled back that becomes bad in them.
const (
	usableExposure = 0.75
	passedExposure = 1.25
)

// maxRows limits the groups of one VM: 64 routes, 16 replicas and 4 stages.
const maxRows = 4096

// process identifies a process of a VM, whose counts begin at zero.
type process struct {
	vm   dandeliongap.VMName
	boot int64
}

// Lead is what the leading VM knows of a rollout. It is not safe for concurrent use.
type Lead struct {
	limits Limits
	order  dandeliongap.RolloutOrder
	test   *Test
	counts map[process]map[Key]Counts
	allAt  dandeliongap.Instant // when the stage All was first seen in the store; 0: not yet
	seenAt dandeliongap.Instant // since when all hubs have reported it; 0: not all do
	found  bool                 // the evidence of a VM alone shows that the target is bad (X9)
}

// NewLead returns the state of the leading VM for an order that begins at the given time.
func NewLead(begin dandeliongap.Instant, o dandeliongap.RolloutOrder, limits Limits) *Lead {
	return &Lead{limits: limits, order: o, test: NewTest(begin, badEvidence), counts: make(map[process]map[Key]Counts)}
}

// SetOrder replaces an order that is open by another one with the same target (X13).
func (l *Lead) SetOrder(o dandeliongap.RolloutOrder) {
	l.order, l.allAt, l.seenAt = o, 0, 0
}

// Receive takes in the counts of a VM. Rows that are missing have not changed. bad tells
// whether the VM has found that the target is bad.
func (l *Lead) Receive(vm dandeliongap.VMName, boot int64, rows []Row, bad bool) {
	l.found = l.found || bad
	p := process{vm, boot}
	counts := l.counts[p]
	if counts == nil {
		counts = make(map[Key]Counts)
		l.counts[p] = counts
	}
	for _, r := range rows {
		if len(counts) >= maxRows {
			break
		}
		counts[r.Key] = counts[r.Key].max(r.Counts)
	}
}

// Situation is what a decision of the leading VM depends on, besides the evidence.
type Situation struct {
	Now         dandeliongap.Instant
	Elapsed     time.Duration // since the write of the order
	Stage       Stage         // in the store
	Replicas    int           // replicas of the target
	LongestTime time.Duration // that a request may be at a replica
	HubsUse     bool          // all hubs that are present use the newest state
}

// Step is a decision of the leading VM.
type Step struct {
	Stage Stage  // unchanged if it is that of the Situation
	Why   string // reason, for the log and the stored state
}

// plan returns the times after the order at which the stages Quarter, Half and All begin, and
// the latest time for All.
func plan(duration, longest time.Duration) (quarter, half, all, latest time.Duration) {
	step := min(max(duration/stepsPerDuration, minStepTime), maxStepTime)
	latest = duration - longest - LearnTime - statusTime + minLateTime
	all = latest - min(max(step-time.Second, 0)+minLateTime, maxLateTime)
	return all - 2*step, all - step, all, latest
}

// Decide evaluates the evidence and returns the stage that the rollout should have (X10 to
// X12).
func (l *Lead) Decide(s Situation) Step {
	sum := make(map[Key]Counts)
	for _, counts := range l.counts {
		for k, c := range counts {
			sum[k] = sum[k].add(c)
		}
	}
	l.test.Update(s.Now, sum)
	keep := Step{Stage: s.Stage}
	fits := func(stage Stage) bool { return s.Elapsed >= cycle && l.fits(sum, s, stage) }
	quarter, half, all, latest := plan(l.order.Duration, s.LongestTime)
	switch {
	case s.Stage.Final():
		return keep
	case l.Bad():
		return Step{RolledBack, "the target is bad"}
	case s.Stage == All && l.test.Suspect() && l.nearLimit(sum, s):
		return Step{RolledBack, "the target may be bad, and the permitted exposure is used up"}
	case s.Elapsed >= l.order.Duration-endMargin:
		return Step{RolledBack, "not completed at the deadline"}
	case s.Replicas == 0 && s.Elapsed >= latest, s.Replicas == 0 && s.Stage == All:
		return Step{RolledBack, "no replica of the target"}
	case s.Stage < All && s.Elapsed >= latest:
		return Step{RolledBack, "too little evidence"}
	case s.Stage == Canary && (s.Elapsed >= quarter || fits(Quarter)) && l.test.Proven(proofFor[Quarter]):
		return Step{Quarter, "proven"}
	case s.Stage == Quarter && (s.Elapsed >= half || fits(Half)) && l.test.Proven(proofFor[Half]):
		return Step{Half, "proven"}
	case s.Stage == Half && s.Elapsed >= all && l.test.Tried() && (l.test.Proven(proofFor[All]) || fits(All) && l.test.Proven(proofFor[Half])):
		return Step{All, "proven"}
	case s.Stage == All:
		return l.complete(s)
	}
	return keep
}

// fits reports whether the exposure stays within the limits if the target gets the share of
// a stage until All, or all requests for half of the time that All takes, by which a bad
// version is found. A service with few requests, for which the slack is large, then need
// not wait for the planned time, or for the whole proof.
func (l *Lead) fits(sum map[Key]Counts, s Situation, stage Stage) bool {
	_, _, all, _ := plan(l.order.Duration, s.LongestTime)
	remaining := max(0, all-s.Elapsed)
	if stage == All {
		remaining = (LearnTime + s.LongestTime) / 2
	}
	return l.exposure(sum)+rate(sum, s)*stage.share()*remaining.Seconds() <= usableExposure*l.permitted(sum, s)
}

// nearLimit reports whether the exposure has come near to what a bad target may get, and not
// passed it by far: then a rollback could not keep it any more.
func (l *Lead) nearLimit(sum map[Key]Counts, s Situation) bool {
	used := l.exposure(sum) / l.permitted(sum, s)
	return used >= usableExposure && used <= passedExposure
}

// exposure returns the number of responses of the target.
func (l *Lead) exposure(sum map[Key]Counts) (n float64) {
	for k, c := range sum {
		if k.New {
			n += float64(c.Responses)
		}
	}
	return n
}

// rate returns the responses per second of both versions.
func rate(sum map[Key]Counts, s Situation) (n float64) {
	for _, c := range sum {
		n += float64(c.Responses)
	}
	return n / s.Elapsed.Seconds()
}

// permitted returns the number of requests that a bad target may get until the deadline.
func (l *Lead) permitted(sum map[Key]Counts, s Situation) float64 {
	return l.limits.Share*rate(sum, s)*l.order.Duration.Seconds() + l.limits.Slack
}

// complete returns the decision in the stage All (X11).
func (l *Lead) complete(s Situation) Step {
	if l.allAt == 0 {
		l.allAt = s.Now
	}
	switch {
	case !s.HubsUse:
		l.seenAt = 0
	case l.seenAt == 0:
		l.seenAt = s.Now
	}
	if l.seenAt == 0 || s.Now.Sub(max(l.seenAt, l.allAt.Add(LearnTime))) < s.LongestTime || !l.test.Proven(proofFor[Completed]) {
		return Step{Stage: All}
	}
	return Step{Completed, "all requests go to the target"}
}

// Bad reports whether the evidence shows that the target is bad.
func (l *Lead) Bad() bool { return l.found || l.test.Bad() }

// Counts returns the sums of all counts received, of the old versions and of the target.
func (l *Lead) Counts() (old, target Counts) {
	for _, counts := range l.counts {
		for k, c := range counts {
			if k.New {
				target = target.add(c)
			} else {
				old = old.add(c)
			}
		}
	}
	return old, target
}

// Evidence returns that of the test.
func (l *Lead) Evidence() (against, total [2]float64) { return l.test.Evidence() }
