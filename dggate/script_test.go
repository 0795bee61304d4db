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

type step func(g *scriptedGate, n, option int) []dggate.Action

// submit returns a step that submits request n with option as the time until its
// deadline, which is 300 ms by default.
func submit(c dandeliongap.Class, nonIdempotent bool) step {
	return func(g *scriptedGate, n, option int) []dggate.Action {
		d := deadline
		if option >= 0 {
			d = dandeliongap.Instant(option) * ms
		}
		return g.Submit(g.now, dggate.Request{ID: id(n), Class: c, NonIdempotent: nonIdempotent, Deadline: g.now + d}, nil)
	}
}

// done returns a step that ends request n with result r. Its option is the latency,
// which is 10 ms by default.
func done(r dggate.Result) step {
	return func(g *scriptedGate, n, option int) []dggate.Action {
		r.Latency = 10 * time.Millisecond
		if option >= 0 {
			r.Latency = time.Duration(option) * time.Millisecond
		}
		return g.Done(g.now, id(n), r, nil)
	}
}

// withoutActions returns a step that calls f and returns no actions.
func withoutActions(f func(g *scriptedGate, n, option int)) step {
	return func(g *scriptedGate, n, option int) []dggate.Action { f(g, n, option); return nil }
}

func replica(slots, cold int, leaving bool) dandeliongap.Replica {
	return dandeliongap.Replica{Slots: dandeliongap.Slots(slots), ColdLimit: dandeliongap.Slots(cold), Connections: 4, Leaving: leaving}
}

var steps = map[string]step{
	"at":       withoutActions(func(g *scriptedGate, n, _ int) { g.now = dandeliongap.Instant(n) * ms }),
	"wait":     withoutActions(func(g *scriptedGate, n, _ int) { g.now += dandeliongap.Instant(n) * ms }),
	"slots":    withoutActions(func(g *scriptedGate, n, cold int) { g.Configure(replica(n, cold, false)) }),
	"leave":    withoutActions(func(g *scriptedGate, n, cold int) { g.Configure(replica(n, cold, true)) }),
	"end":      withoutActions(func(g *scriptedGate, n, _ int) { g.SetRightsEnd(dandeliongap.Instant(n) * ms) }),
	"await":    withoutActions(func(g *scriptedGate, n, _ int) { g.Await(g.now, dandeliongap.Epoch(n)) }),
	"state":    withoutActions(func(g *scriptedGate, _, _ int) { g.print("%v %d/%d", g.State(), g.Load().Busy, g.Load().Limit) }),
	"handover": withoutActions(func(g *scriptedGate, _, _ int) { g.print("%+v", g.Handover()) }),
	"next":     withoutActions(func(g *scriptedGate, _, _ int) { g.print("next %d", g.Next()/ms) }),
	// Serves n requests one after another.
	"warm": withoutActions(func(g *scriptedGate, n, _ int) {
		for range n {
			submit(0, false)(g, 999, -1)
			done(dggate.Result{Status: answered})(g, 999, -1)
		}
	}),
	// Grants the rights under an epoch with option as the limit of the handover.
	"grant": func(g *scriptedGate, epoch, limit int) []dggate.Action {
		return g.Grant(g.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: limit >= 0, Limit: dandeliongap.Slots(limit)}, nil)
	},
	// Grants the rights with a handover of a replica that drains.
	"take": func(g *scriptedGate, epoch, _ int) []dggate.Action {
		return g.Grant(g.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: true, Draining: true}, nil)
	},
	"revoke":  func(g *scriptedGate, n, _ int) []dggate.Action { return g.Revoke(g.now, dandeliongap.Epoch(n), nil) },
	"out":     func(g *scriptedGate, n, _ int) []dggate.Action { return g.SetZoneOut(g.now, n == 1, nil) },
	"drain":   func(g *scriptedGate, n, _ int) []dggate.Action { return g.SetDraining(g.now, n == 1, nil) },
	"o":       submit(dandeliongap.ClassOrdinary, false),
	"u":       submit(dandeliongap.ClassUrgent, false),
	"a":       submit(archive, false),
	"act":     submit(dandeliongap.ClassOrdinary, true),
	"c":       func(g *scriptedGate, n, _ int) []dggate.Action { return g.Cancel(g.now, id(n), nil) },
	"t":       func(g *scriptedGate, _, _ int) []dggate.Action { return g.Tick(g.now, nil) },
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

func (g *scriptedGate) do(text string) []dggate.Action {
	m := stepPattern.FindStringSubmatch(text)
	n, _ := strconv.Atoi(m[2])
	option, err := strconv.Atoi(m[3])
	if err != nil {
		option = -1
	}
	return steps[m[1]](g, n, option)
}

func (g *scriptedGate) print(format string, args ...any) {
	g.out = append(g.out, fmt.Sprintf(format, args...))
}

func formatRetryAfter(a dggate.Action) string {
	if a.RetryAfter > 0 {
		return fmt.Sprint(" in ", a.RetryAfter.Milliseconds())
	}
	return ""
}

// run performs the steps of script and returns what the gate did: D for a dispatch
// with its deadline, R for a refusal with its reason and Retry-After, C for a
// cancellation, each with the id of the request and the rule.
func (g *scriptedGate) run(script string) string {
	for text := range strings.FieldsSeq(script) {
		for _, a := range g.do(text) {
			switch a.Kind {
			case dggate.Dispatch:
				g.print("D%d@%d %v", a.ID.Query, a.Deadline/ms, a.Rule)
			case dggate.Refuse:
				g.print("R%d %v %v%s", a.ID.Query, a.Reason, a.Rule, formatRetryAfter(a))
			default:
				g.print("C%d %v", a.ID.Query, a.Rule)
			}
		}
	}
	return strings.Join(g.out, ", ")
}
