package dgquota_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
)

// The simulation plays a tier on a virtual clock with one of three ways to divide quotas:
// equal shares, shares by recent demand that heartbeats tell, and leases from an owner.

const (
	heartbeat  = 250 * time.Millisecond
	settled    = 10 * time.Second // when the fault of a scenario begins
	runTime    = 30 * time.Second
	patience   = 20 * time.Millisecond // a quarter of an objective of 80 ms
	load       = 0.6                   // of each account's rate
	hotTime    = 6 * time.Second
	lowered    = 0.1
	configTime = 5 * time.Second
)

var bounds = dgquota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

type event struct {
	at  dandeliongap.Instant
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// bucket is a token bucket of the simulation: the ideal one of an account, or that of a VM.
type bucket struct {
	tokens float64
	at     dandeliongap.Instant
}

func (b *bucket) take(now dandeliongap.Instant, rate, burst float64) bool {
	b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type simVM struct {
	name          dandeliongap.VMName
	dead, frozen  bool
	group         int // VMs reach those of their group
	view          map[*simVM]bool
	factor        float64 // of limits, in the configuration that the VM has
	owner         *dgquota.Owner
	leases        *dgquota.Leases
	held          []func() // arrived while frozen
	buckets       []bucket
	demand, heard []float64 // by account: own, and of the others as told by heartbeats
}

type sim struct {
	rng      *rand.Rand
	way      string
	now      dandeliongap.Instant
	queue    queue
	seq      int
	vms      []*simVM // registered
	nominal  []dandeliongap.VMName
	limits   []dgquota.Limit
	ideal    []bucket
	factor   float64                  // of the limits of the operator
	sent     [][]dandeliongap.Instant // admitted, by account
	waits    map[*simVM]map[uint64]func(dgquota.Decision)
	hot      int // account with more demand than its limit, or -1
	hotBy    float64
	abusive  bool
	from     dandeliongap.Instant // requests and messages before it are not counted
	requests int
	allowed  []int // requests that a single bucket for the whole tier admits, by account
	admitted []int // requests that the tier admits
	messages int
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

func account(i int) dandeliongap.AccountName {
	return dandeliongap.AccountName(fmt.Sprint("account-", i))
}

func newSim(seed uint64, way string, vms int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), way: way, factor: 1, hot: -1, from: dandeliongap.Instant(settled), waits: make(map[*simVM]map[uint64]func(dgquota.Decision))}
	for i := range 81 {
		rate := 19 * math.Pow(float64(i+1), -1.1)
		s.limits = append(s.limits, dgquota.Limit{Rate: rate, Burst: max(2, rate)})
		s.ideal = append(s.ideal, bucket{tokens: max(2, rate)})
	}
	s.allowed, s.admitted = make([]int, len(s.limits)), make([]int, len(s.limits))
	s.sent = make([][]dandeliongap.Instant, len(s.limits))
	s.add(vms, true)
	for i := range s.limits {
		s.arrive(i)
	}
	s.beat()
	return s
}

func (s *sim) add(n int, first bool) {
	for range n {
		v := &simVM{name: dandeliongap.VMName(fmt.Sprint("vm-", len(s.vms))), factor: 1}
		s.vms = append(s.vms, v)
		s.nominal = append(s.nominal, v.name)
		s.start(v, first)
	}
	for _, v := range s.vms {
		for _, w := range s.vms {
			if _, known := v.view[w]; !known && !first {
				s.see(v, w, true, time.Duration(s.rng.Float64()*float64(time.Second)))
			} else if first {
				v.view[w] = true
			}
		}
	}
}

// start starts a process of a VM.
func (s *sim) start(v *simVM, first bool) {
	v.dead, v.view = false, map[*simVM]bool{v: true}
	v.owner = dgquota.NewOwner(v.name, bounds)
	v.leases = dgquota.NewLeases(dgquota.Options{Self: v.name, Bounds: bounds, InitialStart: first, Start: s.now})
	s.waits[v] = make(map[uint64]func(dgquota.Decision))
	v.buckets = make([]bucket, len(s.limits))
	v.demand, v.heard = make([]float64, len(s.limits)), make([]float64, len(s.limits))
	s.tell(v)
}

// see changes what v knows of w, after d.
func (s *sim) see(v, w *simVM, present bool, d time.Duration) {
	s.after(d, func() {
		if v.view != nil {
			v.view[w] = present
		}
	})
}

// tell passes what a VM knows of the hubs to its decisions.
func (s *sim) tell(v *simVM) {
	t := dgquota.Tier{Total: len(s.vms)}
	for _, w := range s.vms {
		if v.view[w] {
			t.Hubs = append(t.Hubs, w.name)
		}
	}
	v.owner.SetTier(s.now, t)
	v.leases.SetTier(s.now, t, s.nominal)
}

func (s *sim) beat() {
	for _, v := range s.vms {
		if v.dead || v.frozen {
			continue
		}
		s.tell(v)
		v.leases.Tick(s.now)
		s.send(v, v.owner.Tick(s.now)...)
		for i := range v.demand {
			v.demand[i] *= math.Exp(-heartbeat.Seconds())
			v.heard[i] = 0
			for _, w := range s.vms {
				if w != v && v.view[w] {
					v.heard[i] += w.demand[i]
				}
			}
		}
	}
	s.after(heartbeat, s.beat)
}

// deliver runs do at a VM after the time of a message, unless it cannot be reached.
func (s *sim) deliver(from, to *simVM, do func()) {
	if s.now >= s.from {
		s.messages++
	}
	s.after(time.Duration((0.5+s.rng.Float64())*float64(time.Millisecond)), func() {
		switch {
		case to.dead || from.group != to.group:
		case to.frozen:
			to.held = append(to.held, do)
		default:
			do()
		}
	})
}

func (s *sim) send(v *simVM, more ...dgquota.Ask) {
	for _, a := range append(v.leases.Asks(), more...) {
		i := slices.IndexFunc(s.vms, func(w *simVM) bool { return w.name == a.To })
		to, epoch := s.vms[i], v.leases
		answer := func() dgquota.Grant { return to.owner.Answer(s.now, a, s.limit(to, a.Account)) }
		if to == v {
			s.take(v, a.Account, answer())
			continue
		}
		s.deliver(v, to, func() {
			if g := answer(); g.ID != 0 {
				s.deliver(to, v, func() {
					if v.leases == epoch {
						s.take(v, a.Account, g)
					}
				})
			}
		})
	}
}

func (s *sim) limit(v *simVM, name dandeliongap.AccountName) dgquota.Limit {
	var i int
	_, _ = fmt.Sscanf(string(name), "account-%d", &i)
	return dgquota.Limit{Rate: s.limits[i].Rate * v.factor, Burst: s.limits[i].Burst * v.factor}
}

func (s *sim) take(v *simVM, name dandeliongap.AccountName, g dgquota.Grant) {
	for _, d := range v.leases.Answer(s.now, name, g) {
		done := s.waits[v][d.ID]
		delete(s.waits[v], d.ID)
		done(d)
	}
	s.send(v)
}

// admit decides about a request at a VM and passes the outcome on.
func (s *sim) admit(v *simVM, i int, done func(admitted bool)) {
	l := s.limit(v, account(i))
	n := 0
	for _, w := range s.vms {
		if v.view[w] {
			n++
		}
	}
	v.demand[i]++
	switch s.way {
	case "equal":
		done(v.buckets[i].take(s.now, l.Rate/float64(n), max(1, l.Burst/float64(n))))
	case "demand":
		part := max(0.1/float64(n), v.demand[i]/(v.demand[i]+v.heard[i]))
		done(v.buckets[i].take(s.now, l.Rate*part, max(1, l.Burst*part)))
	default:
		d := v.leases.Take(s.now, account(i), l)
		if d.Outcome != dgquota.Waiting {
			s.send(v)
			done(d.Outcome == dgquota.Admitted)
			return
		}
		leases := v.leases
		s.waits[v][d.ID] = func(d dgquota.Decision) { done(d.Outcome == dgquota.Admitted) }
		s.after(patience, func() {
			if _, waits := s.waits[v][d.ID]; waits && v.leases == leases && !v.frozen && !v.dead {
				delete(s.waits[v], d.ID)
				done(v.leases.GiveUp(s.now, d.ID).Outcome == dgquota.Admitted)
			}
		})
		s.send(v)
	}
}

// arrive plays the next request of an account.
func (s *sim) arrive(i int) {
	rate := load * s.limits[i].Rate
	if i == s.hot && s.now >= dandeliongap.Instant(settled) && s.now < dandeliongap.Instant(settled+hotTime) {
		rate *= s.hotBy
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		l := s.limits[i]
		allowed, counted := s.ideal[i].take(s.now, l.Rate*s.factor, max(1, l.Burst*s.factor)), s.now >= s.from
		if counted {
			s.requests++
		}
		if counted && allowed {
			s.allowed[i]++
		}
		tries := 1
		if i == s.hot && s.abusive {
			tries = 3
		}
		s.try(i, tries, func(admitted bool) {
			if counted && admitted {
				s.admitted[i]++
			}
		})
		s.arrive(i)
	})
}

