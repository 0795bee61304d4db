package dgrollout_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgrollout"
)

const (
	svc         = dandeliongap.ServiceName("s")
	oldVersion  = dandeliongap.SoftwareVersion("v1")
	newVersion  = dandeliongap.SoftwareVersion("v2")
	routeTime   = 2 * time.Second // longest request
	boundShare  = 0.1             // of the page
	boundSlack  = 50.0            // of the page
	rollbackMax = 5 * time.Second // of the page
)

var limits = dgrollout.Limits{Share: boundShare, Slack: boundSlack}

// behaviour is how the replicas and the network behave in a run of the tier.
type behaviour struct {
	failures, oldFailures float64       // shares of failed responses of the target and of the old version
	slow                  float64       // share of the responses of the target that take slowTimes as long
	from                  time.Duration // when the target becomes bad
	route                 string        // the target is bad on this route only; "": on all
	load                  int           // the target is bad only with so many requests in flight
	slowZone              bool          // the replicas in one zone take five times as long
	warmup                time.Duration // the replicas of the target are cold and slow for so long
	overload              bool          // from 3 s to 7 s all replicas fail or are slow
	cut                   int           // so many VMs get no news and pass on no counts from 2 s on
	leaderLost            time.Duration // the leading VM is lost, with what it knows; 0: not
	storeDown             bool          // the store takes no writes from 3 s on
	rate                  float64       // requests a second, of all VMs
	duration              time.Duration
	replicas              int // of each version; 0: three
}

const slowTimes = 4

// result is what a run showed.
type result struct {
	stage         dgrollout.Stage
	why           string
	endedAt       time.Duration
	requests      int // that reached the service between the order and the deadline
	exposed       int // of these, to the target
	lateExposed   int // to the target, sent later than rollbackMax after its 50th bad response, by a VM that is not cut off
	cutExposed    int // to the target, by VMs that are cut off, later than FreshFor after the cut
	oldAfterEnd   int // in flight to the old version when the rollout was completed
	bad           int
	against, with [2]float64
}

type inFlight struct {
	at      dandeliongap.Instant
	vm      int
	route   dandeliongap.RouteName
	a       dgbalance.Assignment
	outcome dgrollout.Outcome
	number  int
}

type queue []inFlight

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(inFlight)) }
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

type simVM struct {
	local    *dgrollout.Local
	balancer *dgbalance.Balancer
	cut      bool
	learnAt  []struct { // states on their way
		at    dandeliongap.Instant
		state dgrollout.State
	}
}

