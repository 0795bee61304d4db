package dgsoak

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/sourcegraph/conc"
)

const (
	// longestPause limits the pause of a process.
	longestPause = 3 * time.Second
	// callerDelay and serverDelay are how late data arrives on a slow path.
	callerDelay, serverDelay = 150 * time.Millisecond, 60 * time.Millisecond
	// heartbeatLoss is the share of the heartbeats that a lossy path loses.
	heartbeatLoss = 0.5
	// leavingSlack is added to Bounds.Drain before a server that leaves is closed. Some
	// serve for many seconds longer, in which callers must not come back (K8).
	leavingSlack = 6 * time.Second
	// addressReuse is the time after which the address of a server is used by another one.
	addressReuse = 2 * time.Second
	// registrationAge is the time after which the registration of a lost server is removed.
	registrationAge = 3600 * time.Millisecond
	// One of restoreTwice variants restores the store again after secondRestore.
	restoreTwice  = 3
	secondRestore = time.Second
	// stormSize and stormInterval describe a quick succession of configurations.
	stormSize, stormInterval = 6, 150 * time.Millisecond
)

// apply applies a step and undoes it when its time is over.
func (s *soak) apply(step Step) {
	if s.opt.Progress != nil {
		s.opt.Progress(step.String())
	}
	var err error
	switch {
	case step.Kind <= lastVMKind, step.Kind == RestoreStore:
		s.applyToVM(step)
	case step.Kind <= lastServerKind:
		err = s.applyToServer(step)
	default:
		err = s.applyForOperator(step)
	}
	if err != nil {
		record(&s.ledger, &s.ledger.Found, Violation{"stand-in", s.now(), fmt.Sprintf("step %q: %v", step.Kind, err)})
	}
}

// applyToVM applies a step that concerns VMs, the store or the paths between them.
func (s *soak) applyToVM(step Step) {
	v := s.vms[int(step.Target)%len(s.vms)]
	switch step.Kind {
	case KillVM:
		s.disturb(v.name, step, func() { s.replace(v, func() { v.kill() }) })
	case StopVM:
		s.replace(v, func() {
			at := v.stop()
			record(&s.ledger, &s.ledger.Disturbances, Disturbance{v.name, at, s.now().Add(restartDelay), step.Kind.String()})
		})
	case PauseVM:
		s.disturb(v.name, step, func() {
			v.signal(syscall.SIGSTOP, false)
			time.Sleep(min(step.For, longestPause))
			v.signal(syscall.SIGCONT, false)
		})
	case ReloadVM:
		v.reload()
	case KillAll:
		s.disturb("", step, func() {
			var wg conc.WaitGroup
			for _, v := range s.vms {
				wg.Go(func() { s.replace(v, func() { v.kill() }) })
			}
			wg.Wait()
		})
	case FaultStore:
		s.disturb("", step, func() {
			s.opt.Platform.SetStoreFault(step.storeFault())
			time.Sleep(step.For)
			s.opt.Platform.SetStoreFault(StoreSound)
		})
	case ForgetHistory:
		s.disturb("", step, s.opt.Platform.ForgetHistory)
	case RestoreStore:
		s.restoreStore(step)
	case CutStore:
		s.disturb(v.name, step, func() { s.faultPath(v.store, silence(step), step.For) })
	case ResetStore:
		s.disturb(v.name, step, v.store.reset)
	case DelayCallers:
		s.disturb(v.name, step, func() { s.faultPath(v.entry, PathFault{Delay: callerDelay}, step.For) })
	case ResetCallers:
		s.disturb(v.name, step, v.entry.reset)
	case SilenceAnswers:
		s.disturb(v.name, step, func() { s.faultPath(v.entry, PathFault{SilentBack: true}, step.For) })
	case CutPeers:
		s.disturb(v.name, step, func() {
			var wg conc.WaitGroup
			wg.Go(func() { s.faultPath(v.peers, silence(step), step.For) })
			wg.Go(func() { s.faultPath(v.gossip, silence(step), step.For) })
			wg.Wait()
		})
	case LosePeers:
		s.disturb(v.name, step, func() { s.faultPath(v.gossip, PathFault{Loss: heartbeatLoss}, step.For) })
	}
}

// restoreStore restores the store from a copy that is some seconds old, and in some variants again
// from the same copy before all have written again.
func (s *soak) restoreStore(step Step) {
	restore := s.opt.Platform.CopyStore()
	time.Sleep(s.opt.Bounds.Evacuation + step.For) // K17 and K18 are about changes since the copy that VMs must know by then
	s.disturb("", step, func() {
		var wg conc.WaitGroup
		if step.Variant%restoreTwice == 0 {
			wg.Go(func() {
				time.Sleep(secondRestore)
				restore(step.Variant&1 != 0)
			})
		}
		restore(step.Variant&1 == 0)
		wg.Wait()
	})
}