// try sends a request to a VM that serves, and again at once after a refusal.
func (s *sim) try(i, tries int, done func(bool)) {
	var serving []*simVM
	for _, v := range s.vms {
		if !v.dead && !v.frozen {
			serving = append(serving, v)
		}
	}
	if len(serving) == 0 {
		return
	}
	s.admit(serving[s.rng.IntN(len(serving))], i, func(admitted bool) {
		switch {
		case admitted:
			s.sent[i] = append(s.sent[i], s.now)
			done(true)
		case tries > 1:
			s.after(time.Millisecond, func() { s.try(i, tries-1, done) })
		default:
			done(false)
		}
	})
}

// refused returns the number of requests that a single bucket for the whole tier would have
// admitted beyond those that the tier admitted: of all accounts but the hot one, and of
// those with a limit below 1/s. allowed is the number that the bucket admitted.
func (s *sim) refused() (allowed, refused, small int) {
	for i, l := range s.limits {
		if i == s.hot {
			continue
		}
		missing := max(0, s.allowed[i]-s.admitted[i])
		allowed, refused = allowed+s.allowed[i], refused+missing
		if l.Rate < 1 {
			small += missing
		}
	}
	return allowed, refused, small
}

// lose makes the others miss a VM, or a VM the others, some heartbeats after now.
func (s *sim) lose(v *simVM, both bool) {
	for _, w := range s.vms {
		if w == v || w.group == v.group && !v.dead && !v.frozen {
			continue
		}
		s.see(w, v, false, time.Duration((1.2+s.rng.Float64()/2)*float64(time.Second)))
		if both {
			s.see(v, w, false, time.Duration((1.2+s.rng.Float64()/2)*float64(time.Second)))
		}
	}
}

