package dgonce_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgonce"
)

const deadline = dandeliongap.Instant(time.Second)

var errLost = dandeliongap.ErrUnreachable

// store is the platform's object for one key.
type store struct {
	body    []byte
	version dandeliongap.Version
}

func (s *store) put(a dgonce.Action) (dandeliongap.Version, error) {
	if a.IfVersion != s.version {
		return 0, dandeliongap.ErrConflict
	}
	s.body, s.version = a.Body, s.version+1
	return s.version, nil
}

func (s *store) get() (dandeliongap.Object, error) {
	if s.version == 0 {
		return dandeliongap.Object{}, dandeliongap.ErrNotFound
	}
	return dandeliongap.Object{Version: s.version, Body: s.body}, nil
}

func (s *store) state() dgonce.RecordState {
	var r dgonce.Record
	_ = json.Unmarshal(s.body, &r)
	return r.State
}

// vm is an entry VM with one attempt at the key.
type vm struct {
	dgonce.Once
	s       *store
	now     dandeliongap.Instant
	queue   []dgonce.Action // calls and runs that are under way
	end     []dgonce.Action
	ran     bool
	outcome dandeliongap.Outcome // of the run
	answer  []byte
}

func (v *vm) start(n int, body string) {
	v.take(v.Start(v.now, dgonce.Request{Service: "orders", Key: "k", Body: []byte(body), VM: dandeliongap.VMName(fmt.Sprint("vm", n)),
		Attempt: fmt.Sprint("attempt", n), Deadline: v.now + deadline}, nil))
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

// serve answers the call under way. With an error the driver gets no answer.
func (v *vm) serve(applied bool, err error) {
	a := v.queue[0]
	v.queue = v.queue[1:]
	var version dandeliongap.Version
	var obj dandeliongap.Object
	var result error
	switch {
	case a.Kind == dgonce.Put && applied:
		version, result = v.s.put(a)
	case a.Kind == dgonce.Get:
		obj, result = v.s.get()
	}
	if err != nil {
		result = err
	}
	if a.Kind == dgonce.Put {
		v.take(v.PutDone(v.now, version, result, nil))
	} else {
		v.take(v.GetDone(v.now, obj, result, nil))
	}
}

func (v *vm) finishRun(out dandeliongap.Outcome, body []byte) {
	v.queue, v.outcome, v.answer = v.queue[1:], out, body
	v.take(v.RunDone(v.now, out, dandeliongap.ReasonNone, 0, body, nil))
}

// drain serves everything over a platform that works, and ends runs with out.
func (v *vm) drain(out dandeliongap.Outcome, body []byte) {
	for range 100 {
		switch {
		case len(v.queue) == 0 && v.Settled():
			return
		case len(v.queue) == 0:
			v.now = max(v.now, v.Next())
			v.take(v.Tick(v.now, nil))
		case v.queue[0].Kind == dgonce.Run:
			v.finishRun(out, body)
		default:
			v.serve(true, nil)
		}
	}
}

// attempt runs attempt n to its end over a platform that works.
func attempt(s *store, n int, body string, out dandeliongap.Outcome, answer []byte) *vm {
	v := &vm{s: s}
	v.start(n, body)
	v.drain(out, answer)
	return v
}

const (
	answered = dandeliongap.OutcomeAnswered
	notRun   = dandeliongap.OutcomeNotRun
	unknown  = dandeliongap.OutcomeUnknown
)

func told(out dandeliongap.Outcome, reason dandeliongap.Reason, rule dgonce.Rule) types.GomegaMatcher {
	return HaveExactElements(And(HaveField("Outcome", out), HaveField("Reason", reason), HaveField("Rule", rule)))
}

var _ = Describe("a request that may not be repeated", func() {
	var s *store
	var v *vm
	BeforeEach(func() {
		s = &store{}
		v = &vm{s: s}
	})
	It("O1: would run before anything proves that it did", func() {
		v.start(1, "b")
		Expect(v.queue).To(HaveExactElements(And(HaveField("Kind", dgonce.Put), HaveField("IfVersion", BeZero()))))
		v.serve(true, nil)
		Expect(s.state()).To(Equal(dgonce.Started))
		Expect(v.queue).To(HaveExactElements(HaveField("Kind", dgonce.Run)))
	})
	DescribeTable("O2: would not run, or run twice, if the answer to the write is lost", func(applied bool) {
		v.start(1, "b")
		v.serve(applied, errLost)
		v.drain(answered, []byte("x"))
		Expect(v.end).To(told(answered, 0, dgonce.RuleOutcome))
		Expect(s.state()).To(Equal(dgonce.Answered))
	}, Entry("after it took effect", true), Entry("before", false))
	It("O3, O4: a repeat would run again, or get another request's answer", func() {
		attempt(s, 1, "b", answered, []byte("x\x00\xff"))
		v = attempt(s, 2, "b", unknown, nil)
		Expect(v.end).To(told(answered, 0, dgonce.RuleStored))
		Expect(v.end[0].Body).To(Equal([]byte("x\x00\xff")))
		Expect(attempt(s, 3, "other", answered, nil).end).To(told(notRun, dandeliongap.ReasonDuplicate, dgonce.RuleOtherBody))
		Expect(dgonce.RecordName("ab", "c")).NotTo(Equal(dgonce.RecordName("a", "bc")))
	})
	It("O4: an answer that is too large would be cut", func() {
		large := bytes.Repeat([]byte("x"), dgonce.MaxAnswer+1)
		Expect(attempt(s, 1, "b", answered, large).end[0].Body).To(Equal(large))
		Expect(attempt(s, 2, "b", answered, nil).end).To(told(unknown, dandeliongap.ReasonDuplicate, dgonce.RuleStored))
	})
	It("O5: a request that did not run could never be repeated", func() {
		Expect(attempt(s, 1, "b", notRun, nil).end).To(told(notRun, 0, dgonce.RuleOutcome))
		Expect(attempt(s, 2, "b", answered, nil).ran).To(BeTrue())
	})
	It("O6: a request that may have run would run again", func() {
		v.start(1, "b")
		v.serve(true, nil)
		repeat := attempt(s, 2, "b", answered, nil)
		Expect(repeat.end).To(told(unknown, dandeliongap.ReasonDuplicate, dgonce.RuleOtherAttempt))
		v.drain(unknown, nil)
		Expect(attempt(s, 3, "b", answered, nil).end).To(told(unknown, dandeliongap.ReasonDuplicate, dgonce.RuleOtherAttempt))
		s.body = []byte("{")
		Expect(attempt(s, 4, "b", answered, nil).end).To(told(unknown, dandeliongap.ReasonBroken, dgonce.RuleOtherAttempt))
	})
	DescribeTable("O7 to O9: a request told as not run would run later, or block its repeat",
		func(stop func(), reason dandeliongap.Reason, rule dgonce.Rule) {
			v.start(1, "b")
			stop()
			Expect(v.end).To(told(notRun, reason, rule))
			v.drain(answered, nil)
			Expect(v.ran).To(BeFalse())
			Expect(v.Settled()).To(BeTrue())
			Expect(v.end).To(HaveLen(1))
			Expect(s.state()).To(Equal(dgonce.NotRun))
			Expect(attempt(s, 2, "b", answered, nil).ran).To(BeTrue())
		},
		Entry("platform down after the write took effect", func() {
			v.serve(true, errLost)
			v.serve(true, errLost)
			v.take(v.Tick(v.Next(), nil))
			v.serve(true, errLost)
		}, dandeliongap.ReasonPlatform, dgonce.RulePlatform),
		Entry("deadline during the write", func() {
			v.now = deadline
			v.take(v.Tick(v.now, nil))
		}, dandeliongap.ReasonDeadline, dgonce.RuleNotStarted),
		Entry("answer to the write after a pause", func() {
			v.now = deadline
			v.serve(true, nil)
		}, dandeliongap.ReasonDeadline, dgonce.RuleNotStarted),
		Entry("lease lost during the write", func() {
			v.take(v.Abandon(0, dandeliongap.ReasonLease, nil))
		}, dandeliongap.ReasonLease, dgonce.RuleNotStarted),
	)
	It("O10: a lost outcome write would change what the caller is told, or delay it", func() {
		v.start(1, "b")
		v.serve(true, nil)
		v.finishRun(answered, []byte("x"))
		Expect(v.end).To(told(answered, 0, dgonce.RuleOutcome))
		for range dgonce.CleanUpAttempts {
			v.serve(false, errLost)
			v.take(v.Tick(v.Next(), nil))
		}
		Expect(v.Settled()).To(BeTrue())
		Expect(v.end).To(HaveLen(1))
		v = &vm{s: &store{}}
		v.start(1, "b")
		v.serve(true, nil)
		v.finishRun(notRun, nil)
		Expect(v.end).To(BeEmpty())
		v.take(v.Tick(v.Next(), nil))
		Expect(v.end).To(told(notRun, 0, dgonce.RuleOutcome))
		v = &vm{s: &store{}}
		v.start(1, "b")
		v.serve(true, nil)
		v.take(v.Tick(v.Next(), nil))
		Expect(v.end).To(told(unknown, dandeliongap.ReasonDeadline, dgonce.RuleOutcome))
	})
})

// Guards at most once against any order of lost answers, writes that take
// effect late, conflicts, outages, pauses and runs on several VMs.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		var vms []*vm
		var late []dgonce.Action
		lost := 0
		check := func() {
			runs := 0
			for i, v := range vms {
				if v.ran && v.outcome != notRun {
					runs++
				}
				if len(v.queue) > 1 || len(v.end) > 1 || v.Settled() && (len(v.end) != 1 || len(v.queue) > 0) {
					t.Fatalf("attempt %d: under way %v, ends %v, settled %v", i, v.queue, v.end, v.Settled())
				}
				if len(v.end) > 0 && v.end[0].Outcome == notRun && v.ran && v.outcome != notRun {
					t.Fatalf("attempt %d ran, its caller was told that it did not", i)
				}
				if len(v.end) > 0 && v.end[0].Outcome == answered && string(v.end[0].Body) != "answer" {
					t.Fatalf("attempt %d: answer %q", i, v.end[0].Body)
				}
			}
			if runs > 1 {
				t.Fatalf("%d runs", runs)
			}
		}
		for range 120 {
			event := rapid.SampledFrom([]string{"start", "serve", "serve", "serve", "lost", "late", "apply", "run", "tick", "pause", "abandon"}).Draw(t, "event")
			if event == "start" && len(vms) < 6 {
				vms = append(vms, &vm{s: s})
				vms[len(vms)-1].start(len(vms), rapid.SampledFrom([]string{"b", "b", "b", "c"}).Draw(t, "body"))
			}
			if len(vms) == 0 {
				continue
			}
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			calls := len(v.queue) > 0 && v.queue[0].Kind != dgonce.Run
			switch {
			case event == "serve" && calls:
				v.serve(true, nil)
			case event == "lost" && calls && lost < dgonce.CleanUpAttempts-1:
				lost++
				v.serve(rapid.Bool().Draw(t, "applied"), errLost)
			case event == "late" && calls && v.queue[0].Kind == dgonce.Put && lost < dgonce.CleanUpAttempts-1:
				lost++
				late = append(late, v.queue[0])
				v.serve(false, errLost)
			case event == "apply" && len(late) > 0:
				_, _ = s.put(late[0])
				late = late[1:]
			case event == "run" && len(v.queue) > 0 && !calls:
				v.finishRun(rapid.SampledFrom([]dandeliongap.Outcome{answered, notRun, notRun, unknown}).Draw(t, "outcome"), []byte("answer"))
			case event == "tick" && v.Next() != dgonce.Never:
				v.now = max(v.now, v.Next())
				v.take(v.Tick(v.now, nil))
			case event == "pause":
				v.now += deadline / 3
			case event == "abandon":
				v.take(v.Abandon(v.now, dandeliongap.ReasonLease, nil))
			}
			check()
		}
		ran := false
		for _, v := range vms {
			v.drain(notRun, nil)
			check()
			ran = ran || v.outcome != notRun && v.ran
		}
		for _, a := range late {
			_, _ = s.put(a)
		}
		var first dgonce.Record
		_ = json.Unmarshal(s.body, &first)
		repeat := attempt(s, 100, "b", answered, []byte("answer"))
		vms = append(vms, repeat)
		check()
		if !ran && !repeat.ran && repeat.end[0].Rule != dgonce.RuleOtherBody {
			t.Fatalf("record %+v of a request that did not run blocks its repeat", first)
		}
	})
}

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgonce")
}
