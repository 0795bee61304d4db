package dgsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/sourcegraph/conc"
)

const (
	// callerCount is the number of callers, each of which has one request at a time.
	callerCount = 20
	// stickyCallers is the number of callers that go on using a VM that stops.
	stickyCallers = 8
	// callerInterval is the mean time between two requests of a caller.
	callerInterval = 150 * time.Millisecond
	// readyTimeout limits the start of the whole tier.
	readyTimeout = 60 * time.Second
	// measureInterval is the time between two measurements of the processes.
	measureInterval = 500 * time.Millisecond
	// rollingStops is the number of VMs that are stopped and started in turn in calm.
	// stopInterval is the time between two of them, so that they overlap.
	rollingStops, stopInterval = 3, time.Second
	// tailSlack is the time after Bounds.Recover for which callers go on, so that K14 has
	// requests to judge by.
	tailSlack = 3 * time.Second
)

// Options configure a soak.
type Options struct {
	Program  string // the daemon
	Dir      string // for settings and logs; made if it does not exist
	Platform Platform
	Seed     uint64
	Length   time.Duration // time in which steps begin
	VMs      int
	Steps    []Step // nil: those that Draw returns
	Untimed  bool   // see Check
	Bounds   Bounds
	Progress func(string) // called with a line for each step; nil: none
}

// Report tells how a soak went.
type Report struct {
	Seed       uint64
	VMs        int
	Length     time.Duration
	Steps      []string
	Requests   int
	Served     int     // with success
	Refused    int     // as not run
	Failed     int     // all others
	NoKey      int     // refused for their key, and counted in Refused
	Limited    int     // refused for the quota of their account, and counted in Refused
	QuotaUse   float64 // highest share that an account used of what K21 allows
	Arrivals   int     // at backend servers
	Starts     int     // of processes
	MostMemory int64
	MostFiles  int
	Orders     []string // and what became of them
	Violations []Violation
	Dir        string
}

type soak struct {
	opt      Options
	begin    time.Time
	ledger   Ledger
	operator operator
	fleet    fleet
	vms      []*vm
	zoneMu   sync.Mutex // held while a zone is out of service
	ending   atomic.Bool
	quiet    atomic.Bool // callers stop
}

// Run runs a soak. Its error means that the soak could not be run.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{opt: o, begin: time.Now()}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	s.operator = operator{platform: o.Platform, ledger: &s.ledger, now: s.now}
	s.fleet = fleet{platform: o.Platform, ledger: &s.ledger, now: s.now}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	steps := o.Steps
	if steps == nil {
		steps = Draw(o.Seed, o.Length)
	}
	if slices.ContainsFunc(steps, func(step Step) bool { return step.Kind == RestoreStore }) {
		o.Platform.NumberEras()
	}
	var background, callers conc.WaitGroup
	background.Go(s.measure)
	for i := range callerCount {
		c := &callerState{s: s, number: i, rng: rand.New(rand.NewPCG(o.Seed, uint64(2+i))), caller: o.Platform.NewCaller(), sticky: i < stickyCallers}
		callers.Go(func() { c.run(callerInterval) })
	}
	err := s.play(ctx, steps)
	s.quiet.Store(true)
	callers.Wait()
	s.ending.Store(true)
	background.Wait()
	for _, v := range s.vms {
		v.kill()
	}
	s.ledger.EndedAt = s.now()
	return s.report(steps), err
}

func (s *soak) now() dandeliongap.Instant { return dandeliongap.Instant(time.Since(s.begin)) }

func (s *soak) callersDone() bool { return s.quiet.Load() }

