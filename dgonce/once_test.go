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

// fleet simulates the platform object of one key and the entry VMs that use it.
type fleet struct {
	body      []byte
	version   dandeliongap.Version
	unapplied []dgonce.Action // unanswered Puts that have not taken effect yet
	vms       []*vm
}

// vm is an entry VM with one attempt at the key.
type vm struct {
	dgonce.Once
	now      dandeliongap.Instant
	pending  []dgonce.Action      // the call or run under way
	finishes []dgonce.Action      // Finish actions
	ran      bool                 // Run was emitted
	outcome  dandeliongap.Outcome // of the run
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
	v.collect(v.Start(0, dgonce.Request{Service: "s", Key: "k", Body: []byte(body), AttemptID: fmt.Sprint("attempt", n), Deadline: deadline}, nil))
	return v
}

func (v *vm) collect(acts []dgonce.Action) {
	for _, a := range acts {
		if a.Kind == dgonce.Finish {
			v.finishes = append(v.finishes, a)
			continue
		}
		v.ran = v.ran || a.Kind == dgonce.Run
		v.pending = append(v.pending, a)
	}
}

// do performs a step of v, or nothing if the step is not possible.
//
// The steps ok, lost, dropped and late serve the call under way. lost takes effect
// without an answer, dropped has neither effect nor answer, and late has no answer
// and takes effect at the step apply. The steps answered, large, notrun and unknown
// end the run with that outcome; large has an answer above MaxAnswer. pause advances
// the clock by the deadline, and drain serves everything under way until nothing is
// left.
func (f *fleet) do(v *vm, step string) {
	runs := map[string]dandeliongap.Outcome{"answered": dandeliongap.OutcomeAnswered, "large": dandeliongap.OutcomeAnswered, "notrun": notRun, "unknown": 0}
	out, isRun := runs[step]
	switch {
	case step == "drain":
		for range 100 {
			f.do(v, "ok")
			f.do(v, "notrun")
			if len(v.pending) == 0 {
				f.do(v, "tick")
			}
		}
	case step == "tick" && v.Next() != dgonce.Never:
		v.now = max(v.now, v.Next())
		v.collect(v.Tick(v.now, nil))
	case step == "pause":
		v.now += deadline
	case step == "abandon":
		v.collect(v.Abandon(v.now, dandeliongap.ReasonLease, nil))
	case step == "apply" && len(f.unapplied) > 0:
		_, _ = f.put(f.unapplied[0])
		f.unapplied = f.unapplied[1:]
	case len(v.pending) == 0:
	case isRun && v.pending[0].Kind == dgonce.Run:
		v.pending, v.outcome = nil, out
		answer := []byte("x\x00\xff")
		if step == "large" {
			answer = bytes.Repeat(answer, large)
		}
		v.collect(v.RunDone(v.now, out, 0, 0, answer, nil))
	case !isRun && v.pending[0].Kind != dgonce.Run:
		f.serve(v, step)
	}
}

func (f *fleet) serve(v *vm, step string) {
	a := v.pending[0]
	v.pending = nil
	var obj dandeliongap.Object
	var version dandeliongap.Version
	var err error
	switch {
	case a.Kind == dgonce.Get:
		obj, err = f.get()
	case step == "ok" || step == "lost":
		version, err = f.put(a)
	case step == "late":
		f.unapplied = append(f.unapplied, a)
	}
	if step != "ok" {
		err = dandeliongap.ErrUnreachable
	}
	if a.Kind == dgonce.Get {
		v.collect(v.GetDone(v.now, obj, err, nil))
	} else {
		v.collect(v.PutDone(v.now, version, err, nil))
	}
}

func (f *fleet) state() dgonce.RecordState {
	var r dgonce.Record
	_ = json.Unmarshal(f.body, &r)
	return r.State
}

// run performs a script on the newest VM. The steps b and c start an attempt on a new
// VM with that request body, queue appends the call or run under way to the result,
// broken replaces the record by invalid JSON, and all other steps are those of do. The
// result ends with the Finish of each attempt and the state of the record.
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
			out = append(out, fmt.Sprintf("%v %v", v.pending[0].Kind, v.pending[0].Rule))
		default:
			f.do(v, step)
		}
	}
	for _, v := range f.vms {
		for _, a := range v.finishes {
			out = append(out, strings.TrimSpace(fmt.Sprintf("%v %v %v", a.Outcome, a.Rule, a.Reason)))
		}
	}
	return strings.Join(append(out, string(f.state())), ", ")
}

