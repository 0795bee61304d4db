package dgrollout_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgrollout"
)

func at(d time.Duration) dandeliongap.Instant { return dandeliongap.Instant(d) }

// play plays seeded runs of a behaviour and counts those that end in each way.
func play(t *testing.T, runs int, b behaviour, check func(t *testing.T, seed uint64, r result)) (completed, bad int) {
	for seed := range uint64(runs) {
		r := run(b, seed)
		if r.stage == dgrollout.Completed {
			completed++
		}
		if r.why == "the target is bad" {
			bad++
		}
		if r.oldAfterEnd > 0 || r.endedAt > b.duration {
			t.Errorf("seed %d: ended after %v with %d requests at old replicas", seed, r.endedAt, r.oldAfterEnd)
		}
		if check != nil {
			check(t, seed, r)
		}
	}
	return completed, bad
}

// TestErrorProbabilities guards against good versions that are taken as bad, and bad ones
// that are completed, more often than the package comment says.
func TestErrorProbabilities(t *testing.T) {
	const runs = 100
	var goodRuns, takenAsBad, badRuns, takenAsGood, enoughRuns, inTime atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, rate := range []float64{8, 20, 45} {
			base := behaviour{rate: rate, duration: 15 * time.Second, oldFailures: 0.01}
			for name, change := range map[string]func(*behaviour){
				"healthy":      func(*behaviour) {},
				"slow zone":    func(b *behaviour) { b.slowZone = true },
				"cold":         func(b *behaviour) { b.warmup = 3 * time.Second },
				"overload":     func(b *behaviour) { b.overload = true },
				"leader lost":  func(b *behaviour) { b.leaderLost = 6 * time.Second },
				"two replicas": func(b *behaviour) { b.replicas = 2 },
			} {
				t.Run(fmt.Sprintf("good, %s, %g a second", name, rate), func(t *testing.T) {
					t.Parallel()
					b := base
					change(&b)
					completed, bad := play(t, runs, b, nil)
					goodRuns.Add(runs)
					takenAsBad.Add(int64(bad))
					t.Logf("%d of %d completed, %d taken as bad", completed, runs, bad)
					if rate < 20 {
						return // the canary requests that are permitted may be too few
					}
					enoughRuns.Add(runs)
					inTime.Add(int64(completed))
					if completed < runs*8/10 {
						t.Errorf("%d of %d good versions completed, want 8 of 10", completed, runs)
					}
				})
			}
			for name, change := range map[string]func(*behaviour){
				"30% fail":              func(b *behaviour) { b.failures = 0.3 },
				"60% fail from 5 s on":  func(b *behaviour) { b.failures, b.from = 0.6, 5*time.Second },
				"slow":                  func(b *behaviour) { b.slow = 1 },
				"slow in overload":      func(b *behaviour) { b.slow, b.overload = 1, true },
				"slow from 6 s on":      func(b *behaviour) { b.slow, b.from = 1, 6*time.Second },
				"30% fail, leader lost": func(b *behaviour) { b.failures, b.leaderLost = 0.3, 4*time.Second },
				"all fail on one route": func(b *behaviour) { b.failures, b.route = 1, "r2" },
			} {
				t.Run(fmt.Sprintf("bad, %s, %g a second", name, rate), func(t *testing.T) {
					t.Parallel()
					b := base
					change(&b)
					completed, bad := play(t, runs, b, func(t *testing.T, seed uint64, r result) {
						if r.lateExposed > 0 {
							t.Errorf("seed %d: %d requests later than %v after the 50th bad response", seed, r.lateExposed, rollbackMax)
						}
						if limit := boundShare*float64(r.requests) + boundSlack; float64(r.exposed) > limit {
							t.Errorf("seed %d: %d requests to a bad version, limit %.0f", seed, r.exposed, limit)
						}
					})
					badRuns.Add(runs)
					takenAsGood.Add(int64(completed))
					t.Logf("%d of %d completed, %d found to be bad", completed, runs, bad)
				})
			}
		}
	})
	t.Logf("%d of %d good versions taken as bad, %d of %d bad ones completed, %d of %d good ones in time at 20 a second and more",
		takenAsBad.Load(), goodRuns.Load(), takenAsGood.Load(), badRuns.Load(), inTime.Load(), enoughRuns.Load())
	if 10*inTime.Load() < 9*enoughRuns.Load() {
		t.Errorf("%d of %d good versions completed, want 9 of 10", inTime.Load(), enoughRuns.Load())
	}
	if 100*takenAsBad.Load() > goodRuns.Load() {
		t.Errorf("%d of %d good versions taken as bad, want at most 1 of 100", takenAsBad.Load(), goodRuns.Load())
	}
	if 100*takenAsGood.Load() > badRuns.Load() {
		t.Errorf("%d of %d bad versions completed, want at most 1 of 100", takenAsGood.Load(), badRuns.Load())
	}
}