// run plays a rollout on a virtual clock. The order is seen at 0.
func run(b behaviour, seed uint64) (r result) {
	const vms, step = 10, 5 * time.Millisecond
	if b.replicas == 0 {
		b.replicas = 3
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []dandeliongap.Instance
	for v, version := range []dandeliongap.SoftwareVersion{oldVersion, newVersion} {
		for i := range b.replicas {
			in := dandeliongap.Instance{ID: dandeliongap.InstanceID(fmt.Sprintf("%s-%d", version, i)), Service: svc, Zone: dandeliongap.ZoneName(fmt.Sprint("z", i%3)), Software: version}
			if v == 1 {
				in.ColdRemaining = b.warmup
			}
			list = append(list, in)
		}
	}
	type pause struct{ from, until time.Duration }
	pauses := make(map[dandeliongap.InstanceID][]pause)
	for _, in := range list {
		for at := time.Duration(0); at < b.duration; {
			at += time.Duration((2 + 3*rng.Float64()) * float64(time.Second))
			length := time.Duration((100 + 150*rng.Float64()) * float64(time.Millisecond))
			pauses[in.ID] = append(pauses[in.ID], pause{at, at + length})
		}
	}
	order := dandeliongap.RolloutOrder{Service: svc, Target: newVersion, Duration: b.duration, Version: 5}
	names := make([]dandeliongap.VMName, vms)
	for i := range names {
		names[i] = dandeliongap.VMName(fmt.Sprint("vm-", i))
	}
	tier := make([]*simVM, vms)
	for i := range tier {
		vm := &simVM{local: dgrollout.NewLocal(limits), balancer: dgbalance.New(names[i], dandeliongap.ZoneName(fmt.Sprint("z", i%3)), rand.New(rand.NewPCG(seed, uint64(i+2)))), cut: i < b.cut}
		vm.local.SetShare(0.8 / vms)
		vm.local.SetReplicas(0, list[:b.replicas])
		vm.balancer.Update(0, list[:b.replicas], nil, nil, names)
		tier[i] = vm
	}
	lead := dgrollout.NewLead(0, order, limits)
	state := dgrollout.State{Order: order.Version, Target: newVersion}
	loads := make(map[dandeliongap.InstanceID]int)
	var flying queue
	var badAt []dandeliongap.Instant
	routes := []dandeliongap.RouteName{"r1", "r1", "r2", "r3"}
	oldFlying := 0
	number := 0
	begin := -4 * time.Second // traffic before the order
	next := begin
	for now := begin; now < b.duration; now += step {
		t := dandeliongap.Instant(now - begin)
		if now == 0 {
			for _, vm := range tier {
				vm.local.SetReplicas(t, list)
				vm.balancer.Update(t, list, nil, nil, names)
				vm.local.SetOrder(t, order)
				vm.local.SetNews(t)
			}
			lead = dgrollout.NewLead(t, order, limits)
		}
		for len(flying) > 0 && flying[0].at <= t {
			f := heap.Pop(&flying).(inFlight)
			vm := tier[f.vm]
			loads[f.a.Instance.ID]--
			res := dgbalance.Answered
			if f.outcome == dgrollout.Failed {
				res = dgbalance.Failed
			}
			vm.balancer.Done(f.at, f.route, &f.a, res)
			if f.a.Instance.Software == oldVersion {
				oldFlying--
			} else if f.outcome == dgrollout.Failed || f.at.Sub(f.a.Start) > 80*time.Millisecond {
				r.bad++
				badAt = append(badAt, f.at)
			}
			vm.local.Ended(f.at, f.route, &f.a.Instance, f.a.Start, f.a.Cold, f.outcome)
		}
		for i, vm := range tier {
			cutOff := vm.cut && now >= 2*time.Second
			if now >= 0 && !cutOff && int(now/step)%50 == i {
				vm.local.SetNews(t)
			}
			for len(vm.learnAt) > 0 && vm.learnAt[0].at <= t && !cutOff {
				vm.local.SetState(svc, vm.learnAt[0].state)
				vm.learnAt = vm.learnAt[1:]
			}
			if now < 0 || int(now/step)%100 != 7*i {
				continue
			}
			bad := slices.Contains(vm.local.Judge(t), svc) || vm.local.View(svc).Bad
			if !cutOff {
				lead.Receive(names[i], 1, vm.local.Rows(svc), bad)
			}
		}
		if now >= 0 && now%(250*time.Millisecond) == 0 {
			if b.leaderLost > 0 && now == b.leaderLost {
				lead = dgrollout.NewLead(dandeliongap.Instant(-begin), order, limits)
			}
			use := true
			for _, vm := range tier[b.cut:] {
				use = use && vm.local.View(svc).Stage == state.Stage
			}
			d := lead.Decide(dgrollout.Situation{Now: t, Elapsed: now, Stage: state.Stage, Replicas: b.replicas, LongestTime: routeTime, HubsUse: use})
			r.against, r.with = lead.Evidence()
			if lead.Bad() {
				for _, vm := range tier[b.cut:] {
					vm.local.SetBad(svc, order.Version)
				}
			}
			if d.Stage != state.Stage && !(b.storeDown && now >= 3*time.Second) {
				state.Stage, r.why, r.endedAt = d.Stage, d.Why, now
				if d.Stage == dgrollout.Completed {
					r.oldAfterEnd = oldFlying
				}
				for _, vm := range tier {
					vm.learnAt = append(vm.learnAt, struct {
						at    dandeliongap.Instant
						state dgrollout.State
					}{t.Add(time.Duration(20+500*rng.Float64()) * time.Millisecond), state})
				}
			}
		}
		for ; next <= now; next += time.Duration(rng.ExpFloat64() / b.rate * float64(time.Second)) {
			v, route := rng.IntN(vms), routes[rng.IntN(len(routes))]
			vm := tier[v]
			a, _, err := vm.balancer.PickAmong(t, route, svc, vm.local.Groups(t, svc, false), nil, nil)
			if err != nil {
				continue
			}
			in := a.Instance
			vm.local.Sent(&in)
			isNew := in.Software == newVersion
			loads[in.ID]++
			number++
			if now >= 0 {
				r.requests++
			}
			if isNew {
				r.exposed++
				if vm.cut && now > 2*time.Second+dgrollout.FreshFor+step {
					r.cutExposed++
				}
				if !vm.cut && len(badAt) >= 50 && t.Sub(badAt[49]) > rollbackMax {
					r.lateExposed++
				}
			} else {
				oldFlying++
			}
			took := time.Duration(20 * math.Exp(0.35*rng.NormFloat64()) * float64(time.Millisecond))
			outcome := dgrollout.Succeeded
			fails, slow := b.oldFailures, 0.0
			if isNew && now >= b.from && (b.route == "" || b.route == string(route)) && loads[in.ID] > b.load {
				fails, slow = max(fails, b.failures), b.slow
			}
			if b.overload && now >= 3*time.Second && now < 7*time.Second {
				fails, took = fails+0.25, took*2
				if rng.Float64() < 0.3 {
					took *= 3
				}
			}
			if rng.Float64() < fails {
				outcome = dgrollout.Failed
			}
			if rng.Float64() < slow {
				took *= slowTimes
			}
			if b.slowZone && in.Zone == "z0" {
				took *= 5
			}
			if isNew && now < b.warmup {
				took *= 5
			}
			for _, p := range pauses[in.ID] {
				if now >= p.from && now < p.until {
					took += p.until - now
				}
			}
			heap.Push(&flying, inFlight{t.Add(took), v, route, a, outcome, number})
		}
	}
	r.stage = state.Stage
	return r
}
