// Package dgnode implements the daemon that runs on every entry VM.
//
// One goroutine owns the control state (control). It publishes an immutable
// dandeliongap.View, which the goroutines that serve requests read: entry runs the
// queries of callers, gates send to the backend servers that this VM owns, and
// actionRunner runs requests that must not run twice. peerService serves the calls
// of the other VMs. All decisions are made by packages of the root module, such as
// dgmember, dgplacement and dgfanout; this package carries them out.
//
// Rules for admitting requests, cited in log lines:
//
//	E1. A request is refused as not run while this VM drains, is not serving (for
//	    example without a configuration, or after it lost contact with the
//	    platform and with enough other VMs), has too many requests in flight, or
//	    is in a zone that was taken out of service longer ago than callers may
//	    keep addresses.
//	E2. An operator's call without a valid token is refused without details.
//
// Rules of the graceful shutdown:
//
//	S1. The VM leaves the list of addresses and hands over its replicas. It goes
//	    on serving callers for as long as they may keep its address.
//	S2. Requests still in flight at the shutdown time limit of the settings are
//	    cut off. Their number is logged.
//	S3. Connections that remain open after the requests have ended or were cut
//	    off are closed.
package dgnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
)

// LogTime is the time format of log lines. It includes milliseconds to show the
// order of the decisions of one query.
const LogTime = "2006-01-02T15:04:05.000Z07:00"

// Options configures a Node. Settings, Store, Backend and Log are required.
type Options struct {
	Settings dgsettings.Daemon
	Store    dandeliongap.ObjectStore
	Backend  dandeliongap.BackendClient
	Log      *log.Logger
	// VMs is the platform's VM list, or nil if the platform has none.
	VMs dandeliongap.VMList
	// Decisions receives the log lines of the request path; nil disables them. It
	// must be safe for concurrent use, and each Write gets one whole line.
	Decisions io.Writer
	// CallerListener and PeerListener replace the listen addresses of the
	// settings. The announced addresses are still those of the settings.
	CallerListener net.Listener
	PeerListener   net.Listener
	// Baseline selects the baseline policy for searches, for comparison in
	// measurements.
	Baseline bool
}

// Node is the daemon process of one VM. Close waits for the goroutines that it
// started.
type Node struct {
	settings dgsettings.Daemon
	log      *log.Logger
	clock    clock
	baseline bool
	stats    *stats
	view     atomic.Pointer[dandeliongap.View]

	gates       *gates
	entry       *entry
	actions     *actionRunner
	control     *control
	peers       *dgpeer.Sender
	peerService *peerService

	app        *fiber.App
	callers    *dghttp.Tracker
	peerServer *http.Server
	servers    sync.WaitGroup

	inFlight      atomic.Int64
	requestNumber atomic.Uint64
	stopping      atomic.Bool     // Close has begun; left out of the list of addresses
	draining      atomic.Bool     // later stage of Close; refuses new requests
	killed        context.Context // cancelled by Kill
	kill          context.CancelFunc
	closed        sync.Once
	closeErr      error
}

// Start binds the listeners and starts serving.
func Start(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings,
		log:      o.Log,
		clock:    newClock(),
		baseline: o.Baseline,
		stats:    newStats(),
	}
	n.killed, n.kill = context.WithCancel(context.Background())
	incarnation := rand.Uint64()
	self := dandeliongap.Member{
		ID:            dandeliongap.MemberID(fmt.Sprintf("%s-%016x", o.Settings.VM, incarnation)),
		VM:            o.Settings.VM,
		Zone:          o.Settings.Zone,
		CallerAddress: o.Settings.CallerAnnounce,
		PeerAddress:   o.Settings.PeerAnnounce,
		State:         dandeliongap.MemberLive,
	}
	callers, peers, err := listen(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.build(o, self, incarnation)
	n.control.start()
	n.serveAll(callers, peers)
	n.log.Info("started", "Member", self.ID, "Zone", self.Zone, "Callers", self.CallerAddress, "Peers", self.PeerAddress)
	return n, nil
}

func listen(o Options) (callers, peers net.Listener, err error) {
	callers, peers = o.CallerListener, o.PeerListener
	if callers == nil {
		callers, err = net.Listen("tcp", o.Settings.CallerListen)
		if err != nil {
			return nil, nil, err
		}
	}
	if peers == nil {
		peers, err = net.Listen("tcp", o.Settings.PeerListen)
		if err != nil {
			return nil, nil, errors.Join(err, callers.Close())
		}
	}
	return callers, netutil.LimitListener(peers, o.Settings.Limits.Connections), nil
}

// build creates the components of the node and connects them.
func (n *Node) build(o Options, self dandeliongap.Member, incarnation uint64) {
	n.control = &control{
		clock:    n.clock,
		settings: o.Settings,
		self:     self,
		store:    o.Store,
		backend:  o.Backend,
		vms:      o.VMs,
		log:      o.Log,
		stats:    n.stats,
		view:     &n.view,
		rng:      newRand(),
	}
	decisions := newDecisionLog(o.Decisions, self.VM)
	n.control.overloaded = n.overloaded
	n.gates = newGates(n.clock, o.Backend, decisions, n.control.drained)
	n.entry = &entry{
		clock:       n.clock,
		incarnation: incarnation,
		view:        &n.view,
		gates:       n.gates,
		decisions:   decisions,
		stats:       n.stats,
		rng:         newRand(),
	}
	n.peers = dgpeer.NewSender(self.ID, self.PeerAddress, n.entry.handleSubmitFailure)
	n.entry.peers = n.peers
	n.control.peers = n.peers
	n.control.gates = n.gates
	n.actions = &actionRunner{clock: n.clock, vm: self.VM, entry: n.entry, store: o.Store, log: o.Log, recordPlatformCall: n.control.recordPlatformCall}
	n.peerService = &peerService{clock: n.clock, gates: n.gates, entry: n.entry, peers: n.peers, control: n.control}
}