// start starts the backend servers and the VMs, and waits until these are ready.
func (s *soak) start(ctx context.Context) error {
	for i, service := range services() {
		for r := range replicas {
			if err := s.fleet.start(service, zones[(i+r)%len(zones)], "", nil); err != nil {
				return err
			}
		}
	}
	if HasAccounts(s.opt.Seed) {
		s.operator.accounts = newAccounts()
	}
	if err := s.operator.publish(false); err != nil {
		return err
	}
	if s.operator.hasAccounts() {
		if err := s.operator.removeFirstKey(); err != nil {
			return err
		}
	}
	for i := range s.opt.VMs {
		v, err := s.newVM(i)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	s.opt.Platform.RerouteGossip(s.gossipAddress)
	for _, v := range s.vms {
		if err := v.start(true); err != nil {
			return err
		}
	}
	limit := time.Now().Add(readyTimeout)
	for _, v := range s.vms {
		for !s.opt.Platform.Ready(ctx, v.ports.ready) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready after %v; log: %s", v.name, readyTimeout, LogFile(s.opt.Dir, v.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (s *soak) newVM(i int) (*vm, error) {
	v := &vm{
		name: dandeliongap.VMName(fmt.Sprint("vm-", i)), zone: zones[i%len(zones)], program: s.opt.Program, dir: s.opt.Dir,
		bounds: s.opt.Bounds, now: s.now, ledger: &s.ledger, stopping: s.ending.Load, accounts: s.operator.hasAccounts(), rollouts: HasRollouts(s.opt.Seed),
	}
	for _, addr := range []*string{&v.ports.entry, &v.ports.ready, &v.ports.directory, &v.ports.gossip} {
		a, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*addr = a
	}
	var err error
	if v.entry, err = newProxy(v.ports.entry); err != nil {
		return nil, err
	}
	if v.store, err = newProxy(s.opt.Platform.StoreAddress()); err != nil {
		return nil, err
	}
	if v.peers, err = newProxy(v.ports.gossip); err != nil {
		return nil, err
	}
	v.gossip, err = newRelay(v.peers.addr(), v.ports.gossip)
	return v, err
}

// gossipAddress returns the address at which other VMs reach a VM.
func (s *soak) gossipAddress(name dandeliongap.VMName) string {
	for _, v := range s.vms {
		if v.name == name {
			return v.peers.addr()
		}
	}
	return ""
}

// close ends all processes and closes the servers and proxies.
func (s *soak) close() {
	s.ending.Store(true)
	for _, v := range s.vms {
		v.mu.Lock()
		running := v.cmd != nil
		v.mu.Unlock()
		if running {
			v.kill()
		}
		_ = v.entry.Close()
		_ = v.store.Close()
		_ = v.peers.Close()
		_ = v.gossip.Close()
	}
	_ = s.fleet.Close()
}

// play applies the steps at their times, and waits until callers can be served again.
func (s *soak) play(ctx context.Context, steps []Step) error {
	origin := s.now()
	var wg conc.WaitGroup
	for _, step := range steps {
		if !sleep(ctx, step.At-s.now().Sub(origin)) {
			break
		}
		wg.Go(func() { s.apply(step) })
	}
	wg.Wait()
	s.ledger.QuietFrom = s.now()
	if sleep(ctx, s.opt.Bounds.Stable) {
		wg.Go(s.plannedWork)
	}
	sleep(ctx, s.opt.Bounds.Recover+tailSlack-s.opt.Bounds.Stable)
	wg.Wait()
	return ctx.Err()
}

// plannedWork applies the planned steps in calm, where the promises about them hold without
// exception.
func (s *soak) plannedWork() {
	var wg conc.WaitGroup
	target := uint32(s.opt.Seed)
	wg.Go(func() { s.drainShard(int(target)) })
	for _, kind := range []Kind{TakeOutZone, ChangeConfig} {
		wg.Go(func() { s.apply(Step{Kind: kind, Target: target, For: shortestStep}) })
	}
	if s.operator.hasAccounts() {
		for i, kind := range []Kind{LowerLimit, HeatAccount, RemoveKey} {
			wg.Go(func() { s.apply(Step{Kind: kind, Target: target%limitedAccounts + uint32(i), For: shortestStep}) })
		}
	}
	for i := range min(rollingStops, len(s.vms)) {
		wg.Go(func() { s.apply(Step{Kind: StopVM, Target: target + uint32(i)}) })
		time.Sleep(stopInterval)
	}
	wg.Wait()
}

// drainShard drains a backend server of a shard that is in use.
func (s *soak) drainShard(n int) {
	shards := routeNamed(s.operator.newest(), routeSearch).Shards
	servers := s.fleet.ofService(shards[n%len(shards)])
	if len(servers) == 0 {
		return // steps have removed all; they start others
	}
	if err := s.leave(servers[0], DrainServer); err != nil {
		record(&s.ledger, &s.ledger.Found, Violation{"stand-in", s.now(), fmt.Sprintf("drain %s: %v", servers[0].instance.ID, err)})
	}
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *soak) measure() {
	for !s.ending.Load() {
		for _, v := range s.vms {
			v.measure()
		}
		time.Sleep(measureInterval)
	}
}

func (s *soak) report(steps []Step) Report {
	r := Report{Seed: s.opt.Seed, VMs: s.opt.VMs, Length: s.opt.Length, Dir: s.opt.Dir}
	r.Violations = Check(&s.ledger, s.opt.Bounds, s.opt.Untimed)
	r.QuotaUse = s.ledger.QuotaUse
	for _, step := range steps {
		r.Steps = append(r.Steps, step.String())
	}
	for _, x := range s.ledger.Exchanges {
		r.Requests++
		switch x.Response.Status {
		case 401:
			r.NoKey++
		case 429:
			r.Limited++
		}
		switch {
		case x.Response.Status/100 == 2:
			r.Served++
		case x.Response.Promised():
			r.Refused++
		default:
			r.Failed++
		}
	}
	for _, o := range s.ledger.Orders {
		r.Orders = append(r.Orders, o.String())
	}
	r.Arrivals = len(s.ledger.Arrivals)
	for _, u := range s.ledger.Usages {
		r.MostMemory, r.MostFiles = max(r.MostMemory, u.MemoryBytes), max(r.MostFiles, u.Descriptors)
	}
	for _, v := range s.vms {
		r.Starts += v.process
	}
	return r
}

// Ports are taken from below the system's ephemeral range. A port of that range could
// become the local end of an outgoing connection after FreeAddress found it free.
const firstPort, portCount = 12000, 16000

var (
	portMu sync.Mutex
	// lastPort is the offset from firstPort of the last port that FreeAddress tried.
	// Processes start at different offsets, so that they rarely try the same ports.
	lastPort = os.Getpid() * 97 % portCount
)

// FreeAddress returns a loopback address whose TCP and UDP ports are free.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		lastPort = (lastPort + 1) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = c.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port on the loopback address")
}
