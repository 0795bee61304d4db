package dgonce_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgonce"
	"dandeliongap.example/dandeliongap/dgproperty"
)

const (
	deadline = dandeliongap.Instant(time.Second)
	notRun   = dandeliongap.OutcomeNotRun
	large    = dgonce.MaxAnswer + 1
)

// fleet is the platform's object for one key and the entry VMs that use it.
type fleet struct {
	body    []byte
	version dandeliongap.Version
	late    []dgonce.Action // writes without an answer that may still take effect
	vms     []*vm
}

// vm has one attempt at the key.
type vm struct {
	dgonce.Once
	now     dandeliongap.Instant
	queue   []dgonce.Action // the call or run under way
	end     []dgonce.Action
	ran     bool
	outcome dandeliongap.Outcome // of the run
}

func (f *fleet) put(a dgonce.Action) (dandeliongap.Version, error) {
	if a.IfVersion != f.version {
		return 0, dandeliongap.ErrConflict
	}
	f.body, f.version = a.Body, f.version+1
	return f.version, nil
}

func (f *fleet) get() (dandeliongap.Object, error) {
	if f.version == 0 {
		return dandeliongap.Object{}, dandeliongap.ErrNotFound
	}
	return dandeliongap.Object{Version: f.version, Body: f.body}, nil
}

func (f *fleet) start(body string) *vm {
	v, n := &vm{}, len(f.vms)
	f.vms = append(f.vms, v)
	v.take(v.Start(0, dgonce.Request{Service: "s", Key: "k", Body: []byte(body), AttemptID: fmt.Sprint("attempt", n), Deadline: deadline}, nil))
	return v
}

func (v *vm) take(acts []dgonce.Action) {
	for _, a := range acts {
		if a.Kind == dgonce.Finish {
			v.end = append(v.end, a)
			continue
		}
		v.ran = v.ran || a.Kind == dgonce.Run
		v.queue = append(v.queue, a)
	}
}

// do performs one step of v, if it is possible: ok, lost (took effect, no
// answer), dropped (no effect, no answer) and late (no answer, effect at apply)
// serve a call; answered, large, notrun and unknown end a run.
func (f *fleet) do(v *vm, step string) {
	runs := map[string]dandeliongap.Outcome{"answered": dandeliongap.OutcomeAnswered, "large": dandeliongap.OutcomeAnswered, "notrun": notRun, "unknown": 0}
	out, isRun := runs[step]
	switch {
	case step == "drain":
		for range 100 {
			f.do(v, "ok")
			f.do(v, "notrun")
			if len(v.queue) == 0 {
				f.do(v, "tick")
			}
		}
	case step == "tick" && v.Next() != dgonce.Never:
		v.now = max(v.now, v.Next())
		v.take(v.Tick(v.now, nil))
	case step == "pause":
		v.now += deadline
	case step == "abandon":
		v.take(v.Abandon(v.now, dandeliongap.ReasonLease, nil))
	case step == "apply" && len(f.late) > 0:
		_, _ = f.put(f.late[0])
		f.late = f.late[1:]
	case len(v.queue) == 0:
	case isRun && v.queue[0].Kind == dgonce.Run:
		v.queue, v.outcome = nil, out
		answer := []byte("x\x00\xff")
		if step == "large" {
			answer = bytes.Repeat(answer, large)
		}
		v.take(v.RunDone(v.now, out, 0, 0, answer, nil))
	case !isRun && v.queue[0].Kind != dgonce.Run:
		f.serve(v, step)
	}
}

func (f *fleet) serve(v *vm, step string) {
	a := v.queue[0]
	v.queue = nil
	var obj dandeliongap.Object
	var version dandeliongap.Version
	var err error
	switch {
	case a.Kind == dgonce.Get:
		obj, err = f.get()
	case step == "ok" || step == "lost":
		version, err = f.put(a)
	case step == "late":
		f.late = append(f.late, a)
	}
	if step != "ok" {
		err = dandeliongap.ErrUnreachable
	}
	if a.Kind == dgonce.Get {
		v.take(v.GetDone(v.now, obj, err, nil))
	} else {
		v.take(v.PutDone(v.now, version, err, nil))
	}
}

func (f *fleet) state() dgonce.RecordState {
	var r dgonce.Record
	_ = json.Unmarshal(f.body, &r)
	return r.State
}

// run performs a script on the newest VM: b and c start an attempt with that
// body. It returns what was done: calls, runs, ends, and the record's state.
func (f *fleet) run(script string) string {
	var out []string
	var v *vm
	for step := range strings.FieldsSeq(script) {
		switch step {
		case "b", "c":
			v = f.start(step)
		case "broken":
			f.body = []byte("{")
		case "queue":
			out = append(out, fmt.Sprintf("%v %v", v.queue[0].Kind, v.queue[0].Rule))
		default:
			f.do(v, step)
		}
	}
	for _, v := range f.vms {
		for _, a := range v.end {
			out = append(out, strings.TrimSpace(fmt.Sprintf("%v %v %v", a.Outcome, a.Rule, a.Reason)))
		}
	}
	return strings.Join(append(out, string(f.state())), ", ")
}