// TestFaults guards against a bad version that gets more requests than permitted, or any
// from VMs that are cut off, while VMs get no news or the store takes no writes.
func TestFaults(t *testing.T) {
	for name, change := range map[string]func(*behaviour){
		"three VMs cut off":     func(b *behaviour) { b.cut = 3 },
		"no writes":             func(b *behaviour) { b.storeDown = true },
		"no writes, three cut":  func(b *behaviour) { b.storeDown, b.cut = true, 3 },
		"no writes, no replica": func(b *behaviour) { b.storeDown, b.replicas = true, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := behaviour{rate: 30, duration: 15 * time.Second, failures: 0.4}
			change(&b)
			completed, _ := play(t, 100, b, func(t *testing.T, seed uint64, r result) {
				if r.cutExposed > 0 {
					t.Errorf("seed %d: %d requests of VMs without news", seed, r.cutExposed)
				}
				if limit := boundShare*float64(r.requests) + boundSlack; float64(r.exposed) > limit {
					t.Errorf("seed %d: %d requests to a bad version, limit %.0f", seed, r.exposed, limit)
				}
			})
			if completed > 0 {
				t.Errorf("%d completed", completed)
			}
		})
	}
}

// replicas returns one replica for each version, named like it.
func replicas(versions ...dandeliongap.SoftwareVersion) (list []dandeliongap.Instance) {
	for _, v := range versions {
		list = append(list, dandeliongap.Instance{ID: dandeliongap.InstanceID(v), Service: svc, Zone: "z", Software: v})
	}
	return list
}

func order(version dandeliongap.Version, target dandeliongap.SoftwareVersion) dandeliongap.RolloutOrder {
	return dandeliongap.RolloutOrder{Service: svc, Target: target, Duration: 15 * time.Second, Version: version}
}

// vm is a VM whose requests take no time.
type vm struct {
	local    *dgrollout.Local
	balancer *dgbalance.Balancer
	list     []dandeliongap.Instance
}

func newVM(share float64, list []dandeliongap.Instance) *vm {
	v := &vm{local: dgrollout.NewLocal(limits), balancer: dgbalance.New("vm", "z", rand.New(rand.NewPCG(1, 1)))}
	v.local.SetShare(share)
	v.setReplicas(0, list)
	return v
}

func (v *vm) setReplicas(now dandeliongap.Instant, list []dandeliongap.Instance) {
	v.local.SetReplicas(now, list)
	v.balancer.Update(now, list, nil, nil, []dandeliongap.VMName{"vm"})
}

// send returns the version that gets a request, "" if none does.
func (v *vm) send(now dandeliongap.Instant, extra bool) dandeliongap.SoftwareVersion {
	a, _, err := v.balancer.PickAmong(now, "r", svc, v.local.Groups(now, svc, extra), nil, nil)
	if err != nil {
		return ""
	}
	v.local.Sent(&a.Instance)
	v.balancer.Done(now, "r", &a, dgbalance.Answered)
	v.local.Ended(now, "r", &a.Instance, a.Start, false, dgrollout.Succeeded)
	return a.Instance.Software
}

// count sends requests from one time to another and returns those to a version.
func (v *vm) count(from, to time.Duration, version dandeliongap.SoftwareVersion) (n, all int) {
	for now := from; now < to; now += 10 * time.Millisecond {
		v.local.SetNews(at(now))
		all++
		if v.send(at(now), false) == version {
			n++
		}
	}
	return n, all
}

