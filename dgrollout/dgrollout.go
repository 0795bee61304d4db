// Package dgrollout decides how the traffic of a service moves to a new version of its
// backend servers, and whether it moves back. An operator orders a rollout; the target is
// the version that the order names. Every VM sends a bounded part of its requests to the
// target, the canary requests, and counts how they end. The leading VM compares both
// versions with a sequential test and moves the traffic in steps.
//
// Rules:
//
//	X1  The versions in use of a service are those of its replicas when the VM first
//	    listed them, without the target of an order that is not completed. When an order
//	    is completed, its target is the only version in use.
//	X2  A replica of another version gets no request while a replica of a version in use
//	    is usable. The target of an order that is not completed gets only what X3 to X5
//	    allow, unless the service has no replicas of another version.
//	X3  In the stage Canary, a VM sends to the target at most Limits.Share of the
//	    requests that it has sent to the service since the order, plus its share of half
//	    of Limits.Slack. The slack becomes available gradually once a replica of the target
//	    is no longer cold. This bounds the exposure of all VMs together without
//	    communication. Retries and hedges go to the old versions.
//	X4  A VM that has received nothing newer for FreshFor (at most half of
//	    Limits.Rollback), from the store or from the leading VM, sends nothing to the target
//	    before the stage All. In that stage it goes on sending to the target: it has
//	    reported that it does, and the old replicas may be stopped without notice (X11).
//	X5  Canary requests come in cycles. For one third of a cycle they are sent as the
//	    permits come in, for one third the permits are saved, and in the last third they
//	    are spent at one replica, so that a version that is bad only under load is found.
//	    The cycles begin with the order, so that the VMs do this at the same time.
//	X6  After a request to the target in a zone, the VM sends one request to the old
//	    versions in the same zone. A zone that is slow, and that load balancing avoids,
//	    then has responses of both versions to compare.
//	X7  A response is a failure if the replica failed the request. It is slow if it took
//	    slowFactor times the typical latency of the old versions on its route and in its zone. Latency
//	    says nothing while a replica is cold. Slow responses of one replica whose
//	    requests were sent within one pause count once.
//	X8  The test takes each response of the target as evidence. Its weight is the
//	    logarithm of the ratio of two likelihoods: that the share of bad responses
//	    exceeds that of the old versions, on the same route, in the same zone and at the
//	    same time, by failureExcess (slowExcess), and that it does not. The target is bad
//	    if the evidence since its lowest point exceeds badEvidence, or that on one route
//	    routeBadEvidence, or twice that while the old versions get no requests. It is proven to a degree by evidence below the
//	    limit of the stage, with no route that speaks against it. Failures and slow
//	    responses are tested apart.
//	    Error probabilities, for an order of 15 s and 8 to 45 requests a second: at most 1
//	    of 100 good versions is taken as bad, and at most 1 of 100 versions is completed of
//	    which 30% of the responses fail or all are several times slower
//	    (TestErrorProbabilities). Of good versions at 20 requests a second and more, at
//	    least 9 of 10 are completed in time; the others lack evidence.
//	X9  A VM whose own evidence shows that the target is bad, or that the leading VM told
//	    so, sends nothing more to it.
//	X10 The leading VM moves the stage forward by conditional writes to the store: Canary,
//	    Quarter, Half, All. The steps are planned backwards from the deadline, as late as X11
//	    allows, since a version may become bad only later. The test goes on in each. A step
//	    waits until the version is proven to the degree of the stage. Quarter and Half begin
//	    earlier if the exposure stays within the limits until All all the same: a service with
//	    few requests otherwise lacks evidence.
//	X11 In the stage All, every VM sends all requests to the target. The rollout is
//	    completed when all hubs that are present use that stage, VMs that stand by have had
//	    LearnTime, and the longest request that an old replica may still have had its time.
//	X12 The rollout is rolled back if the target is bad, if it may be bad (suspectEvidence)
//	    while the exposure comes near to the limit, if it is not proven in time, if it has
//	    no replica by then, or at the deadline. A state that is final is never changed
//	    for the same order; the status of the order follows it and may be written by any
//	    later leading VM.
//	X13 A new order for the service takes the place of the old one. If the old one was
//	    open and the target is the same, counts and evidence continue. Otherwise the new
//	    target starts from zero.
//	X14 An order is identified by the version of the operator's write. A change of the
//	    object that keeps the content (target and duration) and brings another status is a
//	    write of the status, and not a new order, unless it takes back an end. The leading
//	    VM first writes a state with the version of the order and its content, and then
//	    the status running. A VM that saw only the status, or that missed a repeated write
//	    of the operator, takes the version from that state.
//
// When the store was restored from an older copy, a new era begins (package dgrestore). The
// grace period is dgcatalog.ReregistrationGrace from the first list of orders of the era, and
// of a VM that starts.
//
//	X15 An order that is read in the grace period with the content of the known one is the
//	    same order, whatever its version and status: stage, deadline, evidence and exposure
//	    continue. If it had ended, it stays ended, and its status is written again. An end
//	    that only the copy knows does not end it.
//	X16 An order that is missing from a list in the grace period, or that has another content
//	    there, is kept until its end. A removal or a new order that is read as a change takes
//	    effect at once.
//	X17 The stage of an order stays the latest that the VM knows, whatever state the copy
//	    has. The leading VM writes the state again, before a status. Until then no hub
//	    counts as using it (X11).
//	X18 A VM that knows an order from an earlier era tells the leading VM its version and
//	    stage while the state in the store is another one. A VM that read the order first in
//	    the grace period takes both from there, or from a state of an earlier era. Until the
//	    grace period ends it sends no canary requests for the order, and decides nothing.
package dgrollout