// Each entry names the failure that the rule prevents.
var _ = DescribeTable("a request that may not be repeated",
	func(script, want string) { Expect((&fleet{}).run(script)).To(Equal(want)) },
	Entry("O1: runs before anything proves that it does", "b queue ok queue", "put O1, run O1, Started"),
	Entry("O2: does not run after its write took effect without an answer", "b lost queue ok queue", "get O2, run O1, Started"),
	Entry("O2: does not run after its write was lost", "b dropped ok ok queue answered", "run O1, answered O10, Started"),
	Entry("O3: answers a request with another one's answer", "b ok answered ok c drain", "answered O10, not run O3 duplicate key, Answered"),
	Entry("O4: runs again after it was answered", "b ok answered ok b drain", "answered O10, answered O4, Answered"),
	Entry("O4: passes on a part of an answer", "b ok large ok b drain", "answered O10, unknown O4 duplicate key, Answered"),
	Entry("O5: can never be repeated after it did not run", "b ok notrun ok b ok ok queue ok queue", "put O5, run O1, not run O10, Started"),
	Entry("O6: runs again while it runs", "b ok b drain", "unknown O6 duplicate key, Started"),
	Entry("O6: runs again after it may have run", "b ok unknown ok b drain", "unknown O10, unknown O6 duplicate key, Unknown"),
	Entry("O6: runs again over a record that cannot be read", "b ok broken b drain", "unknown O6 broken answer, "),
	Entry("O7, O9: runs after an outage or blocks its repeat", "b lost lost tick lost drain b ok ok ok queue",
		"run O1, not run O7 platform unreachable, Started"),
	Entry("O7, O9: is blocked by a write that takes effect late", "b late dropped tick dropped drain apply b ok ok ok queue",
		"run O1, not run O7 platform unreachable, Started"),
	Entry("O7, O9: is blocked by a takeover that takes effect late", "b ok notrun ok b ok ok late dropped tick dropped drain apply b ok ok ok queue",
		"run O1, not run O10, not run O7 platform unreachable, Started"),
	Entry("O8, O9: runs after its deadline", "b tick drain b ok ok ok queue", "run O1, not run O8 deadline, Started"),
	Entry("O8, O9: runs after a pause", "b pause ok queue drain", "put O9, not run O8 deadline, NotRun"),
	Entry("O8, O9: runs after the lease was lost", "b lost abandon drain", "not run O8 lease lapsed, NotRun"),
	Entry("O10: changes its answer with a lost record", "b ok answered dropped tick dropped tick ok drain", "answered O10, Answered"),
	Entry("O10: holds back not run for long", "b ok notrun tick", "not run O10, Started"),
	Entry("O10: leaves its caller without an end", "b ok tick answered ok", "unknown O10 deadline, Answered"),
)

var _ = It("keys of two services would share a record", func() {
	Expect(dgonce.RecordName("ab", "c")).NotTo(Equal(dgonce.RecordName("a", "bc")))
})

func (f *fleet) check(t *rapid.T) {
	runs := 0
	for i, v := range f.vms {
		ran := v.ran && v.outcome != notRun
		if ran {
			runs++
		}
		if len(v.queue) > 1 || len(v.end) > 1 || v.Settled() && (len(v.end) != 1 || len(v.queue) > 0) {
			t.Fatalf("attempt %d: under way %v, ends %v, settled %v", i, v.queue, v.end, v.Settled())
		}
		if len(v.end) > 0 && v.end[0].Outcome == notRun && ran {
			t.Fatalf("attempt %d ran, its caller was told that it did not", i)
		}
		if len(v.end) > 0 && v.end[0].Outcome == dandeliongap.OutcomeAnswered && string(v.end[0].Body) != "x\x00\xff" {
			t.Fatalf("attempt %d: answer %q", i, v.end[0].Body)
		}
	}
	if runs > 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Guards at most once against any order of lost answers, writes that take
// effect late, conflicts, outages, pauses and runs on several VMs.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		pick := func(from ...string) string { return rapid.SampledFrom(from).Draw(t, "choice") }
		faults := 0
		for range 150 {
			if len(f.vms) == 0 || len(f.vms) < 6 && pick("b", "", "", "", "", "", "", "") == "b" {
				f.start(pick("b", "b", "b", "b", "c"))
			}
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			step := pick("ok", "ok", "ok", "fault", "fault", "notrun", "notrun", "answered", "unknown", "tick", "tick", "apply", "pause", "abandon")
			if step == "fault" {
				// With more faults a record may stay uncorrected.
				if faults++; faults >= dgonce.CleanUpAttempts {
					continue
				}
				step = pick("lost", "dropped", "late", "late")
			}
			f.do(v, step)
			f.check(t)
		}
		ran := false
		for _, v := range f.vms {
			f.do(v, "drain")
			f.check(t)
			ran = ran || v.ran && v.outcome != notRun
			if !v.Settled() {
				t.Fatalf("not settled: %v", v.queue)
			}
		}
		for range f.late {
			f.do(f.vms[0], "apply")
		}
		repeat := f.start("b")
		f.do(repeat, "drain")
		if !ran && !repeat.ran && repeat.end[0].Rule != dgonce.RuleOtherBody {
			t.Fatalf("a record in state %v of a request that did not run blocks its repeat", f.state())
		}
	})
}

func init() { dgproperty.Fix(1, 500) }

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgonce")
}