// TestExposureWithoutCommunication guards against VMs that together send more to a target
// than permitted, as long as the store holds no further stage: each VM alone, however many
// there are and however unevenly the requests are spread.
func TestExposureWithoutCommunication(t *testing.T) {
	for _, n := range []int{1, 7, 610} {
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		vms := make([]*vm, n)
		for i := range vms {
			vms[i] = newVM(1/float64(n), replicas("v1", "v2"))
			vms[i].local.SetOrder(0, order(2, "v2"))
		}
		all, exposed := 0, 0
		for now := time.Duration(0); now < 15*time.Second; now += time.Millisecond {
			i := int(rng.Float64() * rng.Float64() * float64(n))
			vms[i].local.SetNews(at(now))
			all++
			if vms[i].send(at(now), rng.IntN(5) == 0) == "v2" {
				exposed++
			}
		}
		if limit := boundShare*float64(all) + boundSlack/2; float64(exposed) > limit || exposed == 0 {
			t.Errorf("%d VMs: %d of %d requests to the target, limit %.0f", n, exposed, all, limit)
		}
	}
}

// TestVersionsInUse guards against requests to replicas that nobody ordered, or that an
// order has not been completed for (X1, X2).
func TestVersionsInUse(t *testing.T) {
	const second = time.Second
	v := newVM(1, replicas("v1"))
	v.setReplicas(1, replicas("v1", "stray"))
	if n, _ := v.count(0, second, "v1"); n != 100 {
		t.Errorf("%d of 100 requests to the version in use", n)
	}
	v.setReplicas(2, replicas("stray"))
	if n, _ := v.count(second, 2*second, "stray"); n != 100 {
		t.Errorf("%d of 100 requests to the only replica", n)
	}
	// The replicas of the target registered before the VM started.
	v = newVM(1, replicas("v1", "v2"))
	v.local.SetOrder(at(second), order(7, "v2"))
	v.local.Withdraw(svc, 9)
	if n, _ := v.count(second, 2*second, "v1"); n != 100 {
		t.Errorf("%d of 100 requests to the old version after the order was withdrawn", n)
	}
	done := order(12, "v2")
	done.Status = dandeliongap.RolloutStatus{State: dandeliongap.RolloutCompleted, Target: "v2"}
	v.local.SetOrder(at(2*second), done)
	if n, _ := v.count(2*second, 3*second, "v2"); n != 100 {
		t.Errorf("%d of 100 requests to the target of a completed order", n)
	}
	failed := order(15, "v3")
	failed.Status = dandeliongap.RolloutStatus{State: dandeliongap.RolloutRolledBack, Target: "v3"}
	v.local.SetOrder(at(3*second), failed)
	v.setReplicas(at(3*second), replicas("v2", "v3"))
	if n, _ := v.count(3*second, 4*second, "v2"); n != 100 {
		t.Errorf("%d of 100 requests to the version in use after a rollback", n)
	}
}

// TestStops guards against a VM that goes on sending to the target without news, after a
// verdict, or from retries (X3, X4, X9).
func TestStops(t *testing.T) {
	newCanary := func() *vm {
		v := newVM(1, replicas("v1", "v2"))
		v.local.SetOrder(0, order(2, "v2"))
		return v
	}
	v := newCanary()
	if n, _ := v.count(0, 3*time.Second, "v2"); n == 0 {
		t.Fatal("no canary requests")
	}
	for now := 3*time.Second + dgrollout.FreshFor; now < 12*time.Second; now += 10 * time.Millisecond {
		if got := v.send(at(now), false); got != "v1" {
			t.Fatalf("request to %q without news", got)
		}
	}
	if !v.local.SetBad(svc, 2) || v.local.SetBad(svc, 1) {
		t.Error("a verdict must be of the newest order")
	}
	if n, _ := v.count(12*time.Second, 14*time.Second, "v2"); n > 0 {
		t.Errorf("%d requests after the verdict", n)
	}
	v = newCanary()
	v.local.SetNews(0)
	for range 100 {
		if got := v.send(0, true); got != "v1" {
			t.Fatalf("retry at %q", got)
		}
	}
	// The own evidence is enough without a leading VM.
	v = newCanary()
	old, target := replicas("v1")[0], replicas("v2")[0]
	var found []dandeliongap.ServiceName
	for i := range 40 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		for range 10 {
			v.local.Ended(now, "r", &old, now, false, dgrollout.Succeeded)
		}
		v.local.Ended(now, "r", &target, now, false, dgrollout.Failed)
		found = append(found, v.local.Judge(now)...)
	}
	if !reflect.DeepEqual(found, []dandeliongap.ServiceName{svc}) {
		t.Errorf("found bad: %v", found)
	}
}