func (s *sim) regain() {
	for _, v := range s.vms {
		for _, w := range s.vms {
			s.see(v, w, true, time.Duration(s.rng.Float64()/2*float64(time.Second)))
		}
	}
}

// scenarios begin their fault at settled.
var scenarios = []struct {
	name string
	set  func(*sim)
	do   func(*sim)
}{
	{"start", func(s *sim) { s.from = 0 }, func(*sim) {}},
	{"calm", nil, func(*sim) {}},
	{"hot account", func(s *sim) { s.hot, s.hotBy = 1, 3+5*s.rng.Float64() }, func(*sim) {}},
	{"hot account, repeats", func(s *sim) { s.hot, s.hotBy, s.abusive = s.rng.IntN(20), 3+5*s.rng.Float64(), true }, func(*sim) {}},
	{"owner killed", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		v := s.vms[s.rng.IntN(len(s.vms))]
		if s.rng.IntN(2) == 0 { // the owner of the hot account
			name := dgquota.Tier{Hubs: s.nominal}.Owner(account(0))
			v = s.vms[slices.IndexFunc(s.vms, func(w *simVM) bool { return w.name == name })]
		}
		v.dead = true
		s.lose(v, false)
	}},
	{"all killed", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		for _, v := range s.vms {
			v.dead, v.view = true, nil
		}
		for _, v := range s.vms {
			s.after(time.Duration((1+s.rng.Float64()/2)*float64(time.Second)), func() {
				s.start(v, false)
				for _, w := range s.vms {
					s.see(v, w, true, time.Duration((0.5+s.rng.Float64()/2)*float64(time.Second)))
				}
			})
		}
	}},
	{"VM cut off", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		v := s.vms[s.rng.IntN(len(s.vms))]
		v.group = 1
		s.lose(v, true)
		s.after(10*time.Second, func() { v.group = 0; s.regain() })
	}},
	{"tier in two parts", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		for _, v := range s.vms[:len(s.vms)/2] {
			v.group = 1
		}
		for _, v := range s.vms[:len(s.vms)/2] {
			s.lose(v, true)
		}
		s.after(10*time.Second, func() {
			for _, v := range s.vms {
				v.group = 0
			}
			s.regain()
		})
	}},
	{"owner frozen for 3 s", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		name := dgquota.Tier{Hubs: s.nominal}.Owner(account(0))
		v := s.vms[slices.IndexFunc(s.vms, func(w *simVM) bool { return w.name == name })]
		v.frozen = true
		s.lose(v, false)
		s.after(3*time.Second, func() {
			v.frozen = false
			for _, do := range v.held {
				do()
			}
			v.held = nil
			s.regain()
		})
	}},
	{"limit lowered", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) {
		s.factor = lowered
		for _, v := range s.vms {
			s.after(time.Duration(s.rng.Float64()*float64(configTime)), func() { v.factor = lowered })
		}
	}},
	{"serving set doubles", func(s *sim) { s.hot, s.hotBy, s.abusive = 0, 8, true }, func(s *sim) { s.add(len(s.vms), false) }},
}

// run plays a scenario and returns the largest use of a bound in any window, as a share of
// the bound.
func (s *sim) run(i int) float64 {
	if set := scenarios[i].set; set != nil {
		set(s)
	}
	s.after(settled, func() { scenarios[i].do(s) })
	for len(s.queue) > 0 && s.queue[0].at < dandeliongap.Instant(runTime) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	worst := 0.0
	for i, sent := range s.sent {
		for first, last := 0, 0; last < len(sent); last++ {
			for sent[last].Sub(sent[first]) >= bounds.Window {
				first++
			}
			l := s.limits[i]
			if s.factor != 1 && sent[first] > dandeliongap.Instant(settled+configTime) {
				l = dgquota.Limit{Rate: l.Rate * s.factor, Burst: l.Burst * s.factor}
			}
			worst = max(worst, float64(last-first+1)/bounds.Max(l))
		}
	}
	return worst
}
