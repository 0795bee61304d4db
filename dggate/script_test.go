package dggate_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

const (
	ms       = dandeliongap.Instant(time.Millisecond)
	deadline = 300 * ms
	answered = dandeliongap.SubAnswered
	archive  = dandeliongap.ClassArchive
)

func id(n int) dandeliongap.SubID { return dandeliongap.SubID{Query: uint64(n)} }

// scriptedGate is a gate driven by a script. A step such as "o1" or "d1:20" consists
// of the name of an entry of steps, a number and an option. Times are in
// milliseconds.
type scriptedGate struct {
	dggate.Gate
	now dandeliongap.Instant
	out []string
}

type step func(b *scriptedGate, n, option int) []dggate.Action

// submit returns a step that submits request n with option as the time until its
// deadline.
func submit(c dandeliongap.Class, nonIdempotent bool) step {
	return func(b *scriptedGate, n, option int) []dggate.Action {
		d := deadline
		if option >= 0 {
			d = dandeliongap.Instant(option) * ms
		}
		return b.Submit(b.now, dggate.Request{ID: id(n), Class: c, NonIdempotent: nonIdempotent, Deadline: b.now + d}, nil)
	}
}

// done returns a step that ends request n with option as its latency.
func done(r dggate.Result) step {
	return func(b *scriptedGate, n, option int) []dggate.Action {
		r.Latency = 10 * time.Millisecond
		if option >= 0 {
			r.Latency = time.Duration(option) * time.Millisecond
		}
		return b.Done(b.now, id(n), r, nil)
	}
}

// withoutActions returns a step for a method that returns no actions.
func withoutActions(f func(b *scriptedGate, n, option int)) step {
	return func(b *scriptedGate, n, option int) []dggate.Action { f(b, n, option); return nil }
}

func replica(slots, cold int, leaving bool) dandeliongap.Replica {
	return dandeliongap.Replica{Slots: dandeliongap.Slots(slots), ColdLimit: dandeliongap.Slots(cold), Connections: 4, Leaving: leaving}
}

var steps = map[string]step{
	"at":       withoutActions(func(b *scriptedGate, n, _ int) { b.now = dandeliongap.Instant(n) * ms }),
	"wait":     withoutActions(func(b *scriptedGate, n, _ int) { b.now += dandeliongap.Instant(n) * ms }),
	"slots":    withoutActions(func(b *scriptedGate, n, cold int) { b.Configure(replica(n, cold, false)) }),
	"leave":    withoutActions(func(b *scriptedGate, n, cold int) { b.Configure(replica(n, cold, true)) }),
	"end":      withoutActions(func(b *scriptedGate, n, _ int) { b.SetRightsEnd(dandeliongap.Instant(n) * ms) }),
	"await":    withoutActions(func(b *scriptedGate, n, _ int) { b.Await(b.now, dandeliongap.Epoch(n)) }),
	"state":    withoutActions(func(b *scriptedGate, _, _ int) { b.print("%v %d/%d", b.State(), b.Load().Busy, b.Load().Limit) }),
	"handover": withoutActions(func(b *scriptedGate, _, _ int) { b.print("%+v", b.Handover()) }),
	"next":     withoutActions(func(b *scriptedGate, _, _ int) { b.print("next %d", b.Next()/ms) }),
	// Serves n requests one after another.
	"warm": withoutActions(func(b *scriptedGate, n, _ int) {
		for range n {
			submit(0, false)(b, 999, -1)
			done(dggate.Result{Status: answered})(b, 999, -1)
		}
	}),
	// Grants the rights under an epoch with option as the limit of the handover.
	"grant": func(b *scriptedGate, epoch, limit int) []dggate.Action {
		return b.Grant(b.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: limit >= 0, Limit: dandeliongap.Slots(limit)}, nil)
	},
	// Grants the rights with a handover of a replica that drains.
	"take": func(b *scriptedGate, epoch, _ int) []dggate.Action {
		return b.Grant(b.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: true, Draining: true}, nil)
	},
	"revoke":  func(b *scriptedGate, n, _ int) []dggate.Action { return b.Revoke(b.now, dandeliongap.Epoch(n), nil) },
	"out":     func(b *scriptedGate, n, _ int) []dggate.Action { return b.SetZoneOut(b.now, n == 1, nil) },
	"drain":   func(b *scriptedGate, n, _ int) []dggate.Action { return b.SetDraining(b.now, n == 1, nil) },
	"o":       submit(dandeliongap.ClassOrdinary, false),
	"u":       submit(dandeliongap.ClassUrgent, false),
	"a":       submit(archive, false),
	"act":     submit(dandeliongap.ClassOrdinary, true),
	"c":       func(b *scriptedGate, n, _ int) []dggate.Action { return b.Cancel(b.now, id(n), nil) },
	"t":       func(b *scriptedGate, _, _ int) []dggate.Action { return b.Tick(b.now, nil) },
	"d":       done(dggate.Result{Status: answered}),
	"cold":    done(dggate.Result{Status: answered, Cold: true}),
	"leaving": done(dggate.Result{Status: answered, Draining: true}),
	"shed":    done(dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonShed, RetryAfter: 40 * time.Millisecond}),
	"gone":    done(dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonVersionGone}),
	"lost":    done(dggate.Result{Reason: dandeliongap.ReasonConnection}),
	"timeout": done(dggate.Result{Reason: dandeliongap.ReasonDeadline}),
	"stopped": done(dggate.Result{Status: dandeliongap.SubCancelled, Reason: dandeliongap.ReasonCancelled}),
}

var stepPattern = regexp.MustCompile(`^([a-z]+)(\d*):?(\d*)$`)

func (b *scriptedGate) do(text string) []dggate.Action {
	m := stepPattern.FindStringSubmatch(text)
	n, _ := strconv.Atoi(m[2])
	option, err := strconv.Atoi(m[3])
	if err != nil {
		option = -1
	}
	return steps[m[1]](b, n, option)
}

func (b *scriptedGate) print(format string, args ...any) {
	b.out = append(b.out, fmt.Sprintf(format, args...))
}

func retry(a dggate.Action) string {
	if a.RetryAfter > 0 {
		return fmt.Sprint(" in ", a.RetryAfter.Milliseconds())
	}
	return ""
}

// run performs the steps of script and returns what the gate did: D for a dispatch
// with its deadline, R for a refusal with its reason and Retry-After, C for a
// cancellation, each with the id of the request and the rule.
func (b *scriptedGate) run(script string) string {
	for text := range strings.FieldsSeq(script) {
		for _, a := range b.do(text) {
			switch a.Kind {
			case dggate.Dispatch:
				b.print("D%d@%d %v", a.ID.Query, a.Deadline/ms, a.Rule)
			case dggate.Refuse:
				b.print("R%d %v %v%s", a.ID.Query, a.Reason, a.Rule, retry(a))
			default:
				b.print("C%d %v", a.ID.Query, a.Rule)
			}
		}
	}
	return strings.Join(b.out, ", ")
}