// TestSecondOrder guards against an order that gives the same target new slack, and one
// whose target inherits the evidence against another (X13).
func TestSecondOrder(t *testing.T) {
	v := newVM(1, replicas("v1", "v2", "v3"))
	v.local.SetOrder(0, order(2, "v2"))
	n, all := v.count(0, 5*time.Second, "v2")
	v.local.SetOrder(at(5*time.Second), order(8, "v2"))
	m, more := v.count(5*time.Second, 10*time.Second, "v2")
	if limit := boundShare*float64(all+more) + boundSlack/2; float64(n+m) > limit {
		t.Errorf("%d requests to the target, limit %.0f", n+m, limit)
	}
	running := order(8, "v2")
	running.Version, running.Status = 9, dandeliongap.RolloutStatus{State: dandeliongap.RolloutRunning, Target: "v2"}
	if v.local.SetOrder(at(9*time.Second), running); v.local.View(svc).Since != at(5*time.Second) {
		t.Error("a status moves the deadline of an order")
	}
	v.local.SetBad(svc, 9)
	v.local.SetOrder(at(10*time.Second), order(10, "v3"))
	if n, _ := v.count(10*time.Second, 15*time.Second, "v3"); n == 0 {
		t.Error("the second target gets no requests")
	}
	if n, _ := v.count(15*time.Second, 16*time.Second, "v2"); n > 0 {
		t.Error("the target of the order before gets requests")
	}
	// The same text written again after its end is a new order, although the store keeps
	// the status.
	ended := order(12, "v3")
	ended.Status = dandeliongap.RolloutStatus{State: dandeliongap.RolloutRolledBack, Target: "v3"}
	if v.local.SetOrder(at(16*time.Second), ended) {
		t.Error("an order that ended begins")
	}
	if ended.Version = 14; !v.local.SetOrder(at(17*time.Second), ended) {
		t.Error("an order that was written again does not begin")
	}
}

