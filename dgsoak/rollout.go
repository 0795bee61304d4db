package dgsoak

import (
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/sourcegraph/conc"
)

const (
	// orderTime is the time from an order to its deadline.
	orderTime = 15 * time.Second
	// statusSlack is the time after the deadline for which operators wait for a status. A
	// faulty store may keep it from them.
	statusSlack = 8 * time.Second
	// statusInterval is the time between two looks at the status of an order.
	statusInterval = 20 * time.Millisecond
	// earlyStart is the time from the start of servers to the order of their version, if they
	// start first.
	earlyStart = 700 * time.Millisecond
	// unorderedTime and withdrawTime are added to Step.For before servers of a version that
	// nobody orders drain, and before an order is removed.
	unorderedTime, withdrawTime = 4 * time.Second, 2 * time.Second
	// trialDrain is added to Bounds.Drain before a draining server of a version that was not
	// kept is closed. It is the longest deadline of its requests.
	trialDrain = 2 * time.Second
	// leastBadShare is the least share of the responses of a bad version that fail.
	leastBadShare = 0.4
)

// String tells what became of the order.
func (o *Order) String() string {
	state := "no status"
	if o.State != dandeliongap.RolloutNone {
		state = fmt.Sprintf("%s after %.1f s", [...]string{"", "running", "completed", "rolled back"}[o.State], o.StateAt.Sub(o.At).Seconds())
	}
	return fmt.Sprintf("%.1f s %s to %s, bad %t: %s", time.Duration(o.At).Seconds(), o.Service, o.Version, o.Bad, state)
}

// versions are the versions of the servers of a service.
type versions struct {
	current dandeliongap.SoftwareVersion // of servers that start
	trial   dandeliongap.SoftwareVersion // "": none
}

// versionFor returns the version of a server that takes the place of one with a version. f.mu
// must be held.
func (f *fleet) versionFor(service dandeliongap.ServiceName, version dandeliongap.SoftwareVersion) dandeliongap.SoftwareVersion {
	v := f.versions[service]
	if v == nil || version != "" && version == v.trial {
		return version
	}
	return v.current
}

// beginTrial returns a version that no server has had, unless another one of the service is
// on trial.
func (f *fleet) beginTrial(service dandeliongap.ServiceName) (version dandeliongap.SoftwareVersion, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions = make(map[dandeliongap.ServiceName]*versions)
	}
	v := f.versions[service]
	if v == nil {
		v = &versions{}
		f.versions[service] = v
	}
	if v.trial != "" {
		return "", false
	}
	f.trials++
	v.trial = dandeliongap.SoftwareVersion(fmt.Sprint("trial-", f.trials))
	return v.trial, true
}

// endTrial ends a trial and returns the servers of the versions that are not kept.
func (f *fleet) endTrial(service dandeliongap.ServiceName, keep bool) (out []*backend) {
	f.mu.Lock()
	v := f.versions[service]
	trial := v.trial
	if keep {
		v.current = trial
	}
	f.mu.Unlock()
	for _, b := range f.ofService(service) {
		if (b.instance.Software == trial) != keep && f.retire(b) {
			out = append(out, b)
		}
	}
	return out
}

// freeTrial lets the next trial of a service begin.
func (f *fleet) freeTrial(service dandeliongap.ServiceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[service].trial = ""
}

// rollOut starts servers of another version of a service, orders it as the step demands, and
// stops those that are not kept.
func (s *soak) rollOut(step Step) error {
	all := append([]dandeliongap.ServiceName{ordersService}, routeNamed(s.operator.newest(), routeSearch).Shards...)
	service := all[int(step.Target)%len(all)]
	version, ok := s.fleet.beginTrial(service)
	if !ok {
		return nil
	}
	defer s.fleet.freeTrial(service)
	if step.Kind == OrderBad {
		s.opt.Platform.FailVersion(version, leastBadShare+(1-leastBadShare)*float64(step.Variant%4)/3)
	}
	start := func() (err error) {
		for i := range replicas {
			if err == nil {
				err = s.fleet.start(service, zones[(int(step.Target)+i)%len(zones)], version, nil)
			}
		}
		return err
	}
	if step.Kind == StartUnordered {
		if err := start(); err != nil {
			return err
		}
		time.Sleep(step.For + unorderedTime)
		return s.drainTrial(s.fleet.endTrial(service, false))
	}
	early := step.Variant>>2&1 == 0
	if early {
		if err := start(); err != nil {
			return err
		}
		time.Sleep(earlyStart)
	}
	o := &Order{Service: service, Version: version, Bad: step.Kind == OrderBad, At: s.now()}
	o.Deadline = o.At.Add(orderTime)
	record(&s.ledger, &s.ledger.Orders, o)
	if err := s.opt.Platform.Order(service, version, orderTime); err != nil {
		return err
	}
	if !early {
		if err := start(); err != nil {
			return err
		}
	}
	end := o.Deadline.Add(statusSlack)
	if step.Kind == OrderWithdrawn {
		end = o.At.Add(step.For + withdrawTime)
	}
	for s.now() < end && o.State < dandeliongap.RolloutCompleted {
		time.Sleep(statusInterval)
		if status := s.opt.Platform.OrderStatus(service); status.Target == version && status.State != o.State {
			s.ledger.changeState(o, status.State, s.now())
		}
	}
	if o.State == dandeliongap.RolloutCompleted {
		for _, b := range s.fleet.endTrial(service, true) {
			s.crash(b)
			s.remove(b)
		}
		return nil
	}
	if o.State != dandeliongap.RolloutRolledBack {
		s.opt.Platform.Withdraw(service)
	}
	err := s.drainTrial(s.fleet.endTrial(service, false))
	s.opt.Platform.Withdraw(service)
	return err
}

