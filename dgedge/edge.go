package dgedge

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgbudget"
	"dandeliongap.example/dandeliongap/dgroute"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Dialect has the names and forms of what callers and backend servers exchange
// with the tier.
type Dialect struct {
	Backend             dgbackend.HeaderNames
	ShardStampsHeader   string // header of a merged answer: the stamps of its parts
	MissingShardsHeader string // header of a merged answer: shards that are not in it
	ReadyPath           string // path of the readiness check
	DirectoryPath       string // path of the directory
	// EncodeDirectory returns the body of a directory answer.
	EncodeDirectory func(addrs []string, keep time.Duration) []byte
}

// Options configure an Edge.
type Options struct {
	Settings Settings
	Store    dandeliongap.EdgeStore
	Dialect  Dialect
	Log      io.Writer
}

// Edge is one running VM of the tier.
type Edge struct {
	opt   Options
	start time.Time
	boot  int64
	log   *eventLog
	stats stats

	forward *dgbackend.Forwarder

	mu     sync.Mutex // guards what requests share
	bal    *dgbalance.Balancer
	budget *dgbudget.Budget

	tuning  atomic.Pointer[Settings] // the settings that may change while it runs
	view    atomic.Pointer[view]
	mirror  dgwatch.Mirror // of the control state, for other VMs
	control *control
	leaving atomic.Bool
	closing atomic.Bool // no new requests

	active  activeSet
	entry   *callerListener
	servers []*fasthttp.Server
	stop    chan struct{}
	wg      conc.WaitGroup
}

// view is what requests need from control state at one moment. It is immutable.
type view struct {
	table *dgroute.Table // nil: no configuration yet
	ready bool           // configuration and replicas are known
	names []string       // addresses for callers
	stale bool           // the store has not answered for a while
}

// Start starts a VM. It serves as soon as the store has answered.
func Start(o Options) (*Edge, error) {
	now := time.Now()
	seed := rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64()))
	e := &Edge{
		opt: o, start: now, boot: now.UnixNano(),
		log:     newEventLog(o.Log, o.Settings.VM),
		forward: dgbackend.NewForwarder(o.Dialect.Backend),
		bal:     dgbalance.New(o.Settings.VM, seed),
		stop:    make(chan struct{}),
	}
	e.budget = dgbudget.New(dgbudget.Options{
		Ratio: o.Settings.RetryRatio, Slack: o.Settings.RetrySlack, Window: o.Settings.RetryWindow, InitialStart: o.Settings.FirstStart,
	})
	e.view.Store(&view{})
	e.tuning.Store(&o.Settings)
	e.stats.init()
	if err := e.listen(); err != nil {
		e.log.close()
		return nil, trace.Wrap(err)
	}
	e.log.event("start").Str("Zone", string(o.Settings.Zone)).Str("Entry", o.Settings.EntryListen).Bool("First", o.Settings.FirstStart).Send()
	e.control = newControl(e)
	e.wg.Go(e.control.run)
	e.wg.Go(e.sweep)
	return e, nil
}

// now returns the time since the start, on the steady clock.
func (e *Edge) now() dandeliongap.Instant { return dandeliongap.Instant(time.Since(e.start)) }

