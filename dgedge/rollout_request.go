package dgedge

import (
	"github.com/valyala/fasthttp"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgrollout"
)

// rolloutGroups returns the groups of replicas that a request may go to; nil if rollouts are
// off. e.mu must be held, also in the functions below.
func (e *Edge) rolloutGroups(now dandeliongap.Instant, service dandeliongap.ServiceName, extra bool) []dgbalance.Group {
	if e.rollouts == nil {
		return nil
	}
	return e.rollouts.Groups(now, service, extra)
}

// rolloutSent counts a request that is sent to a replica.
func (e *Edge) rolloutSent(in *dandeliongap.Instance) {
	if e.rollouts != nil && e.rollouts.Sent(in) {
		e.stats.add("CanaryRequests")
	}
}

// updateRollouts passes the replicas and the share of the common slack on.
func (e *Edge) updateRollouts(now dandeliongap.Instant, list []dandeliongap.Instance, share float64) {
	if e.rollouts != nil {
		e.rollouts.SetShare(share)
		e.rollouts.SetReplicas(now, list)
	}
}

// rolloutEnded counts the result of an attempt as evidence.
func (ex *execution) rolloutEnded(now dandeliongap.Instant, a *attempt, reply *dgbackend.Reply, result dgbalance.Result) {
	r := ex.e.rollouts
	if r == nil {
		return
	}
	in := &a.assignment.Instance
	if reply.Kind == dgbackend.ReplyNotSent {
		r.NotSent(in, a.assignment.Start)
		return
	}
	r.Ended(now, ex.req.route.Name, in, a.assignment.Start, a.assignment.Cold, ex.rolloutOutcome(reply, result))
}

// rolloutOutcome returns what a reply says about the version of its replica (dgrollout X7). A
// refusal says nothing if the replica leaves or asked for a pause, and one on behalf of
// another instance never does.
func (ex *execution) rolloutOutcome(reply *dgbackend.Reply, result dgbalance.Result) dgrollout.Outcome {
	switch result {
	case dgbalance.Answered:
		if reply.Resp.StatusCode()/100 == fasthttp.StatusOK/100 && !ex.usable(reply.Resp) {
			return dgrollout.Failed // without a stamp
		}
		return dgrollout.Succeeded
	case dgbalance.Failed:
		return dgrollout.Failed
	case dgbalance.Refused:
		if reply.Leaving || reply.RetryAfter > 0 {
			return dgrollout.NoEvidence
		}
		return dgrollout.Failed
	case dgbalance.Abandoned:
		return dgrollout.Unanswered
	default:
		return dgrollout.NoEvidence
	}
}