// applyForOperator applies a step of operators, or of another writer in the store.
func (s *soak) applyForOperator(step Step) (err error) {
	switch step.Kind {
	case ChangeConfig:
		err = s.operator.publish(false)
	case StormConfig:
		for range stormSize {
			err = errors.Join(err, s.operator.publish(false))
			time.Sleep(stormInterval)
		}
	case Reshard:
		err = s.operator.publish(true)
	case WriteOddEntries:
		s.opt.Platform.WriteOdd(int(step.Target))
	case TakeOutZone:
		err = s.takeOut(zones[int(step.Target)%len(zones)], step.For)
	case RemoveKey, AddKey, HeatAccount, LowerLimit:
		err = s.applyToAccount(step)
	case OrderGood, OrderBad, OrderWithdrawn, StartUnordered:
		err = s.rollOut(step)
	}
	return err
}

// disturb runs a fault of a VM, or of all if vm is empty, and records it.
func (s *soak) disturb(vm dandeliongap.VMName, step Step, fault func()) {
	from := s.now()
	fault()
	record(&s.ledger, &s.ledger.Disturbances, Disturbance{vm, from, s.now(), step.Kind.String()})
}

// replace ends the process of a VM with end and starts another one.
func (s *soak) replace(v *vm, end func()) {
	v.stepMu.Lock()
	defer v.stepMu.Unlock()
	end()
	time.Sleep(restartDelay)
	v.restart()
}

func (s *soak) faultPath(p interface{ setFault(PathFault) }, f PathFault, d time.Duration) {
	p.setFault(f)
	time.Sleep(d)
	p.setFault(PathFault{})
}

// silence returns the fault of a path that is silent in one direction or in both.
func silence(step Step) PathFault {
	n := step.Variant % 3
	return PathFault{SilentThere: n != 1, SilentBack: n != 0}
}

// takeOut takes a zone out of service for longer than the bound of an evacuation. Only one
// zone is out at a time, as each service has servers in two.
func (s *soak) takeOut(zone dandeliongap.ZoneName, d time.Duration) error {
	s.zoneMu.Lock()
	defer s.zoneMu.Unlock()
	if err := s.opt.Platform.SetZoneOut(zone, true); err != nil {
		return err
	}
	o := Outage{Zone: zone, From: s.now()}
	time.Sleep(s.opt.Bounds.Evacuation + d)
	o.To = s.now()
	record(&s.ledger, &s.ledger.Outages, o)
	return s.opt.Platform.SetZoneOut(zone, false)
}

// applyToServer applies a step that concerns backend servers.
func (s *soak) applyToServer(step Step) error {
	b := s.fleet.pick(step.Target)
	in := b.instance
	from := s.now()
	defer func() { record(&s.ledger, &s.ledger.Troubles, Trouble{in.Service, from, s.now()}) }()
	switch step.Kind {
	case FaultServer:
		s.faultServers([]*backend{b}, step)
	case FaultService:
		s.faultServers(s.fleet.ofService(in.Service), step)
	case CutServer:
		s.faultPath(b.path, silence(step), step.For)
	case ResetServer:
		b.path.reset()
	case ThrottleServer:
		s.faultPath(b.path, PathFault{Delay: serverDelay}, step.For)
	case CrashServer:
		if !s.fleet.retire(b) {
			return nil
		}
		s.crash(b)
		time.Sleep(min(step.For, addressReuse))
		err := s.fleet.start(in.Service, in.Zone, in.Software, b.path)
		s.remove(b)
		return err
	case ReuseAddress:
		if !s.fleet.retire(b) {
			return nil
		}
		s.crash(b)
		if err := s.fleet.start(in.Service, in.Zone, in.Software, nil); err != nil {
			return err
		}
		time.Sleep(addressReuse)
		all := services()
		other := all[int(step.Variant)%len(all)]
		defer func() { record(&s.ledger, &s.ledger.Troubles, Trouble{other, from, s.now()}) }()
		err := s.fleet.start(other, in.Zone, "", b.path)
		time.Sleep(registrationAge - addressReuse)
		s.remove(b)
		return err
	case DrainServer, VanishServer, LeaveServer:
		return s.leave(b, step.Kind)
	}
	return nil
}

func (s *soak) faultServers(list []*backend, step Step) {
	for _, b := range list {
		b.server.SetFault(step.serverFault())
	}
	time.Sleep(step.For)
	for _, b := range list {
		b.server.SetFault(ServerSound)
	}
}

func (s *soak) crash(b *backend) {
	_ = b.server.Close()
	b.path.reset()
}

func (s *soak) remove(b *backend) {
	s.opt.Platform.Deregister(b.instance.ID)
	s.fleet.depart(b)
}

// leave replaces a backend server, which serves until callers must have left it.
func (s *soak) leave(b *backend, kind Kind) error {
	if !s.fleet.retire(b) {
		return nil
	}
	if err := s.fleet.start(b.instance.Service, b.instance.Zone, b.instance.Software, nil); err != nil {
		return err
	}
	switch kind {
	case DrainServer:
		draining := b.instance
		draining.Draining = true
		if err := s.opt.Platform.Register(draining); err != nil {
			return err
		}
		record(&s.ledger, &s.ledger.Departures, Departure{s.now(), b.instance.ID, true})
	case VanishServer:
		s.remove(b)
	case LeaveServer:
		b.server.SetLeaving()
	}
	time.Sleep(s.opt.Bounds.Drain + leavingSlack)
	if kind != VanishServer {
		s.remove(b)
	}
	s.crash(b)
	return nil
}
