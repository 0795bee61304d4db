package dgfanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(1, 0) }

func TestFanout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgfanout")
}

const ms = dg.Instant(time.Millisecond)

// newView returns a view with one group "all" over leaves l000, l001, ... Each leaf
// has replica 0 in zone a (the VM's own), 1 in zone b, 2 in zone a and so on. Each
// replica has an owner in its zone.
func newView(leaves, replicas int) *dg.View {
	v := &dg.View{
		Self: "ma", Serving: true,
		Members:   map[dg.MemberID]dg.Member{"ma": {Zone: "a"}, "mb": {Zone: "b"}},
		Placement: map[dg.ReplicaID]dg.Placement{},
		Catalog:   dg.Catalog{},
	}
	all := &dg.Service{Name: "all", Kind: dg.KindGroup, Partial: true, Actions: true}
	d := &dg.Deployment{Services: map[dg.ServiceName]*dg.Service{"all": all}}
	for i := range leaves {
		l := &dg.Service{Name: dg.ServiceName(fmt.Sprintf("l%03d", i))}
		l.Leaves = []dg.ServiceName{l.Name}
		for k := range replicas {
			zone := string(rune('a' + k%2))
			r := dg.Replica{ID: dg.ReplicaID(fmt.Sprintf("%s/%d", l.Name, k)), Zone: dg.ZoneName(zone), Slots: 3, ColdLimit: 1}
			l.Replicas = append(l.Replicas, r)
			v.Placement[r.ID] = dg.Placement{Replica: r.ID, Owner: dg.MemberID("m" + zone)}
		}
		d.Services[l.Name] = l
		all.Leaves = append(all.Leaves, l.Name)
	}
	v.Deployment = d
	return v
}

// withCatalog returns a copy of the view in which the group has the given versions,
// each with two parts for each leaf.
func withCatalog(v *dg.View, versions ...dg.IndexVersion) *dg.View {
	next := *v
	next.Catalog = dg.Catalog{}
	for _, n := range versions {
		s := dg.Snapshot{Version: n}
		for _, name := range v.Deployment.Services["all"].Leaves {
			s.Shards = append(s.Shards, dg.Shard{Service: name, Parts: []dg.PartID{dg.PartID(s.Parts), dg.PartID(s.Parts + 1)}})
			s.Parts += 2
		}
		next.Catalog["all"] = append(next.Catalog["all"], s)
	}
	return &next
}

// runner drives one planner on a virtual clock. Its methods act on the query that was
// started last, unless an action or answer names another one.
type runner struct {
	p        dgfanout.Planner
	v        *dg.View
	now      dg.Instant
	rng      *rand.Rand
	q        *dgfanout.Query
	number   uint64
	byNumber map[uint64]*dgfanout.Query
}

func newRunner(v *dg.View) *runner {
	return &runner{v: v, rng: rand.New(rand.NewPCG(1, 2)), byNumber: map[uint64]*dgfanout.Query{}}
}

// startFirst starts a search and returns its first attempt.
func (r *runner) startFirst() dgfanout.Action { return r.start(dgfanout.Request{})[0] }

// updateView replaces the view with a copy that f has changed.
func (r *runner) updateView(f func(*dg.View)) {
	next, d := *r.v, *r.v.Deployment
	next.Deployment = &d
	f(&next)
	r.v = &next
}

func (r *runner) start(req dgfanout.Request) []dgfanout.Action {
	r.number++
	req.Number = r.number
	if req.Service == "" {
		req.Service = "all"
	}
	if req.Deadline == 0 {
		req.Deadline = r.now + 300*ms
	}
	var acts []dgfanout.Action
	r.q, acts = r.p.Start(r.now, r.v, req, r.rng, nil)
	r.byNumber[r.number] = r.q
	return acts
}

func (r *runner) answer(ans dgfanout.Answer) []dgfanout.Action {
	return r.p.HandleAnswer(r.now, r.v, r.byNumber[ans.ID.Query], ans, r.rng, nil)
}

// fail ends an attempt with the given status and reason, without a body.
func (r *runner) fail(a dgfanout.Action, s dg.SubStatus, why dg.Reason) []dgfanout.Action {
	return r.answer(dgfanout.Answer{ID: a.ID, Replica: a.Replica, Status: s, Reason: why})
}

// fullAnswer returns a complete answer to an attempt.
func (r *runner) fullAnswer(a dgfanout.Action) dgfanout.Answer {
	parts := []dg.PartID{dg.PartID(a.ID.Shard)}
	for _, s := range r.v.Catalog["all"] {
		if s.Version == a.Index {
			parts = s.Shards[a.ID.Shard].Parts
		}
	}
	return dgfanout.Answer{ID: a.ID, Replica: a.Replica, Status: dg.SubAnswered, Index: a.Index, Body: body(parts...)}
}

// body returns the JSON body of an answer that lists the parts, each with one hit.
func body(parts ...dg.PartID) []byte {
	b := []byte(`{"Parts":[`)
	for i, p := range parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `{"Part":%d,"Hits":[{"Id":"h%d","Score":%d,"Text":"t"}]}`, p, p, p)
	}
	return append(b, "]}"...)
}

// answerAll delivers a complete answer to each attempt that the actions send.
func (r *runner) answerAll(acts []dgfanout.Action) (out []dgfanout.Action) {
	for _, a := range acts {
		if a.Kind == dgfanout.Send {
			out = append(out, r.answer(r.fullAnswer(a))...)
		}
	}
	return out
}

// tickTo advances the clock to the given instant and calls Tick whenever it is due.
func (r *runner) tickTo(t dg.Instant) (out []dgfanout.Action) {
	for !r.q.Done() && r.q.NextTick() <= t {
		r.now = max(r.now, r.q.NextTick())
		out = append(out, r.p.Tick(r.now, r.v, r.q, r.rng, nil)...)
	}
	r.now = max(r.now, t)
	return out
}

// warmUp runs queries that pick random replicas, each answered after d, so that the
// planner knows the latency of every replica.
func (r *runner) warmUp(d time.Duration) *runner {
	for range 40 {
		for _, name := range r.v.Deployment.Services["all"].Leaves {
			acts := r.start(dgfanout.Request{Service: name, Baseline: true})
			r.now = r.now.Add(d)
			for _, a := range acts {
				ans := r.fullAnswer(a)
				ans.Body, ans.Index = body(0), 0
				r.answer(ans)
			}
		}
	}
	return r
}

func sends(acts []dgfanout.Action) (out []dgfanout.Action) {
	for _, a := range acts {
		if a.Kind == dgfanout.Send {
			out = append(out, a)
		}
	}
	return out
}
