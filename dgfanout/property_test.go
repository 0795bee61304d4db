package dgfanout_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

// sentAttempt is an attempt, and whether the backend server runs it.
type sentAttempt struct {
	dgfanout.Action
	ran     bool
	refused bool // its refusal was delivered
}

// checkedQuery is a query with the data that the invariants are checked against.
type checkedQuery struct {
	*dgfanout.Query
	req      dgfanout.Request
	attempts []*sentAttempt
	finished bool
}

// checker drives one planner with random events and checks every action and result.
type checker struct {
	*rapid.T
	runner
	queries                         []*checkedQuery
	firstAttempts, hedgesAndRetries int // sent so far, for the budget (R8)
}

// TestEventOrders guards against a sequence of events after which an action or result
// breaks an invariant, such as a request that runs twice or a part that counts twice.
// The events are answers that are late, duplicated, refused, lost or meant for another
// attempt, ticks, disconnects of callers and view changes.
func TestEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView(rapid.IntRange(1, 6).Draw(t, "leaves"), rapid.IntRange(1, 4).Draw(t, "replicas"))
		v.Deployment.Services["all"].Partial = rapid.Bool().Draw(t, "partial")
		c := &checker{T: t, runner: *newRunner(v)}
		c.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c.changeView(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": c.startQuery, "start2": c.startQuery, "answer": c.deliver, "answer2": c.deliver, "answer3": c.deliver,
			"time": c.advance, "disconnect": c.disconnect, "view": c.changeView, "": func(*rapid.T) { c.check() },
		})
		c.now += 10_000 * ms
		c.tickDue()
		c.check()
	})
}

func (c *checker) startQuery(t *rapid.T) {
	c.number++
	q := &checkedQuery{req: dgfanout.Request{
		Number: c.number, Service: "all", Key: dg.IdempotencyKey(fmt.Sprint(c.number)),
		Class:         dg.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		NonIdempotent: rapid.IntRange(0, 3).Draw(t, "action") == 0,
		Baseline:      rapid.IntRange(0, 5).Draw(t, "baseline") == 0,
		MinCoverage:   rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "min coverage"),
		Deadline:      c.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline"))*time.Millisecond + 1),
	}}
	var acts []dgfanout.Action
	q.Query, acts = c.p.Start(c.now, c.v, q.req, c.rng, nil)
	c.queries = append(c.queries, q)
	c.applyActions(q, acts, true)
}

func (c *checker) pickQuery(t *rapid.T) *checkedQuery {
	if len(c.queries) == 0 {
		t.Skip("no query")
	}
	return c.queries[len(c.queries)-1-rapid.IntRange(0, min(3, len(c.queries)-1)).Draw(t, "query")]
}

func (q *checkedQuery) pickAttempt(t *rapid.T) *sentAttempt {
	if len(q.attempts) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(q.attempts).Draw(t, "attempt")
}

func (c *checker) deliver(t *rapid.T) {
	q := c.pickQuery(t)
	a := q.pickAttempt(t)
	ans := c.fullAnswer(a.Action)
	if q.req.NonIdempotent {
		ans.Body = []byte("ticket")
	}
	ans.Body = bytes.ReplaceAll(ans.Body, []byte(`"t"`), fmt.Appendf(nil, `"v%d"`, a.Index))
	ans.Load = dg.ReplicaLoad{Limit: dg.Slots(rapid.IntRange(0, 6).Draw(t, "limit")), Queued: rapid.IntRange(0, 20).Draw(t, "queued"), Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0}
	fault := rapid.IntRange(0, 9).Draw(t, "fault")
	switch {
	case !a.ran:
		ans.Status, ans.Body = dg.SubNotRun, nil
		ans.Reason = rapid.SampledFrom([]dg.Reason{dg.ReasonOverload, dg.ReasonShed, dg.ReasonDraining, dg.ReasonVersionGone, dg.ReasonNotOwner}).Draw(t, "reason")
		a.refused = true
	case fault == 0:
		ans.Status, ans.Reason = dg.SubUnknown, dg.ReasonConnection
	case fault == 1:
		ans.Status, ans.Reason = dg.SubCancelled, dg.ReasonCancelled
	case fault == 2:
		ans.Index++
		ans.Body = bytes.ReplaceAll(ans.Body, []byte(`"v`), []byte(`"w`))
	case fault == 3:
		ans.Body = ans.Body[:len(ans.Body)/2]
	case fault == 4:
		ans.ID = c.pickQuery(t).pickAttempt(t).ID
	}
	if q.req.NonIdempotent && fault >= 2 && fault <= 4 {
		return // these faults are detected only by the parts that a search lists
	}
	c.applyActions(q, c.p.HandleAnswer(c.now, c.v, q.Query, ans, c.rng, nil), false)
}

func (c *checker) advance(t *rapid.T) {
	c.now += dg.Instant(rapid.SampledFrom([]int{0, 1, 5, 20, 60, 400, 3000}).Draw(t, "ms")) * ms
	c.tickDue()
}

func (c *checker) tickDue() {
	for _, q := range c.queries {
		if q.NextTick() <= c.now {
			c.applyActions(q, c.p.Tick(c.now, c.v, q.Query, c.rng, nil), false)
		}
	}
}

func (c *checker) disconnect(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "disconnect if 0") > 0 {
		return
	}
	q := c.pickQuery(t)
	c.applyActions(q, c.p.HandleDisconnect(c.now, q.Query, nil), false)
}

