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

// bench is a gate that is driven by a script of steps such as "o1" or "d1:20":
// a name, a number and an option. Times are in milliseconds.
type bench struct {
	dggate.Gate
	now dandeliongap.Instant
	out []string
}

type step func(b *bench, n, option int) []dggate.Action

func offer(c dandeliongap.Class, action bool) step {
	return func(b *bench, n, option int) []dggate.Action {
		d := deadline
		if option >= 0 {
			d = dandeliongap.Instant(option) * ms
		}
		return b.Submit(b.now, dggate.Request{ID: id(n), Class: c, NonIdempotent: action, Deadline: b.now + d}, nil)
	}
}

func done(r dggate.Result) step {
	return func(b *bench, n, option int) []dggate.Action {
		r.Latency = 10 * time.Millisecond
		if option >= 0 {
			r.Latency = time.Duration(option) * time.Millisecond
		}
		return b.Done(b.now, id(n), r, nil)
	}
}

func silent(f func(b *bench, n, option int)) step {
	return func(b *bench, n, option int) []dggate.Action { f(b, n, option); return nil }
}

func replica(slots, cold int, leaving bool) dandeliongap.Replica {
	return dandeliongap.Replica{Slots: dandeliongap.Slots(slots), ColdLimit: dandeliongap.Slots(cold), Connections: 4, Leaving: leaving}
}

var steps = map[string]step{
	"at":       silent(func(b *bench, n, _ int) { b.now = dandeliongap.Instant(n) * ms }),
	"wait":     silent(func(b *bench, n, _ int) { b.now += dandeliongap.Instant(n) * ms }),
	"slots":    silent(func(b *bench, n, cold int) { b.Configure(replica(n, cold, false)) }),
	"leave":    silent(func(b *bench, n, cold int) { b.Configure(replica(n, cold, true)) }),
	"end":      silent(func(b *bench, n, _ int) { b.SetRightsEnd(dandeliongap.Instant(n) * ms) }),
	"await":    silent(func(b *bench, n, _ int) { b.Await(b.now, dandeliongap.Epoch(n)) }),
	"state":    silent(func(b *bench, _, _ int) { b.print("%v %d/%d", b.State(), b.Mark().Busy, b.Mark().Limit) }),
	"handover": silent(func(b *bench, _, _ int) { b.print("%+v", b.Handover()) }),
	"next":     silent(func(b *bench, _, _ int) { b.print("next %d", b.Next()/ms) }),
	// Serves n requests one after the other.
	"warm": silent(func(b *bench, n, _ int) {
		for range n {
			offer(0, false)(b, 999, -1)
			done(dggate.Result{Status: answered})(b, 999, -1)
		}
	}),
	"grant": func(b *bench, epoch, limit int) []dggate.Action {
		return b.Grant(b.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: limit >= 0, Limit: dandeliongap.Slots(limit)}, nil)
	},
	"take": func(b *bench, epoch, _ int) []dggate.Action { // from an owner that saw the replica draining
		return b.Grant(b.now, dandeliongap.Epoch(epoch), dggate.Handover{Known: true, Draining: true}, nil)
	},
	"revoke":  func(b *bench, n, _ int) []dggate.Action { return b.Revoke(b.now, dandeliongap.Epoch(n), nil) },
	"out":     func(b *bench, n, _ int) []dggate.Action { return b.SetZoneOut(b.now, n == 1, nil) },
	"drain":   func(b *bench, n, _ int) []dggate.Action { return b.SetDraining(b.now, n == 1, nil) },
	"o":       offer(dandeliongap.ClassOrdinary, false),
	"u":       offer(dandeliongap.ClassUrgent, false),
	"a":       offer(archive, false),
	"act":     offer(dandeliongap.ClassOrdinary, true),
	"c":       func(b *bench, n, _ int) []dggate.Action { return b.Cancel(b.now, id(n), nil) },
	"t":       func(b *bench, _, _ int) []dggate.Action { return b.Tick(b.now, nil) },
	"d":       done(dggate.Result{Status: answered}),
	"cold":    done(dggate.Result{Status: answered, Cold: true}),
	"leaving": done(dggate.Result{Status: answered, Draining: true}),
	"shed":    done(dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonShed, RetryAfter: 40 * time.Millisecond}),
	"gone":    done(dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonVersionGone}),
	"lost":    done(dggate.Result{Reason: dandeliongap.ReasonConnection}),
	"timeout": done(dggate.Result{Reason: dandeliongap.ReasonDeadline}),
	"stopped": done(dggate.Result{Status: dandeliongap.SubCancelled, Reason: dandeliongap.ReasonCancelled}),
}

var form = regexp.MustCompile(`^([a-z]+)(\d*):?(\d*)$`)

func (b *bench) do(text string) []dggate.Action {
	m := form.FindStringSubmatch(text)
	n, _ := strconv.Atoi(m[2])
	option, err := strconv.Atoi(m[3])
	if err != nil {
		option = -1
	}
	return steps[m[1]](b, n, option)
}

func (b *bench) print(format string, args ...any) {
	b.out = append(b.out, fmt.Sprintf(format, args...))
}

func retry(a dggate.Action) string {
	if a.RetryAfter > 0 {
		return fmt.Sprint(" in ", a.RetryAfter.Milliseconds())
	}
	return ""
}

// run returns what the gate did: D for a dispatch and its deadline, R for a
// refusal and its Retry-After, C for a cancellation, each with its rule.
func (b *bench) run(script string) string {
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
