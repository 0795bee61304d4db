package dgedge

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgbudget"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgmemory"
	"dandeliongap.example/dandeliongap/dgrollout"
	"dandeliongap.example/dandeliongap/dgroute"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Dialect defines the headers, paths and response formats that a platform's callers
// and backend servers use.
type Dialect struct {
	Backend             dgbackend.HeaderNames
	ShardStampsHeader   string // header of a merged response: stamps of the backend servers that contributed
	MissingShardsHeader string // header of a merged response: number of missing shards
	AccountHeader       string // header of a forwarded request: name of the account that sent it
	ReadyPath           string // path of the readiness check
	DirectoryPath       string // path of the directory
	// EncodeDirectory returns the body of a directory response that callers may cache
	// for ttl.
	EncodeDirectory func(addrs []string, ttl time.Duration) []byte
}

// Options configure an Edge.
type Options struct {
	Settings Settings
	Store    dandeliongap.EdgeStore
	Dialect  Dialect
	Log      io.Writer
}

// Edge is the daemon on one VM of the tier.
type Edge struct {
	opt   Options
	start time.Time // origin of all Instants
	boot  int64     // start in Unix nanoseconds; identifies this process to other VMs
	log   *eventLog
	stats stats

	forward *dgbackend.Forwarder
	plan    dgmemory.Plan

	mu       sync.Mutex // guards balancer, budget and rollouts, and the split state of routing tables
	balancer *dgbalance.Balancer
	budget   *dgbudget.Budget
	rollouts *dgrollout.Local // nil: rollouts are off

	quotas *quotas

	latestSettings atomic.Pointer[Settings] // see Reload for those that take effect without a restart
	view           atomic.Pointer[view]
	mirror         dgwatch.Mirror // copy of the control state that other VMs pull
	answers        *answers       // of mirror
	sharesHashes   atomic.Bool    // mirror has had a configuration with hashes of keys (dgaccount K7)
	control        *control
	stopping       atomic.Pointer[plannedStop] // set once Drain has been called
	endRequests    chan struct{}               // closed when Drain ends the requests in progress

	active   activeSet
	attempts atomic.Int64 // attempts started
	stallMu  sync.Mutex   // guards stalls
	stalls   dgadmit.Stalls
	callers  *callerListener
	aux      []*dghttp.Tracker // all other listeners
	servers  []*fasthttp.Server
	stop     chan struct{}
	wg       conc.WaitGroup
}

// view is a snapshot of the control state for requests. It is immutable.
type view struct {
	table     *dgroute.Table  // nil before the first configuration
	accounts  *dgaccount.Book // of table; nil: requests need no key
	ready     bool            // the configuration and all other kinds of control state are known
	directory []string        // entry addresses of the VMs that accept callers
	stale     bool            // the store is failing or has not answered recently: a newer configuration may exist
}