// listen opens all listeners and starts to serve them.
func (e *Edge) listen() error {
	l, err := net.Listen("tcp", e.opt.Settings.EntryListen)
	if err != nil {
		return err
	}
	e.entry = &callerListener{Listener: l, limits: func() dandeliongap.CallerLimits { return e.limits() }}
	e.serve(e.entry, &fasthttp.Server{
		Handler:                       e.handle,
		ReadBufferSize:                entryHeaderBytes,
		MaxRequestBodySize:            entryBodyBytes,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		ErrorHandler:                  e.badRequest,
		Logger:                        quietLogger{},
	})
	for addr, h := range map[string]fasthttp.RequestHandler{
		e.opt.Settings.ReadyListen:     e.handleReady,
		e.opt.Settings.DirectoryListen: e.handleNames,
		e.opt.Settings.MetricsListen:   e.handleVars,

		e.opt.Settings.GossipListen: e.handleChanges,
	} {
		if addr == "" {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		e.serve(l, &fasthttp.Server{
			Handler: h, NoDefaultServerHeader: true, IdleTimeout: sideIdle, ReadTimeout: sideIdle, Logger: quietLogger{},
		})
	}
	return nil
}

const (
	// entryHeaderBytes bounds the headers of a request where the configuration
	// names no lower limit.
	entryHeaderBytes = 32 << 10
	// entryBodyBytes bounds the body likewise.
	entryBodyBytes = 4 << 20
	// sideIdle bounds connections to the readiness, directory and metrics addresses.
	sideIdle = 20 * time.Second
)

func (e *Edge) serve(l net.Listener, s *fasthttp.Server) {
	e.servers = append(e.servers, s)
	e.wg.Go(func() {
		if err := s.Serve(l); err != nil {
			e.log.event("listener ended").Str("Address", l.Addr().String()).Err(err).Send()
		}
	})
}

func (e *Edge) limits() dandeliongap.CallerLimits {
	if t := e.view.Load().table; t != nil {
		return t.Config.Limits
	}
	return dandeliongap.CallerLimits{}
}

// Phases of a stop, as shares of the shutdown limit.
const (
	stopStaysOpen = 0.53 // callers may hold the address that long
	stopRefuses   = 0.75 // from here on new requests are refused
	stopEnds      = 0.87 // requests under way end until here
)

// Reload applies settings that were read again. Addresses and the names of the VM
// and its zone stay as they were at the start.
func (e *Edge) Reload(s Settings) {
	old := e.tuning.Swap(&s)
	e.mu.Lock()
	e.budget.SetLimits(s.RetryRatio, s.RetrySlack)
	e.mu.Unlock()
	fixed := e.opt.Settings
	restart := s.VM != fixed.VM || s.Zone != fixed.Zone || s.EntryListen != fixed.EntryListen || s.ReadyListen != fixed.ReadyListen || s.DirectoryListen != fixed.DirectoryListen ||
		s.GossipListen != fixed.GossipListen || s.MetricsListen != fixed.MetricsListen || s.StoreAddress != fixed.StoreAddress || s.RetryWindow != fixed.RetryWindow
	e.log.event("reload").Bool("Changed", *old != s).Bool("NeedsRestart", restart).
		Float64("RetryRatio", s.RetryRatio).Float64("RetrySlack", s.RetrySlack).Dur("ShutdownLimit", s.ShutdownLimit).Send()
}

// ReloadFailed records settings that could not be read; the last ones stay.
func (e *Edge) ReloadFailed(err error) {
	e.log.event("reload failed").Err(err).Str("Choice", "keep the last settings").Send()
}

// Drain ends the VM gracefully: callers are sent elsewhere, requests under way
// are finished, and those that still arrive are served as long as they can be
// finished. It returns when the process may end.
func (e *Edge) Drain() {
	begin := time.Now()
	limit := e.tuning.Load().ShutdownLimit
	at := func(share float64) time.Time { return begin.Add(time.Duration(share * float64(limit))) }
	e.leaving.Store(true)
	e.control.poke()
	e.log.event("stop").Int("Active", e.active.len()).Send()
	quiet := 0
	for time.Now().Before(at(stopEnds)) {
		time.Sleep(leaveTick)
		if time.Now().After(at(stopRefuses)) {
			e.closing.Store(true)
		}
		if e.active.len() > 0 {
			quiet = 0
			continue
		}
		quiet++
		if time.Now().After(at(stopStaysOpen)) && quiet > leaveQuiet {
			break
		}
	}
	e.log.event("stopped").Int("Active", e.active.len()).Dur("Took", time.Since(begin)).Send()
}

const (
	leaveTick  = 50 * time.Millisecond
	leaveQuiet = 8 // ticks without a request after which a leaving VM ends
)

// Close ends everything at once and waits.
func (e *Edge) Close() error {
	close(e.stop)
	for _, s := range e.servers {
		_ = s.Shutdown() // its error is that of a listener that is closed already
	}
	err := e.forward.Close()
	e.control.close()
	e.wg.Wait()
	e.log.close()
	return trace.Wrap(err)
}

// quietLogger drops what the HTTP server says of single connections; the caller
// sees the status, and the counters show the number.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}
