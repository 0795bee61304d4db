package dgcapacity

import (
	"fmt"
	"io"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
	"github.com/rs/zerolog"
)

// Rows of the two lines that dgnode writes for each sub-request.
const (
	routingQuantity   = "routing line of one sub-request"
	admissionQuantity = "admission line of one sub-request"
)

// logTime is the time format of dgnode's log lines.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// decisionLog writes lines with the fields of dgnode's decision log to a writer
// that discards them.
type decisionLog struct{ out zerolog.Logger }

func (l *decisionLog) line(msg string, rule fmt.Stringer, choice string) *zerolog.Event {
	return l.out.Log().Str("time", time.Now().Format(logTime)).Str("level", "info").Str("msg", msg).
		Str("VM", "entry-001").Str("Rule", rule.String()).Str("Choice", choice)
}

func (l *decisionLog) routing(a *dgfanout.Action) {
	l.line("routing", a.Rule, a.Kind.String()).
		Str("Request", a.ID.String()).Str("Replica", string(a.Replica)).Str("Owner", string(a.Owner)).
		Str("Class", a.Class.String()).Uint64("Index", uint64(a.Index)).Int64("WaitUs", a.ExpectedWait.Microseconds()).
		Int("Limit", int(a.Load.Limit)).Int("Queued", a.Load.Queued).Send()
}

func (l *decisionLog) admission(a *dggate.Action, replica dandeliongap.ReplicaID, mark dandeliongap.ReplicaLoad) {
	l.line("admission", a.Rule, a.Kind.String()).
		Str("Request", a.ID.String()).Str("Replica", string(replica)).Str("Reason", a.Reason.String()).
		Int("Limit", int(mark.Limit)).Int("Busy", int(mark.Busy)).Int("Queued", mark.Queued).Send()
}

func measureDecisionLog(r *Report, o Options) error {
	l := &decisionLog{out: zerolog.New(io.Discard)}
	id := dandeliongap.SubID{Entry: 1 << 60, Query: 1 << 30, Shard: 17, Attempt: 1}
	mark := dandeliongap.ReplicaLoad{Limit: gateSlots, Busy: 2, Queued: 4}
	sent := dgfanout.Action{
		Kind: dgfanout.Send, Rule: dgfanout.RuleChoice, ID: id, Replica: "shard-017/1", Owner: "entry-001-0123456789abcdef",
		Index: 1 << 20, ExpectedWait: gateLatency, Load: mark,
	}
	admitted := dggate.Action{Kind: dggate.Dispatch, Rule: dggate.RuleLimit, ID: id}
	c := timed(o.Timing, func() { l.routing(&sent) })
	r.add(routingQuantity, "us", drivenByItems, 1, microseconds(c.time))
	c = timed(o.Timing, func() { l.admission(&admitted, sent.Replica, mark) })
	r.add(admissionQuantity, "us", drivenByItems, 1, microseconds(c.time))
	return nil
}