// Start starts the daemon of a VM. The daemon refuses requests until it has read the
// control state.
func Start(o Options) (*Edge, error) {
	now := time.Now()
	limits := vmLimits(o.Settings)
	rng := rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64()))
	e := &Edge{
		opt: o, start: now, boot: now.UnixNano(),
		log:      newEventLog(o.Log, o.Settings.VM),
		forward:  dgbackend.NewForwarder(o.Dialect.Backend),
		plan:     dgmemory.NewPlan(limits),
		balancer: dgbalance.New(o.Settings.VM, o.Settings.Zone, rng),
		stop:     make(chan struct{}), endRequests: make(chan struct{}),
	}
	e.budget = dgbudget.New(dgbudget.Options{
		Ratio: o.Settings.RetryRatio, Slack: o.Settings.RetrySlack, Window: o.Settings.RetryWindow, InitialStart: o.Settings.FirstStart,
	})
	if o.Settings.RolloutShare > 0 {
		e.rollouts = dgrollout.NewLocal(dgrollout.Limits{Share: o.Settings.RolloutShare, Slack: o.Settings.RolloutSlack, Rollback: o.Settings.RollbackLimit})
	}
	e.answers = newAnswers(e.plan.AnswerBytes, func() { e.stats.add("Ended.M8") })
	e.quotas = newQuotas(e)
	e.view.Store(&view{})
	e.latestSettings.Store(&o.Settings)
	e.stats.init()
	e.forward.LimitMemory(e.plan.ResponseBytes)
	e.forward.BeforeDial(func() { e.trimIdle(int64(e.callers.len())) })
	limitRuntime(e.plan)
	maxCallers := dgadmit.MaxCallerConnections(uint64(limits.Sockets))
	if err := e.listen(maxCallers); err != nil {
		e.log.close()
		return nil, trace.Wrap(err)
	}
	e.log.event("start").Str("Zone", string(o.Settings.Zone)).Str("Entry", o.Settings.EntryListen).Bool("First", o.Settings.FirstStart).Int64("MaxCallers", maxCallers).
		Int64("Memory", limits.MemoryBytes).Int64("MaxHeld", e.plan.AccountBytes).Int64("MaxResponses", e.plan.ResponseBytes).Int("MaxOthers", e.plan.OtherConns).Send()
	e.control = newControl(e)
	e.wg.Go(e.control.run)
	e.wg.Go(e.watchDisconnects)
	return e, nil
}

// now returns the time since the start, on the monotonic clock.
func (e *Edge) now() dandeliongap.Instant { return dandeliongap.Instant(time.Since(e.start)) }

// listen opens all listeners and starts serving on them. maxCallers limits the open
// connections of callers; 0 means no limit.
func (e *Edge) listen(maxCallers int64) error {
	l, err := listenSmall(e.opt.Settings.EntryListen)
	if err != nil {
		return err
	}
	e.callers = &callerListener{
		Listener: e.retryAccept(l), limits: e.limits, maxOpen: maxCallers,
		account: dgmemory.NewAccount(e.plan.AccountBytes), sockets: e.plan.Sockets, start: e.start,
		accepted: e.trimIdle,
		rejected: func() { e.stats.add("Refused.Connection") },
		ended:    e.connectionEnded(),
		events:   connEvents{responded: e.active.remove, writeFailed: e.responseLost},
	}
	e.serve(e.callers, &fasthttp.Server{
		Handler:                       e.handle,
		ReadBufferSize:                maxEntryHeaderBytes,
		StreamRequestBody:             true, // receiveBody reads it
		MaxRequestBodySize:            1,    // read before the handler is called
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		ErrorHandler:                  e.handleMalformed,
		Logger:                        discardLogger{},
	})
	for addr, h := range map[string]fasthttp.RequestHandler{
		e.opt.Settings.ReadyListen:     e.handleReady,
		e.opt.Settings.DirectoryListen: e.handleDirectory,
		e.opt.Settings.MetricsListen:   e.handleMetrics,
		e.opt.Settings.GossipListen:    e.handleChanges,
	} {
		if addr == "" {
			continue
		}
		l, err := listenSmall(addr)
		if err != nil {
			return err
		}
		aux := &dghttp.Tracker{Listener: e.retryAccept(l)}
		e.aux = append(e.aux, aux)
		e.serve(&auxListener{Tracker: aux, maxOpen: e.plan.OtherConns, ended: func() { e.stats.add("Ended.Other") }}, auxServer(h))
	}
	return nil
}

const (
	// maxEntryHeaderBytes limits the headers of a request. The configuration may set a
	// lower limit.
	maxEntryHeaderBytes = 20 << 10
	// maxEntryBodyBytes limits the body of a request in the same way.
	maxEntryBodyBytes = 4 << 20
	// auxIdleTimeout is the idle and read timeout of connections to all listeners but
	// the entry listener.
	auxIdleTimeout = 20 * time.Second
	// auxCloseTimeout is the time that these connections have to end in Close.
	auxCloseTimeout = 250 * time.Millisecond
)