// drainTrial drains and stops servers of a version that is not kept.
func (s *soak) drainTrial(list []*backend) error {
	for _, b := range list {
		in := b.instance
		in.Draining = true
		if err := s.opt.Platform.Register(in); err != nil {
			return err
		}
		record(&s.ledger, &s.ledger.Departures, Departure{s.now(), in.ID, true})
	}
	time.Sleep(s.opt.Bounds.Drain + trialDrain)
	var wg conc.WaitGroup
	for _, b := range list {
		wg.Go(func() {
			s.remove(b)
			s.crash(b)
		})
	}
	wg.Wait()
	return nil
}

func (l *Ledger) changeState(o *Order, state dandeliongap.RolloutState, at dandeliongap.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.State, o.StateAt = state, at
}

// checkRollouts checks K23, K24 and K25. Only K23 has no time bound.
func (c *checker) checkRollouts(untimed bool) {
	for _, o := range c.Orders {
		if o.Bad {
			c.checkExposure(o)
		}
		if !untimed && o.State == dandeliongap.RolloutCompleted {
			c.checkCompleted(o)
		}
	}
	if untimed {
		return
	}
	for _, a := range c.arrivals {
		x, in := c.Exchanges[a.Request], c.Instances[a.Instance]
		if x == nil || a.Misdirected || in.Software == "" || c.troubled(x) {
			continue
		}
		ordered := slices.ContainsFunc(c.Orders, func(o *Order) bool { return o.Service == in.Service && o.Version == in.Software && o.At <= a.At })
		registered := c.RegisteredAt[a.Instance]
		knew := slices.ContainsFunc(c.byProcess[processOf(x)], func(at dandeliongap.Instant) bool { return at < registered.Add(-c.bounds.Stable) })
		if !ordered && knew {
			c.report("K25", a.At, "request %s by %s reached %s of version %s, which nobody had ordered", x.ID, x.VM, a.Instance, in.Software)
		}
	}
}

// checkExposure checks K23 for an order of a bad version.
func (c *checker) checkExposure(o *Order) {
	bad, all := 0, 0
	for _, a := range c.arrivals {
		if a.Service != o.Service || a.Misdirected || a.At < o.At || a.At > o.Deadline {
			continue
		}
		all++
		if c.Instances[a.Instance].Software == o.Version {
			bad++
		}
	}
	if allowed := c.bounds.ExposureShare*float64(all) + c.bounds.ExposureSlack; float64(bad) > allowed {
		c.report("K23", o.Deadline, "%d of %d requests to %s reached its bad version %s, %.1f are allowed", bad, all, o.Service, o.Version, allowed)
	}
}

// checkCompleted checks K24 for an order that was completed.
func (c *checker) checkCompleted(o *Order) {
	for _, a := range c.arrivals {
		in, x := c.Instances[a.Instance], c.Exchanges[a.Request]
		if in.Service != o.Service || in.Software == o.Version || c.RegisteredAt[a.Instance] > o.StateAt || x == nil || a.Misdirected {
			continue
		}
		// A server that was closed does not tell when a request ended.
		over := a.AnsweredAt != 0 && a.AnsweredAt <= o.StateAt || a.AnsweredAt == 0 && a.At.Add(x.Deadline+c.bounds.ResponseSlack) < o.StateAt
		if !over && !c.troubled(x) && c.calm(x.VM, min(a.At, o.StateAt), max(a.At, o.StateAt)) {
			c.report("K24", o.StateAt, "request %s by %s was at %s of an old version, sent %v after %s was completed", x.ID, x.VM, a.Instance, x.SentAt.Sub(o.StateAt), o.Version)
		}
	}
}