const (
	// idleTimeout closes idle connections of callers and peers.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds the time that a caller takes to send a request, and a peer
	// to send the headers of one.
	readTimeout = 10 * time.Second
)

// serveAll serves callers, operators and peers.
func (n *Node) serveAll(callers, peers net.Listener) {
	n.app = fiber.New(fiber.Config{
		AppName:        "dandeliongap",
		BodyLimit:      n.settings.Limits.BodyBytes,
		ReadBufferSize: n.settings.Limits.HeaderBytes,
		Concurrency:    n.settings.Limits.Connections,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		ErrorHandler:   writeError,
	})
	n.callerRoutes(n.app)
	n.operatorRoutes(n.app)
	n.callers = &dghttp.Tracker{Listener: callers}
	n.peerServer = &http.Server{
		Handler:           limitBody(dgwire.NewPeerServer(n.peerService)),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
	}
	n.servers.Go(func() {
		// The server would end at the first failure to accept.
		callers := &dghttp.RetryListener{Listener: n.callers, Failed: func(err error) { n.log.Warn("cannot accept a caller's connection", "Error", err) }}
		if err := n.app.Listener(callers, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			n.log.Error("listener for callers failed", "Error", err)
		}
	})
	n.servers.Go(func() {
		if err := n.peerServer.Serve(peers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("listener for peers failed", "Error", err)
		}
	})
}

// maxPeerBodyBytes bounds one message of a peer. It has room for dgpeer.MaxBatch
// items of the usual size, or for a few relayed objects.
const maxPeerBodyBytes = 32 << 20

func limitBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBodyBytes)
		h.ServeHTTP(w, r)
	})
}

// View returns the control state that requests are currently served with.
func (n *Node) View() *dandeliongap.View { return n.view.Load() }

// Member returns the member id of this process.
func (n *Node) Member() dandeliongap.MemberID { return n.control.self.ID }

// Address returns the announced address for callers, "IP:port".
func (n *Node) Address() string { return n.settings.CallerAnnounce }

// Fenced returns a channel that is closed when another VM has fenced this one. The
// node has no rights any more and must be closed; a new Node gets a new incarnation.
func (n *Node) Fenced() <-chan struct{} { return n.control.fenced }

// Counter returns the value of a counter of /debug/vars, or 0 if it does not exist.
func (n *Node) Counter(name string) int64 { return n.stats.counter(name) }

func (n *Node) zoneOutSince() (at dandeliongap.Instant) {
	return dandeliongap.Instant(n.control.zoneOutAt.Load())
}

// Close shuts down gracefully: it leaves the list of addresses, hands over the rights
// and lets the requests in flight finish. After at most Settings.Shutdown it cuts
// off the remaining requests and logs their number.
func (n *Node) Close() error {
	n.closed.Do(func() { n.closeErr = n.shutdown() })
	return n.closeErr
}

func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(n.killed, n.settings.Shutdown)
	defer cancel()
	n.log.Info("shutdown", "Rule", "S1", "Choice", "leave the list of addresses and hand over replicas")
	n.stopping.Store(true)
	started := time.Now()
	n.control.leave(ctx)
	// Callers may use an address for addressLifetime after they received it.
	sleep(ctx, time.Until(started.Add(addressLifetime+addressLifetimeMargin)))
	n.draining.Store(true)
	cut := !n.waitForRequests(ctx)
	if n.killed.Err() != nil {
		n.crash()
		return nil
	}
	if cut {
		n.log.Warn("shutdown", "Rule", "S2", "Choice", "cut off requests", "InFlight", n.inFlight.Load(), "Limit", n.settings.Shutdown)
	}
	n.control.deleteOwnLease(ctx)
	return n.closeAll(cut)
}

// waitForRequests waits for the requests in flight and reports whether they ended
// before ctx. No new request is admitted once draining is set.
func (n *Node) waitForRequests(ctx context.Context) bool {
	for n.inFlight.Load() > 0 {
		if !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// closeTimeout bounds the shutdown of each server after the requests have ended or
// were cut off.
const closeTimeout = 2 * time.Second

func (n *Node) closeAll(cut bool) error {
	err := ignoreDeadlineExceeded(n.app.ShutdownWithTimeout(closeTimeout))
	if open := n.callers.CloseAll(); open > 0 {
		n.log.Info("shutdown", "Rule", "S3", "Choice", "close connections without a finished request", "Connections", open)
	}
	if !cut {
		n.actions.wg.Wait()
	}
	n.gates.close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err = errors.Join(err, n.peers.Close(), ignoreDeadlineExceeded(n.peerServer.Shutdown(ctx)), n.peerServer.Close())
	n.control.close()
	n.servers.Wait()
	n.kill()
	n.log.Info("stopped", "Member", n.control.self.ID)
	return trace.Wrap(err)
}

// ignoreDeadlineExceeded drops the error of a server that still has connections at
// the time limit. All requests have ended or were logged under rule S2, and the
// remaining connections, such as pooled ones that never carried a request, are
// closed next.
func ignoreDeadlineExceeded(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Kill ends the node as a crash would, even while Close is running: it hands over
// no rights and closes all connections. It is meant for tests and the demo.
func (n *Node) Kill() {
	n.kill()
	n.closed.Do(n.crash)
}

func (n *Node) crash() {
	n.callers.CloseAll()
	_ = n.peerServer.Close()
	n.control.close()
	_ = n.app.ShutdownWithTimeout(time.Millisecond)
	_ = n.peers.Close()
	n.gates.close()
	n.servers.Wait()
}