func (e *Edge) serve(l net.Listener, s *fasthttp.Server) {
	e.servers = append(e.servers, s)
	e.wg.Go(func() {
		if err := s.Serve(l); err != nil {
			e.log.event("listener failed").Str("Address", l.Addr().String()).Err(err).Send()
		}
	})
}

// retryAccept returns a listener that outlasts failures to accept a connection. It logs
// one line for failures that follow each other closely.
func (e *Edge) retryAccept(l net.Listener) net.Listener {
	once := rate.Sometimes{Interval: acceptLogInterval}
	return &dghttp.RetryListener{Listener: l, Failed: func(err error) {
		e.stats.add("AcceptFailures")
		once.Do(func() {
			e.log.event("accept failed").Str("Address", l.Addr().String()).Err(err).Str("Choice", "go on accepting").Send()
		})
	}}
}

// connectionEnded returns a function that counts the connections ended under a rule of
// dgmemory, and logs one line for those that follow each other closely.
func (e *Edge) connectionEnded() func(rule string) {
	once := rate.Sometimes{Interval: acceptLogInterval}
	return func(rule string) {
		e.stats.add("Ended." + rule)
		once.Do(func() {
			e.log.event("connection ended").Str("Rule", rule).Int("Open", len(e.callers.open)).Int64("Held", e.callers.account.Used()).
				Int64("MaxHeld", e.plan.AccountBytes).Int64("MaxOpen", e.callers.maxOpen).Send()
		})
	}
}

// acceptLogInterval is the least time between two log lines about failures to accept
// connections on one listener.
const acceptLogInterval = 5 * time.Second

// descriptorLimit returns the number of descriptors that the process may have open, or 0
// if it is unknown.
func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

func (e *Edge) limits() dandeliongap.CallerLimits {
	if t := e.view.Load().table; t != nil {
		return t.Config.Limits
	}
	return dandeliongap.CallerLimits{}
}

// Reload applies new settings. The addresses, the names of the VM and its availability
// zone, the retry window, the limits of rollouts and the bounds of quotas keep their values from Start. If the new values differ from
// these, the log line says that a restart is needed.
func (e *Edge) Reload(s Settings) {
	old := e.latestSettings.Swap(&s)
	e.mu.Lock()
	e.budget.SetLimits(s.RetryRatio, s.RetrySlack)
	e.mu.Unlock()
	fixed := e.opt.Settings
	restart := s.VM != fixed.VM || s.Zone != fixed.Zone || s.EntryListen != fixed.EntryListen || s.ReadyListen != fixed.ReadyListen || s.DirectoryListen != fixed.DirectoryListen ||
		s.GossipListen != fixed.GossipListen || s.MetricsListen != fixed.MetricsListen || s.StoreAddress != fixed.StoreAddress || s.RetryWindow != fixed.RetryWindow ||
		s.RolloutShare != fixed.RolloutShare || s.RolloutSlack != fixed.RolloutSlack || s.RollbackLimit != fixed.RollbackLimit ||
		!equalBounds(s.Quota, fixed.Quota) || s.MemoryLimitMB != fixed.MemoryLimitMB || s.DescriptorLimit != fixed.DescriptorLimit
	e.log.event("reload").Bool("Changed", !old.equal(s)).Bool("NeedsRestart", restart).
		Float64("RetryRatio", s.RetryRatio).Float64("RetrySlack", s.RetrySlack).Dur("ShutdownLimit", s.ShutdownLimit).Send()
}

// ReloadFailed logs that the settings could not be read again. The current ones stay in
// force.
func (e *Edge) ReloadFailed(err error) {
	e.log.event("reload failed").Err(err).Str("Choice", "keep the last settings").Send()
}

// plannedStop is a stop that has begun.
type plannedStop struct {
	dgadmit.Stop
	begin time.Time
}

// since returns the time since the begin of the stop.
func (s *plannedStop) since() time.Duration { return time.Since(s.begin) }