// TestIdentity guards against a status that makes an order a new one or moves its deadline,
// against a repeated write of the operator that is taken for a status, and against VMs that
// disagree on the order because some of them missed a write (X14).
func TestIdentity(t *testing.T) {
	withStatus := func(version dandeliongap.Version, state dandeliongap.RolloutState) dandeliongap.RolloutOrder {
		o := order(version, "v2")
		o.Status = dandeliongap.RolloutStatus{State: state, Target: "v2"}
		return o
	}
	state := func(id dandeliongap.Version, stage dgrollout.Stage) dgrollout.State {
		return dgrollout.State{Order: id, Target: "v2", Duration: 15 * time.Second, Stage: stage}
	}
	begin := func() *dgrollout.Local {
		l := newVM(1, replicas("v1", "v2")).local
		if !l.SetOrder(at(time.Second), order(5, "v2")) || !l.SetState(svc, state(5, dgrollout.Quarter)) {
			t.Fatal("the order does not begin")
		}
		return l
	}
	expect := func(l *dgrollout.Local, id dandeliongap.Version, stage dgrollout.Stage, open bool) {
		t.Helper()
		if v := l.View(svc); v.ID != id || v.Stage != stage || v.Open != open {
			t.Errorf("order %d, %v, open %v; want %d, %v, %v", v.ID, v.Stage, v.Open, id, stage, open)
		}
	}
	l := begin()
	if l.SetOrder(at(2*time.Second), withStatus(7, dandeliongap.RolloutRunning)) || l.View(svc).Since != at(time.Second) {
		t.Error("a status begins an order")
	}
	expect(l, 5, dgrollout.Quarter, true)
	if l.SetState(svc, state(5, dgrollout.Canary)) {
		t.Error("a state goes back")
	}
	l.SetOrder(at(3*time.Second), withStatus(9, dandeliongap.RolloutRolledBack))
	expect(l, 5, dgrollout.RolledBack, false)
	for name, again := range map[string]dandeliongap.RolloutOrder{
		"without a status":         order(11, "v2"),
		"with the same status":     withStatus(11, dandeliongap.RolloutRolledBack),
		"running after its end":    withStatus(11, dandeliongap.RolloutRunning),
		"with the status of other": {Service: svc, Target: "v2", Duration: 15 * time.Second, Version: 11, Status: dandeliongap.RolloutStatus{State: dandeliongap.RolloutRunning, Target: "v1"}},
	} {
		l := begin()
		l.SetOrder(at(3*time.Second), withStatus(9, dandeliongap.RolloutRolledBack))
		if !l.SetOrder(at(4*time.Second), again) {
			t.Errorf("%s: a repeated write does not begin an order", name)
		}
		expect(l, 11, dgrollout.Canary, true)
	}
	// An open order that is written again begins again, and a state of the one before says
	// nothing about it.
	l = begin()
	if !l.SetOrder(at(4*time.Second), order(11, "v2")) || l.View(svc).Since != at(4*time.Second) {
		t.Error("a repeated write does not begin an order")
	}
	if l.Adopt(at(4*time.Second), svc, state(5, dgrollout.All), 6) || l.SetState(svc, state(5, dgrollout.All)) {
		t.Error("the state of the order before is in force")
	}
	// A VM that missed the repeated write, or that started during the rollout.
	l = begin()
	l.SetOrder(at(4*time.Second), withStatus(13, dandeliongap.RolloutRunning))
	if !l.Adopt(at(4*time.Second), svc, state(11, dgrollout.Canary), 12) {
		t.Error("the order of the leading VM is not adopted")
	}
	expect(l, 11, dgrollout.Canary, true)
	l = newVM(1, replicas("v1", "v2")).local
	l.SetOrder(at(4*time.Second), withStatus(13, dandeliongap.RolloutRunning))
	if !l.Adopt(at(4*time.Second), svc, state(11, dgrollout.Half), 15) || !l.SetState(svc, state(11, dgrollout.Half)) {
		t.Error("the order of the leading VM is not adopted")
	}
	expect(l, 11, dgrollout.Half, true)
	other := state(11, dgrollout.All)
	other.Duration++
	if l.Adopt(at(4*time.Second), svc, other, 20) {
		t.Error("the state of another order is adopted")
	}
}

// TestLostResponse guards against a leading VM that stops, repeats a step or changes its mind
// when the response to a write is lost, and against two leading VMs that disagree: what one of
// them writes decides, and "rolled back" is never followed by another stage.
func TestLostResponse(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		bad := seed%2 == 0
		leaders := []*dgrollout.Lead{dgrollout.NewLead(0, order(2, "v2"), limits), dgrollout.NewLead(0, order(2, "v2"), limits)}
		stored, version := dgrollout.State{Order: 2, Target: "v2"}, 1
		seen := []struct {
			stage   dgrollout.Stage
			version int
		}{{dgrollout.Canary, 1}, {dgrollout.Canary, 1}}
		var counts [2]dgrollout.Counts // of the old version, of the target
		final, late := 0, [2]bool{}
		for now := time.Duration(0); now < 16*time.Second; now += 250 * time.Millisecond {
			counts[0].Responses += 20
			counts[0].Timed += 20
			counts[1].Responses += 2
			counts[1].Timed += 2
			if bad && now > 9*time.Second {
				counts[1].Failures++
			}
			for i, l := range leaders {
				if rng.IntN(3) > 0 { // otherwise the datagram is lost
					l.Receive("vm", 1, []dgrollout.Row{
						{Key: dgrollout.Key{Route: "r", Replica: "a", Zone: "z"}, Counts: counts[0]},
						{Key: dgrollout.Key{Route: "r", Replica: "b", Zone: "z", New: true}, Counts: counts[1]},
					}, false)
				}
				d := l.Decide(dgrollout.Situation{Now: at(now), Elapsed: now, Stage: seen[i].stage, Replicas: 1, LongestTime: routeTime, HubsUse: true})
				if d.Stage != seen[i].stage && seen[i].version == version {
					if stored.Stage.Final() {
						t.Fatalf("seed %d: stage %v written after %v", seed, d.Stage, stored.Stage)
					}
					if d.Stage.Final() {
						final++
					}
					stored.Stage = d.Stage
					version++
				}
				late[i] = !late[i] && rng.IntN(2) == 0 // the response is lost, and the watch brings the change later
				if !late[i] {
					seen[i].stage, seen[i].version = stored.Stage, version
				}
			}
		}
		want := dgrollout.Completed
		if bad {
			want = dgrollout.RolledBack
		}
		if stored.Stage != want || final != 1 {
			t.Errorf("seed %d: ended as %v, %d final writes; want %v", seed, stored.Stage, final, want)
		}
	}
}