var _ = DescribeTable("non-idempotent request",
	func(script, want string) { Expect((&fleet{}).run(script)).To(Equal(want)) },
	Entry("O1: runs only after its record was created", "b queue ok queue", "put O1, run O1, Started"),
	Entry("O2: runs if its Put took effect although the answer was lost", "b lost queue ok queue", "get O2, run O1, Started"),
	Entry("O2: runs after a Put that was lost is repeated", "b dropped ok ok queue answered", "run O1, answered O10, Started"),
	Entry("O3: does not answer a request with the answer to another body", "b ok answered ok c drain", "answered O10, not run O3 duplicate key, Answered"),
	Entry("O4: returns the stored answer instead of running again", "b ok answered ok b drain", "answered O10, answered O4, Answered"),
	Entry("O4: returns unknown if the answer was too large to be stored", "b ok large ok b drain", "answered O10, unknown O4 duplicate key, Answered"),
	Entry("O5: runs on a repeat after an attempt that did not run", "b ok notrun ok b ok ok queue ok queue", "put O5, run O1, not run O10, Started"),
	Entry("O6: does not run while another attempt runs", "b ok b drain", "unknown O6 duplicate key, Started"),
	Entry("O6: does not run after an attempt that may have run", "b ok unknown ok b drain", "unknown O10, unknown O6 duplicate key, Unknown"),
	Entry("O6: does not run if the record cannot be parsed", "b ok broken b drain", "unknown O6 broken answer, "),
	Entry("O7, O9: does not run after an outage, and its repeat runs", "b lost lost tick lost drain b ok ok ok queue",
		"run O1, not run O7 platform unreachable, Started"),
	Entry("O7, O9: a late Put of an attempt that gave up does not block the repeat", "b late dropped tick dropped drain apply b ok ok ok queue",
		"run O1, not run O7 platform unreachable, Started"),
	Entry("O7, O9: a late takeover of an attempt that gave up does not block the repeat", "b ok notrun ok b ok ok late dropped tick dropped drain apply b ok ok ok queue",
		"run O1, not run O10, not run O7 platform unreachable, Started"),
	Entry("O8, O9: does not run after its deadline, and its repeat runs", "b tick drain b ok ok ok queue", "run O1, not run O8 deadline, Started"),
	Entry("O8, O9: does not run after a pause past its deadline", "b pause ok queue drain", "put O9, not run O8 deadline, NotRun"),
	Entry("O8, O9: does not run after the lease was lost", "b lost abandon drain", "not run O8 lease lapsed, NotRun"),
	Entry("O10: keeps its answer if recording the outcome fails", "b ok answered dropped tick dropped tick ok drain", "answered O10, Answered"),
	Entry("O10: holds back not run only for a short time", "b ok notrun tick", "not run O10, Started"),
	Entry("O10: tells the caller unknown at the deadline while the run goes on", "b ok tick answered ok", "unknown O10 deadline, Answered"),
)

var _ = It("keys of different services have different records", func() {
	Expect(dgonce.RecordName("ab", "c")).NotTo(Equal(dgonce.RecordName("a", "bc")))
})

// check fails if a caller got a wrong outcome or answer, or if the request ran more than
// once.
func (f *fleet) check(t *rapid.T) {
	runs := 0
	for i, v := range f.vms {
		ran := v.ran && v.outcome != notRun
		if ran {
			runs++
		}
		if len(v.pending) > 1 || len(v.finishes) > 1 || v.Settled() && (len(v.finishes) != 1 || len(v.pending) > 0) {
			t.Fatalf("attempt %d: under way %v, finished with %v, settled %v", i, v.pending, v.finishes, v.Settled())
		}
		if len(v.finishes) > 0 && v.finishes[0].Outcome == notRun && ran {
			t.Fatalf("attempt %d ran, but its caller got the outcome not run", i)
		}
		if len(v.finishes) > 0 && v.finishes[0].Outcome == dandeliongap.OutcomeAnswered && string(v.finishes[0].Body) != "x\x00\xff" {
			t.Fatalf("attempt %d: wrong answer %q", i, v.finishes[0].Body)
		}
	}
	if runs > 1 {
		t.Fatalf("the request ran %d times", runs)
	}
}

// Checks that a request runs at most once in any order of lost answers, late
// writes, conflicts, outages, pauses and attempts on several VMs.
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
				// After CleanUpAttempts failures a record may stay uncorrected.
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
				t.Fatalf("an attempt is not settled: %v", v.pending)
			}
		}
		for range f.unapplied {
			f.do(f.vms[0], "apply")
		}
		repeat := f.start("b")
		f.do(repeat, "drain")
		if !ran && !repeat.ran && repeat.finishes[0].Rule != dgonce.RuleOtherBody {
			t.Fatalf("the request did not run, but its record in state %v blocks a repeat", f.state())
		}
	})
}

func init() { dgproperty.SetRapidDefaults(1, 500) }

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgonce")
}
