package dgnode

import (
	"fmt"
	"io"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
	"github.com/rs/zerolog"
)

// decisionLog writes the log lines of the request path, two for each sub-request.
// The logger of the daemon takes 12 us for such a line, most of the 15 us that a
// sub-request may cost; docs/decisions/0005 has the figures.
type decisionLog struct {
	vm  string
	out zerolog.Logger
	off bool
}

// newDecisionLog returns a log that writes JSON lines to w, or discards them if w is
// nil. w must be safe for concurrent use; each Write gets one whole line.
func newDecisionLog(w io.Writer, vm dandeliongap.VMName) *decisionLog {
	if w == nil {
		return &decisionLog{off: true}
	}
	return &decisionLog{vm: string(vm), out: zerolog.New(w)}
}

// line starts a log line with the keys that the other log lines of the daemon have.
func (l *decisionLog) line(msg string, rule fmt.Stringer, choice string) *zerolog.Event {
	return l.out.Log().
		Str("time", time.Now().Format(LogTime)).
		Str("level", "info").
		Str("msg", msg).
		Str("VM", l.vm).
		Str("Rule", rule.String()).
		Str("Choice", choice)
}

// routing logs the dispatch or the cancellation of an attempt.
func (l *decisionLog) routing(a *dgfanout.Action) {
	if l.off {
		return
	}
	l.line("routing", a.Rule, a.Kind.String()).
		Str("Request", a.ID.String()).
		Str("Replica", string(a.Replica)).
		Str("Owner", string(a.Owner)).
		Str("Class", a.Class.String()).
		Uint64("Index", uint64(a.Index)).
		Int64("WaitUs", a.ExpectedWait.Microseconds()).
		Int("Limit", int(a.Load.Limit)).
		Int("Queued", a.Load.Queued).
		Send()
}

// finish logs the result of a query.
func (l *decisionLog) finish(rule dgfanout.Rule, req *dgfanout.Request, r *dgfanout.Result, took time.Duration) {
	if l.off {
		return
	}
	l.line("finish", rule, r.Outcome.String()).
		Uint64("Query", req.Number).
		Str("Service", string(req.Service)).
		Str("Class", req.Class.String()).
		Str("Reason", r.Reason.String()).
		Uint64("Index", uint64(r.Index)).
		Int("Merged", r.Merged).
		Int("Total", r.Total).
		Int64("TookMs", took.Milliseconds()).
		Send()
}

// admission logs an action of a replica's gate on an attempt.
func (l *decisionLog) admission(a *dggate.Action, replica dandeliongap.ReplicaID, load dandeliongap.ReplicaLoad) {
	if l.off {
		return
	}
	l.line("admission", a.Rule, a.Kind.String()).
		Str("Request", a.ID.String()).
		Str("Replica", string(replica)).
		Str("Reason", a.Reason.String()).
		Int("Limit", int(load.Limit)).
		Int("Busy", int(load.Busy)).
		Int("Queued", load.Queued).
		Send()
}