// Drain prepares the VM for a graceful exit: it takes the VM out of the directory, serves
// the requests that can be answered in time, and refuses others (dgadmit A3, A6). It
// returns when the process may exit.
func (e *Edge) Drain() {
	s := e.latestSettings.Load()
	stop := &plannedStop{dgadmit.Stop{Limit: s.ShutdownLimit, DirectoryTTL: min(directoryTTL, s.MaxDirectoryTTL)}, e.stopBegin(s.ShutdownLimit)}
	e.stopping.Store(stop)
	e.control.requestPublish()
	e.log.event("stop").Dur("Late", stop.since()).Int("Active", e.active.len()).Dur("OpenUntil", stop.OpenUntil()).Dur("AnswerBy", stop.AnswerBy()).Send()
	busy := time.Now() // last time at which a request was in progress
	for stop.since() < stop.AnswerBy() && !stop.MayEnd(stop.since(), time.Since(busy)) {
		time.Sleep(drainPollInterval)
		if e.active.len() > 0 {
			busy = time.Now()
		}
	}
	ended := e.active.len()
	if ended > 0 {
		close(e.endRequests)
	}
	for e.active.len() > 0 && stop.since() < stop.ReceiveBy() {
		time.Sleep(endPollInterval)
	}
	for _, r := range e.active.oldest(maxUnansweredLines) {
		e.log.event("unanswered").Str("Request", r.id).Str("Rule", "A6").Dur("Age", time.Since(r.startedAt)).Send()
	}
	e.log.event("stopped").Str("Rule", "A6").Int("Ended", ended).Int("Active", e.active.len()).
		Int("Connections", e.callers.len()).Dur("Took", stop.since()).Send()
}

// stopBegin returns the begin of a stop whose signal is handled now (dgadmit A8).
func (e *Edge) stopBegin(limit time.Duration) time.Time {
	e.stallMu.Lock()
	defer e.stallMu.Unlock()
	return e.start.Add(e.stalls.Begin(time.Since(e.start), limit))
}

// maxUnansweredLines limits the log lines about requests without a response at the end of
// a stop.
const maxUnansweredLines = 100

const (
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 50 * time.Millisecond
	// endPollInterval is the time between two checks of whether the requests that Drain
	// ended have their response.
	endPollInterval = 5 * time.Millisecond
	// closePollInterval is the time between two checks of the connections of callers in
	// Close.
	closePollInterval = 10 * time.Millisecond
)

// Close stops all activity and waits for all goroutines to end. Without Drain before, only
// the requests in progress have time to end.
func (e *Edge) Close() error {
	begin := time.Now()
	close(e.stop)
	e.closeListeners()
	err := e.forward.Close()
	e.control.close()
	e.wg.Wait()
	e.log.event("exit").Dur("Took", time.Since(begin)).Send()
	e.log.close()
	return trace.Wrap(err)
}

// closeListeners closes all listeners and waits until their connections are closed (dgadmit
// A10 for those of callers).
func (e *Edge) closeListeners() {
	stop := e.stopping.Load()
	if stop == nil {
		stop = &plannedStop{begin: time.Now()}
	}
	var servers conc.WaitGroup
	for _, s := range e.servers {
		servers.Go(func() { _ = s.Shutdown() }) // fails only if the listener is closed already
	}
	abandonAux := time.AfterFunc(auxCloseTimeout, func() {
		for _, l := range e.aux {
			l.CloseAll()
		}
	})
	defer abandonAux.Stop()
	ended := make(chan struct{})
	go func() {
		servers.Wait()
		close(ended)
	}()
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	for running := true; running || e.callers.len() > 0; {
		e.callers.sweep(func(c dgadmit.ConnState) bool { return stop.Closes(c, stop.since()) })
		select {
		case <-ended:
			running, ended = false, nil
		case <-poll.C:
		}
	}
}

// discardLogger drops the messages of the HTTP server about errors on single
// connections. The caller gets a status code, and the metrics count such errors.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
