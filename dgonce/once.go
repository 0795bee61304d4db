package dgonce

import (
	"encoding/json"
	"errors"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Limits of the rules.
const (
	// MaxAnswer is the largest answer that a record stores, in bytes. In JSON it
	// takes 4/3 of it, below the platform's limit of one megabyte.
	MaxAnswer = 512 << 10
	// MaxPlatformFailures is the number of calls without an answer after which the platform
	// counts as unreachable (O7).
	MaxPlatformFailures = 3
	// RetryDelay is the time between such calls.
	RetryDelay = 20 * time.Millisecond
	// RecordWait is the longest time for which "not run" waits for its record, so
	// that a repeat finds it.
	RecordWait = 100 * time.Millisecond
	// CleanUpDelay and CleanUpDelayMax bound the time between attempts to correct
	// or complete a record after the caller was told, CleanUpAttempts their number.
	CleanUpDelay    = 500 * time.Millisecond
	CleanUpDelayMax = 30 * time.Second
	CleanUpAttempts = 10
	// PlatformRetryAfter is the advice to callers while the platform is
	// unreachable.
	PlatformRetryAfter = time.Second
)

// phase is the progress of a request.
type phase uint8

const (
	idle    phase = iota
	claim         // makes the record this attempt's
	running       // Run was emitted
	record        // writes the final state
	settled
)

// call is the platform call under way.
type call uint8

const (
	noCall call = iota
	putCall
	getCall
)

// Once is the state machine of one request that may not be repeated. Its zero
// value is ready for Start. It is not safe for concurrent use. Methods append
// their actions to dst and return it. At most one Put or Get is under way at a
// time, and the driver bounds the time of each. The driver calls Tick at the
// instant that Next returns and keeps the machine until Settled.
type Once struct {
	req  Request
	name dandeliongap.ObjectName
	want Record // what the record must become

	phase    phase
	ran      bool // Run was emitted
	finished bool // Finish was emitted

	call    call
	wrote   RecordState          // state in the last Put
	version dandeliongap.Version // condition of the next Put
	owned   bool                 // the record is this attempt's
	// doubt tells that the answer to a Put of this attempt was lost and the Put
	// may still take effect, under the condition doubtIf.
	doubt   bool
	doubtIf dandeliongap.Version
	read    bool                 // the next call is a Get
	fails   int                  // calls without an answer in a row
	retryAt dandeliongap.Instant // next call; 0: none is due

	verdict   Action               // a Finish that waits for its record
	verdictBy dandeliongap.Instant // when it is emitted at the latest; 0: none waits
}

// Start begins the request. It is called once.
func (o *Once) Start(now dandeliongap.Instant, r Request, dst []Action) []Action {
	o.req = r
	o.name = RecordName(r.Service, r.Key)
	o.want = Record{Attempt: r.AttemptID, VM: r.VM, BodyHash: hash(r.Body), State: Started}
	o.phase = claim
	if now >= r.Deadline {
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	return o.put(RuleCreate, dst)
}

// PutDone reports the result of the Put under way.
func (o *Once) PutDone(now dandeliongap.Instant, v dandeliongap.Version, err error, dst []Action) []Action {
	if o.call != putCall {
		return dst
	}
	o.call = noCall
	if o.verdictBy != 0 {
		dst = o.tell(o.verdict, dst)
	}
	switch {
	case err == nil:
		o.fails, o.version, o.owned, o.doubt = 0, v, true, false
		return o.mine(now, o.wrote, dst)
	case errors.Is(err, dandeliongap.ErrConflict):
		o.fails = 0
		if o.phase == record && !o.doubt && !o.owned {
			return o.settle(dst)
		}
		return o.get(dst)
	case errors.Is(err, dandeliongap.ErrTooLarge) && o.want.Answer != nil:
		o.want.Answer, o.want.TooLarge = nil, true
		return o.put(RuleOutcome, dst)
	case errors.Is(err, dandeliongap.ErrNotRun), errors.Is(err, dandeliongap.ErrTooLarge):
		return o.failed(now, dst)
	default:
		o.doubt, o.doubtIf, o.read = true, o.version, true
		return o.failed(now, dst)
	}
}

// GetDone reports the result of the Get under way.
func (o *Once) GetDone(now dandeliongap.Instant, obj dandeliongap.Object, err error, dst []Action) []Action {
	if o.call != getCall {
		return dst
	}
	o.call = noCall
	missing := errors.Is(err, dandeliongap.ErrNotFound) || err == nil && obj.Deleted
	if err != nil && !missing {
		return o.failed(now, dst)
	}
	o.fails, o.read = 0, false
	if missing {
		return o.missing(dst)
	}
	var rec Record
	if json.Unmarshal(obj.Body, &rec) != nil || rec.Attempt == "" {
		return o.foreign(dandeliongap.OutcomeUnknown, dandeliongap.ReasonBroken, nil, RuleOtherAttempt, dst)
	}
	if rec.Attempt == o.req.AttemptID {
		o.version, o.owned, o.doubt = obj.Version, true, false
		return o.mine(now, rec.State, dst)
	}
	o.owned = false
	o.doubt = o.doubt && o.doubtIf == obj.Version
	o.version = obj.Version
	if o.phase == claim {
		return o.judge(rec, dst)
	}
	if o.doubt {
		// A takeover may still take effect; this write makes it void.
		return o.put(RuleCleanUp, dst)
	}
	return o.settle(dst)
}

// RunDone reports the outcome of the run. OutcomeNotRun is passed only if no
// backend server can have run the request.
func (o *Once) RunDone(now dandeliongap.Instant, out dandeliongap.Outcome, reason dandeliongap.Reason, retryAfter time.Duration, body []byte, dst []Action) []Action {
	if o.phase != running {
		return dst
	}
	o.phase = record
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
	if out == dandeliongap.OutcomeNotRun && !o.finished {
		o.verdict = end
		o.verdictBy = min(now.Add(RecordWait), max(o.req.Deadline, now+1))
	} else {
		dst = o.tell(end, dst)
	}
	return o.put(RuleOutcome, dst)
}

// Abandon reports that the request must not start any more: the VM was paused,
// lost its lease or stops, or the caller disconnected. After Run it has no
// effect.
func (o *Once) Abandon(now dandeliongap.Instant, reason dandeliongap.Reason, dst []Action) []Action {
	if o.phase != claim {
		return dst
	}
	return o.giveUp(now, reason, RuleNotStarted, dst)
}

// Tick acts on the time that passed.
func (o *Once) Tick(now dandeliongap.Instant, dst []Action) []Action {
	if o.verdictBy != 0 && now >= o.verdictBy {
		dst = o.tell(o.verdict, dst)
	}
	if now >= o.req.Deadline && o.phase == claim {
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	if now >= o.req.Deadline && o.phase == running {
		dst = o.tell(Action{Kind: Finish, Reason: dandeliongap.ReasonDeadline, Rule: RuleOutcome}, dst)
	}
	if o.retryAt == 0 || now < o.retryAt {
		return dst
	}
	return o.again(dst)
}

// Next returns the instant at which Tick must be called unless an event comes
// first; Never if there is none.
func (o *Once) Next() dandeliongap.Instant {
	next := Never
	if o.retryAt != 0 {
		next = o.retryAt
	}
	if o.verdictBy != 0 {
		next = min(next, o.verdictBy)
	}
	if !o.finished && (o.phase == claim || o.phase == running) {
		next = min(next, o.req.Deadline)
	}
	return next
}

// Settled reports that the caller was told and no call is under way or due.
func (o *Once) Settled() bool { return o.phase == settled }

// mine continues when the record is certainly this attempt's, in state s.
func (o *Once) mine(now dandeliongap.Instant, s RecordState, dst []Action) []Action {
	switch {
	case o.phase == record && s == o.want.State:
		return o.settle(dst)
	case o.phase == record:
		return o.put(o.finalRule(), dst)
	case s != Started:
		return o.foreign(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleOtherAttempt, dst)
	case now >= o.req.Deadline:
		return o.giveUp(now, dandeliongap.ReasonDeadline, RuleNotStarted, dst)
	}
	o.phase, o.ran = running, true
	return append(dst, Action{Kind: Run, Deadline: o.req.Deadline, Rule: RuleCreate})
}

// judge decides by the record of another attempt (O3 to O6).
func (o *Once) judge(rec Record, dst []Action) []Action {
	switch {
	case rec.BodyHash != o.want.BodyHash:
		return o.foreign(dandeliongap.OutcomeNotRun, dandeliongap.ReasonDuplicate, nil, RuleOtherBody, dst)
	case rec.State == Answered && !rec.TooLarge:
		return o.foreign(dandeliongap.OutcomeAnswered, dandeliongap.ReasonNone, rec.Answer, RuleStored, dst)
	case rec.State == Answered:
		return o.foreign(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleStored, dst)
	case rec.State == NotRun:
		return o.put(RuleTakeOver, dst)
	default:
		return o.foreign(dandeliongap.OutcomeUnknown, dandeliongap.ReasonDuplicate, nil, RuleOtherAttempt, dst)
	}
}

// foreign ends a request whose record belongs to another attempt.
func (o *Once) foreign(out dandeliongap.Outcome, reason dandeliongap.Reason, body []byte, rule Rule, dst []Action) []Action {
	dst = o.tell(Action{Kind: Finish, Outcome: out, Reason: reason, Body: body, Rule: rule}, dst)
	return o.settle(dst)
}

// missing continues after a Get that found no record. The Put that follows
// makes an earlier one void whose answer was lost.
func (o *Once) missing(dst []Action) []Action {
	o.version = 0
	switch {
	case o.phase == claim:
		return o.put(RuleReadBack, dst)
	case o.doubt || o.owned:
		return o.put(o.finalRule(), dst)
	default:
		return o.settle(dst)
	}
}

// failed continues after a call without a usable answer.
func (o *Once) failed(now dandeliongap.Instant, dst []Action) []Action {
	o.fails++
	switch {
	case o.phase == claim && o.fails >= MaxPlatformFailures:
		return o.giveUp(now, dandeliongap.ReasonPlatform, RulePlatform, dst)
	case o.phase == claim && o.fails == 1:
		return o.again(dst)
	case o.phase == claim:
		o.retryAt = now.Add(RetryDelay)
	case o.fails >= CleanUpAttempts, !o.doubt && !o.owned:
		return o.settle(dst)
	default:
		o.retryAt = now.Add(min(CleanUpDelay<<(o.fails-1), CleanUpDelayMax))
	}
	return dst
}

// giveUp tells the caller that the request did not run and corrects a record
// that may exist (O9). It is called only before Run.
func (o *Once) giveUp(now dandeliongap.Instant, reason dandeliongap.Reason, rule Rule, dst []Action) []Action {
	end := Action{Kind: Finish, Outcome: dandeliongap.OutcomeNotRun, Reason: reason, Rule: rule}
	if reason == dandeliongap.ReasonPlatform {
		end.RetryAfter = PlatformRetryAfter
	}
	dst = o.tell(end, dst)
	o.phase, o.want.State = record, NotRun
	o.fails, o.retryAt = 0, 0
	switch {
	case o.call != noCall:
		return dst
	case o.owned:
		return o.put(RuleCleanUp, dst)
	case o.doubt:
		o.read, o.retryAt = true, now.Add(CleanUpDelay)
		return dst
	default:
		return o.settle(dst)
	}
}

func (o *Once) finalRule() Rule {
	if o.ran {
		return RuleOutcome
	}
	return RuleCleanUp
}

func (o *Once) again(dst []Action) []Action {
	switch {
	case o.read:
		return o.get(dst)
	case o.phase == claim:
		return o.put(RuleCreate, dst)
	default:
		return o.put(o.finalRule(), dst)
	}
}

func (o *Once) put(rule Rule, dst []Action) []Action {
	body, err := json.Marshal(&o.want)
	if err != nil {
		panic(err) // no field of Record has a type that JSON cannot hold
	}
	o.call, o.wrote, o.retryAt = putCall, o.want.State, 0
	return append(dst, Action{Kind: Put, Name: o.name, Body: body, IfVersion: o.version, Rule: rule})
}

func (o *Once) get(dst []Action) []Action {
	o.call, o.read, o.retryAt = getCall, true, 0
	return append(dst, Action{Kind: Get, Name: o.name, Rule: RuleReadBack})
}

func (o *Once) settle(dst []Action) []Action {
	o.phase, o.retryAt = settled, 0
	return dst
}

func (o *Once) tell(end Action, dst []Action) []Action {
	o.verdictBy = 0
	if o.finished {
		return dst
	}
	o.finished = true
	return append(dst, end)
}