func (c *checker) changeView(t *rapid.T) {
	first := rapid.IntRange(1, 3).Draw(t, "version")
	versions := []dg.IndexVersion{dg.IndexVersion(first), dg.IndexVersion(first + 1), dg.IndexVersion(first + 2)}
	next := withCatalog(c.v, versions[:rapid.IntRange(0, 3).Draw(t, "versions")]...)
	next.Serving = rapid.IntRange(0, 5).Draw(t, "serving") > 0
	next.ZonesOut = map[dg.ZoneName]bool{"b": rapid.IntRange(0, 3).Draw(t, "out") == 0}
	c.v = next
}

// applyActions checks actions and draws for each new attempt whether the backend
// server runs it. fromStart reports whether the actions were returned by Start.
func (c *checker) applyActions(q *checkedQuery, acts []dgfanout.Action, fromStart bool) {
	for _, a := range acts {
		switch a.Kind {
		case dgfanout.Finish:
			if q.finished {
				c.Fatalf("second finish of query %d", q.req.Number)
			}
			q.finished = true
		case dgfanout.Send:
			c.checkSend(q, &a, fromStart)
			q.attempts = append(q.attempts, &sentAttempt{Action: a, ran: c.rng.IntN(3) > 0})
		}
	}
}

func (c *checker) checkSend(q *checkedQuery, a *dgfanout.Action, fromStart bool) {
	if q.finished || !c.v.Serving || a.Deadline > q.req.Deadline {
		c.Fatalf("invalid attempt %v: query finished %v, VM serving %v", a, q.finished, c.v.Serving)
	}
	for _, b := range q.attempts {
		if b.ID == a.ID || q.req.NonIdempotent && !b.refused {
			c.Fatalf("%v sent after %v: same id, or an action that was not refused before", a, b)
		}
	}
	switch {
	case fromStart:
		if !q.req.Baseline {
			c.firstAttempts++
		}
	case a.Rule != dgfanout.RuleVersionGone:
		c.hedgesAndRetries++
	}
	if float64(c.hedgesAndRetries) > 10+0.05*float64(c.firstAttempts) {
		c.Fatalf("%d hedges and retries with %d first attempts", c.hedgesAndRetries, c.firstAttempts)
	}
}

func (c *checker) check() {
	for _, q := range c.queries {
		if q.Done() != q.finished || !q.finished && c.now >= q.req.Deadline {
			c.Fatalf("query %d: Done is %v, Finish returned is %v, at %v with deadline %v", q.req.Number, q.Done(), q.finished, c.now, q.req.Deadline)
		}
		if q.finished {
			c.checkResult(q, q.Result())
		}
	}
}

func (c *checker) checkResult(q *checkedQuery, res dgfanout.Result) {
	parts := map[dg.PartID]bool{}
	for _, a := range res.Accepted {
		for _, p := range a.Parts {
			if parts[p] {
				c.Fatalf("part %d accepted twice", p)
			}
			parts[p] = true
		}
		if !q.req.NonIdempotent && !bytes.Contains(a.Raw, fmt.Appendf(nil, `"v%d"`, res.Index)) {
			c.Fatalf("answer %s in a result of version %d", a.Raw, res.Index)
		}
	}
	if res.Merged != len(parts) || res.Merged > res.Total {
		c.Fatalf("merged %d of %d, accepted %d", res.Merged, res.Total, len(parts))
	}
	mayHaveRun := 0
	for _, a := range q.attempts {
		if a.ran {
			mayHaveRun++
		}
	}
	if res.Outcome == dg.OutcomeNotRun && mayHaveRun > 0 || q.req.NonIdempotent && mayHaveRun > 1 {
		c.Fatalf("outcome %v, %d attempts may have run", res.Outcome, mayHaveRun)
	}
	if res.Outcome != dg.OutcomeAnswered || q.req.NonIdempotent {
		return
	}
	coverage := float64(res.Merged) / float64(res.Total)
	if coverage < q.req.MinCoverage || res.Merged == 0 || !c.v.Deployment.Services["all"].Partial && coverage < 1 {
		c.Fatalf("answered with coverage %v", coverage)
	}
}

// FuzzParseBody guards against a body that causes a panic, a part that is accepted
// twice, and a parsed body that is rejected or read differently once it is encoded
// again.
func FuzzParseBody(f *testing.F) {
	f.Add(body(0, 1, 2))
	f.Add([]byte(`{"Parts":[{"Part":0,"Hits":null},{"Part":4294967296}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := dgfanout.ParseBody(text)
		if err != nil {
			return
		}
		seen := map[dg.PartID]bool{}
		for _, p := range b.Parts {
			if seen[p.Part] {
				t.Fatalf("part %d twice", p.Part)
			}
			seen[p.Part] = true
		}
		encoded, _ := json.Marshal(b)
		var standard dgfanout.Body
		if err := json.Unmarshal(encoded, &standard); err != nil || !reflect.DeepEqual(standard, b) {
			t.Fatalf("%s: the standard library reads %v, %v", encoded, standard, err)
		}
		if c, err := dgfanout.ParseBody(encoded); err != nil || !reflect.DeepEqual(c, b) {
			t.Fatalf("%s: %v, %v", encoded, c, err)
		}
	})
}