// TestNoReplicaOrEvidence guards against an order without a replica of its target, or without
// requests, that stays open past its deadline or is completed (X12).
func TestNoReplicaOrEvidence(t *testing.T) {
	for _, n := range []int{0, 2} {
		l := dgrollout.NewLead(0, order(2, "v2"), limits)
		stage := dgrollout.Canary
		for now := time.Duration(0); now < 15*time.Second && !stage.Final(); now += 250 * time.Millisecond {
			stage = l.Decide(dgrollout.Situation{Now: at(now), Elapsed: now, Stage: stage, Replicas: n, LongestTime: routeTime, HubsUse: true}).Stage
		}
		if stage != dgrollout.RolledBack {
			t.Errorf("%d replicas: %v at the deadline", n, stage)
		}
	}
}

// TestCheck guards against an invalid order that moves traffic.
func TestCheck(t *testing.T) {
	valid := order(1, "v2")
	for name, change := range map[string]func(*dandeliongap.RolloutOrder){
		"empty version": func(o *dandeliongap.RolloutOrder) { o.Target = "" },
		"no duration":   func(o *dandeliongap.RolloutOrder) { o.Duration = 0 },
		"long duration": func(o *dandeliongap.RolloutOrder) { o.Duration = 25 * time.Hour },
	} {
		o := valid
		change(&o)
		if dgrollout.Check(o, true) == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if dgrollout.Check(valid, false) == nil || dgrollout.Check(valid, true) != nil {
		t.Error("only orders for a known service are valid")
	}
}

// TestLateExposure guards against a version that gets more requests than permitted because
// it becomes bad late, or because few of its responses are bad.
func TestLateExposure(t *testing.T) {
	for name, change := range map[string]func(*behaviour){
		"30% fail from half of the time on": func(b *behaviour) { b.failures, b.from = 0.3, b.duration/2 },
		"30% fail in the last 5 s":          func(b *behaviour) { b.failures, b.from = 0.3, b.duration-5*time.Second },
		"15% fail":                          func(b *behaviour) { b.failures = 0.15 },
	} {
		for _, rate := range []float64{8, 20, 45} {
			t.Run(fmt.Sprintf("%s, %g a second", name, rate), func(t *testing.T) {
				t.Parallel()
				b := behaviour{rate: rate, duration: 15 * time.Second, oldFailures: 0.01}
				change(&b)
				over := 0
				play(t, 100, b, func(_ *testing.T, _ uint64, r result) {
					if float64(r.exposed) > boundShare*float64(r.requests)+boundSlack {
						over++
					}
				})
				if over > 0 {
					t.Errorf("%d of 100 got more requests than permitted", over)
				}
			})
		}
	}
}

// TestFewRequests guards against good versions that are rolled back for lack of evidence
// where a service has few requests.
func TestFewRequests(t *testing.T) {
	completed, _ := play(t, 100, behaviour{rate: 8, duration: 15 * time.Second, oldFailures: 0.01}, nil)
	if completed < 90 {
		t.Errorf("%d of 100 good versions completed, want 9 of 10", completed)
	}
}
