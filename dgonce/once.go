package dgonce

import (
	"encoding/json"
	"errors"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Parameters of the rules.
const (
	// MaxAnswer is the largest answer that a record stores, in bytes. Its JSON form
	// is 4/3 as large and stays below the platform's limit of one megabyte.
	MaxAnswer = 512 << 10
	// MaxPlatformFailures is the number of failed calls in a row after which the
	// platform counts as unreachable (O7).
	MaxPlatformFailures = 3
	// RetryDelay is the delay before the second retry of a failed call. The first
	// retry is immediate.
	RetryDelay = 20 * time.Millisecond
	// RecordWait is the longest time for which the outcome "not run" is held back
	// until it is recorded, so that a repeat by the caller finds it.
	RecordWait = 100 * time.Millisecond
	// CleanUpDelay and CleanUpDelayMax are the first and the longest delay between
	// attempts to record the final state (O9, O10). After CleanUpAttempts failures in
	// a row the record stays as it is.
	CleanUpDelay    = 500 * time.Millisecond
	CleanUpDelayMax = 30 * time.Second
	CleanUpAttempts = 10
	// PlatformRetryAfter is the Retry-After for callers while the platform is
	// unreachable.
	PlatformRetryAfter = time.Second
)

// phase is the progress of a request.
type phase uint8

const (
	idle      phase = iota
	claiming        // creates or takes over the record
	running         // Run was emitted
	recording       // records the final state
	settled
)

// call is the kind of the platform call under way.
type call uint8

const (
	noCall call = iota
	putCall
	getCall
)

// Once is the state machine of one attempt at a non-idempotent request. Its zero
// value is ready for Start. It is not safe for concurrent use. Methods with a dst
// argument append their actions to dst and return it. At most one Put or Get is
// under way at a time; the driver limits the duration of each. The driver calls
// Tick at the instant that Next returns, until Settled returns true.
type Once struct {
	req        Request
	recordName dandeliongap.ObjectName
	want       Record // written by the next Put

	phase         phase
	runEmitted    bool
	finishEmitted bool

	pendingCall  call
	lastPutState RecordState          // record state written by the last Put
	version      dandeliongap.Version // version of the record, for IfVersion of the next Put
	owned        bool                 // the record belongs to this attempt
	// putInDoubt reports that the answer to a Put of this attempt was lost and that
	// the Put may still take effect if the record has version doubtVersion.
	putInDoubt   bool
	doubtVersion dandeliongap.Version
	readBack     bool                 // the next retry reads the record
	failures     int                  // failed calls in a row
	retryAt      dandeliongap.Instant // time of the next retry; 0: none

	pendingFinish Action               // held back until the outcome is recorded
	finishBy      dandeliongap.Instant // latest time at which pendingFinish is emitted; 0: none is pending
}

// Start begins the attempt. It is called once.
func (o *Once) Start(now dandeliongap.Instant, r Request, dst []Action) []Action {
	o.req = r
	o.recordName = RecordName(r.Service, r.Key)
	o.want = Record{Attempt: r.AttemptID, VM: r.VM, BodyHash: hash(r.Body), State: Started}
	o.phase = claiming
	if now >= r.Deadline {
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	return o.put(RuleCreate, dst)
}

// PutDone handles the result of the Put under way.
func (o *Once) PutDone(now dandeliongap.Instant, v dandeliongap.Version, err error, dst []Action) []Action {
	if o.pendingCall != putCall {
		return dst
	}
	o.pendingCall = noCall
	if o.finishBy != 0 {
		dst = o.emitFinish(o.pendingFinish, dst)
	}
	switch {
	case err == nil:
		o.failures, o.version, o.owned, o.putInDoubt = 0, v, true, false
		return o.handleOwnRecord(now, o.lastPutState, dst)
	case errors.Is(err, dandeliongap.ErrConflict):
		o.failures = 0
		if o.phase == recording && !o.putInDoubt && !o.owned {
			return o.settle(dst)
		}
		return o.get(dst)
	case errors.Is(err, dandeliongap.ErrTooLarge) && o.want.Answer != nil:
		o.want.Answer, o.want.TooLarge = nil, true
		return o.put(RuleOutcome, dst)
	case errors.Is(err, dandeliongap.ErrNotRun), errors.Is(err, dandeliongap.ErrTooLarge):
		return o.handleCallFailure(now, dst)
	default:
		o.putInDoubt, o.doubtVersion, o.readBack = true, o.version, true
		return o.handleCallFailure(now, dst)
	}
}

// GetDone handles the result of the Get under way.
func (o *Once) GetDone(now dandeliongap.Instant, obj dandeliongap.Object, err error, dst []Action) []Action {
	if o.pendingCall != getCall {
		return dst
	}
	o.pendingCall = noCall
	missing := errors.Is(err, dandeliongap.ErrNotFound) || err == nil && obj.Deleted
	if err != nil && !missing {
		return o.handleCallFailure(now, dst)
	}
	o.failures, o.readBack = 0, false
	if missing {
		return o.handleMissingRecord(dst)
	}
	var rec Record
	if json.Unmarshal(obj.Body, &rec) != nil || rec.Attempt == "" {
		return o.finishAndSettle(dandeliongap.OutcomeUnknown, dandeliongap.ReasonBroken, nil, RuleOtherAttempt, dst)
	}
	if rec.Attempt == o.req.AttemptID {
		o.version, o.owned, o.putInDoubt = obj.Version, true, false
		return o.handleOwnRecord(now, rec.State, dst)
	}
	o.owned = false
	o.putInDoubt = o.putInDoubt && o.doubtVersion == obj.Version
	o.version = obj.Version
	if o.phase == claiming {
		return o.handleOtherRecord(rec, dst)
	}
	if o.putInDoubt {
		// The lost Put, a takeover, may still take effect. This Put prevents that,
		// because both have the same condition.
		return o.put(RuleCleanUp, dst)
	}
	return o.settle(dst)
}

// RunDone handles the outcome of the run. The driver passes OutcomeNotRun only if
// no backend server can have run the request.
func (o *Once) RunDone(now dandeliongap.Instant, out dandeliongap.Outcome, reason dandeliongap.Reason, retryAfter time.Duration, body []byte, dst []Action) []Action {
	if o.phase != running {
		return dst
	}
	o.phase = recording
	switch {
	case out == dandeliongap.OutcomeNotRun:
		o.want.State = NotRun
	case out != dandeliongap.OutcomeAnswered:
		o.want.State = Unknown
	case len(body) > MaxAnswer:
		o.want.State, o.want.TooLarge = Answered, true
	default:
		o.want.State, o.want.Answer = Answered, body
	}
	end := Action{Kind: Finish, Outcome: out, Reason: reason, RetryAfter: retryAfter, Body: body, Rule: RuleOutcome}
	if out == dandeliongap.OutcomeNotRun && !o.finishEmitted {
		o.pendingFinish = end
		o.finishBy = min(now.Add(RecordWait), max(o.req.Deadline, now+1))
	} else {
		dst = o.emitFinish(end, dst)
	}
	return o.put(RuleOutcome, dst)
}

// Abandon ends the attempt if the request has not run yet (O8). The driver calls it
// when the VM was paused, lost its lease or shuts down, or when the caller
// disconnected. It has no effect after Run.
func (o *Once) Abandon(now dandeliongap.Instant, reason dandeliongap.Reason, dst []Action) []Action {
	if o.phase != claiming {
		return dst
	}
	return o.giveUp(now, reason, RuleNotStarted, dst)
}

// Tick handles the deadlines and retries that are due at now.
func (o *Once) Tick(now dandeliongap.Instant, dst []Action) []Action {
	if o.finishBy != 0 && now >= o.finishBy {
		dst = o.emitFinish(o.pendingFinish, dst)
	}
	if now >= o.req.Deadline && o.phase == claiming {
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	if now >= o.req.Deadline && o.phase == running {
		dst = o.emitFinish(Action{Kind: Finish, Reason: dandeliongap.ReasonDeadline, Rule: RuleOutcome}, dst)
	}
	if o.retryAt == 0 || now < o.retryAt {
		return dst
	}
	return o.retry(dst)
}

// Next returns the instant at which Tick must be called unless another event
// comes first, or Never if Tick is not needed.
func (o *Once) Next() dandeliongap.Instant {
	next := Never
	if o.retryAt != 0 {
		next = o.retryAt
	}
	if o.finishBy != 0 {
		next = min(next, o.finishBy)
	}
	if !o.finishEmitted && (o.phase == claiming || o.phase == running) {
		next = min(next, o.req.Deadline)
	}
	return next
}

// Settled reports whether Finish was emitted and no call is under way or due.
func (o *Once) Settled() bool { return o.phase == settled }

// handleOwnRecord continues once the record is known to belong to this attempt and to
// have the given state.
func (o *Once) handleOwnRecord(now dandeliongap.Instant, state RecordState, dst []Action) []Action {
	switch {
	case o.phase == recording && state == o.want.State:
		return o.settle(dst)
	case o.phase == recording:
		return o.put(o.finalRule(), dst)
	case state != Started:
		return o.finishAndSettle(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleOtherAttempt, dst)
	case now >= o.req.Deadline:
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	o.phase, o.runEmitted = running, true
	return append(dst, Action{Kind: Run, Deadline: o.req.Deadline, Rule: RuleCreate})
}

// handleOtherRecord continues with the record of another attempt (O3 to O6).
func (o *Once) handleOtherRecord(rec Record, dst []Action) []Action {
	switch {
	case rec.BodyHash != o.want.BodyHash:
		return o.finishAndSettle(dandeliongap.OutcomeNotRun, dandeliongap.ReasonDuplicate, nil, RuleOtherBody, dst)
	case rec.State == Answered && !rec.TooLarge:
		return o.finishAndSettle(dandeliongap.OutcomeAnswered, dandeliongap.ReasonNone, rec.Answer, RuleStored, dst)
	case rec.State == Answered:
		return o.finishAndSettle(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleStored, dst)
	case rec.State == NotRun:
		return o.put(RuleTakeOver, dst)
	default:
		return o.finishAndSettle(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleOtherAttempt, dst)
	}
}

// finishAndSettle emits Finish without writing to the record, which belongs to
// another attempt or cannot be used.
func (o *Once) finishAndSettle(out dandeliongap.Outcome, reason dandeliongap.Reason, body []byte, rule Rule, dst []Action) []Action {
	dst = o.emitFinish(Action{Kind: Finish, Outcome: out, Reason: reason, Body: body, Rule: rule}, dst)
	return o.settle(dst)
}

// handleMissingRecord continues after a Get that found no record. If the answer to an
// earlier Put was lost, a new Put under the same condition prevents the earlier one
// from taking effect (O2).
func (o *Once) handleMissingRecord(dst []Action) []Action {
	o.version = 0
	switch {
	case o.phase == claiming:
		return o.put(RuleReadBack, dst)
	case o.putInDoubt || o.owned:
		return o.put(o.finalRule(), dst)
	default:
		return o.settle(dst)
	}
}

// handleCallFailure retries a failed call, schedules the retry or gives up.
func (o *Once) handleCallFailure(now dandeliongap.Instant, dst []Action) []Action {
	o.failures++
	switch {
	case o.phase == claiming && o.failures >= MaxPlatformFailures:
		return o.giveUp(now, dandeliongap.ReasonPlatform, RulePlatform, dst)
	case o.phase == claiming && o.failures == 1:
		return o.retry(dst)
	case o.phase == claiming:
		o.retryAt = now.Add(RetryDelay)
	case o.failures >= CleanUpAttempts, !o.putInDoubt && !o.owned:
		return o.settle(dst)
	default:
		o.retryAt = now.Add(min(CleanUpDelay<<(o.failures-1), CleanUpDelayMax))
	}
	return dst
}

// giveUp ends the attempt with the outcome "not run", and marks a record that may
// exist as NotRun (O9). It must not be called after Run was emitted.
func (o *Once) giveUp(now dandeliongap.Instant, reason dandeliongap.Reason, rule Rule, dst []Action) []Action {
	end := Action{Kind: Finish, Outcome: dandeliongap.OutcomeNotRun, Reason: reason, Rule: rule}
	if reason == dandeliongap.ReasonPlatform {
		end.RetryAfter = PlatformRetryAfter
	}
	dst = o.emitFinish(end, dst)
	o.phase, o.want.State = recording, NotRun
	o.failures, o.retryAt = 0, 0
	switch {
	case o.pendingCall != noCall:
		return dst
	case o.owned:
		return o.put(RuleCleanUp, dst)
	case o.putInDoubt:
		o.readBack, o.retryAt = true, now.Add(CleanUpDelay)
		return dst
	default:
		return o.settle(dst)
	}
}

// finalRule returns the rule of the Put that records the final state.
func (o *Once) finalRule() Rule {
	if o.runEmitted {
		return RuleOutcome
	}
	return RuleCleanUp
}

// retry repeats the last call, but reads the record back if the last Put may have
// taken effect (O2).
func (o *Once) retry(dst []Action) []Action {
	switch {
	case o.readBack:
		return o.get(dst)
	case o.phase == claiming:
		return o.put(RuleCreate, dst)
	default:
		return o.put(o.finalRule(), dst)
	}
}

func (o *Once) put(rule Rule, dst []Action) []Action {
	body, err := json.Marshal(&o.want)
	if err != nil {
		panic(err) // every field of Record can be marshaled
	}
	o.pendingCall, o.lastPutState, o.retryAt = putCall, o.want.State, 0
	return append(dst, Action{Kind: Put, Name: o.recordName, Body: body, IfVersion: o.version, Rule: rule})
}

func (o *Once) get(dst []Action) []Action {
	o.pendingCall, o.readBack, o.retryAt = getCall, true, 0
	return append(dst, Action{Kind: Get, Name: o.recordName, Rule: RuleReadBack})
}

func (o *Once) settle(dst []Action) []Action {
	o.phase, o.retryAt = settled, 0
	return dst
}

// emitFinish emits a Finish action unless one was emitted before.
func (o *Once) emitFinish(end Action, dst []Action) []Action {
	o.finishBy = 0
	if o.finishEmitted {
		return dst
	}
	o.finishEmitted = true
	return append(dst, end)
}