import (
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// FreshFor is how long a VM goes on sending to the target without news (X4).
	FreshFor = 2 * time.Second
	// LearnTime is the time in which VMs that stand by learn of a stage (X11): two questions
	// to hubs, 500 ms apart, and a pull of at most 500 ms.
	LearnTime = 2 * time.Second
	// MaxDuration is the longest duration of an order.
	MaxDuration = 24 * time.Hour
	// TickInterval is the interval at which VMs send evidence and the leading VM evaluates it.
	TickInterval = 500 * time.Millisecond
)

// Limits bound the exposure to a target.
type Limits struct {
	Share float64 // of the requests to the service; 0: rollouts are off
	Slack float64 // additional requests, of all VMs together
	// Rollback is the time after which no VM sends to a bad target any more; 0: not limited.
	Rollback time.Duration
}

// Stage is the stage of a rollout.
type Stage uint8

// Stages, in the order in which a rollout passes through them.
const (
	Canary Stage = iota
	Quarter
	Half
	All
	Completed
	RolledBack
)

var stageNames = [...]string{"canary", "quarter", "half", "all", "completed", "rolled back"}

// String returns the name that log lines and the stored state use.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error wraps ErrInvalid.
func (s *Stage) UnmarshalText(text []byte) error {
	i := slices.Index(stageNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("stage %.60q: %w", text, dandeliongap.ErrInvalid)
	}
	*s = Stage(i)
	return nil
}

// Final reports whether the rollout has ended.
func (s Stage) Final() bool { return s >= Completed }

// share returns the share of the requests that the target gets in a stage after Canary.
func (s Stage) share() float64 {
	switch s {
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case All, Completed:
		return 1
	default:
		return 0
	}
}

// State is the state of a rollout as the store holds it.
type State struct {
	Order    dandeliongap.Version // version of the operator's write (X14)
	Target   dandeliongap.SoftwareVersion
	Duration time.Duration // of the order
	Stage    Stage
	Why      string `json:",omitempty"` // reason for the last change
	// OrderedUnixMs is when the leading VM saw the order, Unix milliseconds by its clock. A
	// VM that starts during the rollout estimates the deadline from it.
	OrderedUnixMs int64
}

// Check returns an error that wraps ErrInvalid if an order cannot be executed.
// knownService tells whether the configuration has its service.
func Check(o dandeliongap.RolloutOrder, knownService bool) error {
	switch {
	case !knownService:
		return fmt.Errorf("service %.60q is not in the configuration: %w", o.Service, dandeliongap.ErrInvalid)
	case o.Target == "":
		return fmt.Errorf("no target version: %w", dandeliongap.ErrInvalid)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("duration %v, want more than 0 and at most %v: %w", o.Duration, MaxDuration, dandeliongap.ErrInvalid)
	}
	return nil
}

// ended reports whether the status of an order says that it has ended.
func ended(o dandeliongap.RolloutOrder) bool { return ownStatus(o) >= dandeliongap.RolloutCompleted }

// ownStatus returns the state in the status of an order, RolloutNone if the status is that of
// another target.
func ownStatus(o dandeliongap.RolloutOrder) dandeliongap.RolloutState {
	if o.Status.Target != o.Target {
		return dandeliongap.RolloutNone
	}
	return o.Status.State
}

// finalStage returns the stage of an order that has ended.
func finalStage(o dandeliongap.RolloutOrder) Stage {
	if ownStatus(o) == dandeliongap.RolloutCompleted {
		return Completed
	}
	return RolledBack
}

// sameContent reports whether an operator wrote the same in two orders.
func sameContent(a, b dandeliongap.RolloutOrder) bool {
	return a.Target != "" && a.Target == b.Target && a.Duration == b.Duration
}

// Key identifies a group of responses whose counts are added up.
type Key struct {
	Route   dandeliongap.RouteName
	Replica dandeliongap.InstanceID
	Zone    dandeliongap.ZoneName // of the replica
	Stage   Stage
	New     bool // the replica has the target version
}

// Counts are cumulative counts of responses since the order.
type Counts struct {
	Responses, Failures uint32
	Timed, Slow         uint32 // responses whose latency counts; the slow ones among them
}

// max returns the larger of each count. Counts only grow, so that it is the newer one.
func (c Counts) max(d Counts) Counts {
	return Counts{max(c.Responses, d.Responses), max(c.Failures, d.Failures), max(c.Timed, d.Timed), max(c.Slow, d.Slow)}
}

func (c Counts) add(d Counts) Counts {
	return Counts{c.Responses + d.Responses, c.Failures + d.Failures, c.Timed + d.Timed, c.Slow + d.Slow}
}

// Row is a group with its counts.
type Row struct {
	Key
	Counts
}
