// Package dgnode is the daemon that runs on every entry VM.
//
// One goroutine owns the control state (control). It publishes an immutable
// dandeliongap.View, which the goroutines of traffic read: entry runs the
// queries of callers, gates sends to the backend servers that this VM owns, and
// actor runs requests that may not be repeated. peerService connects them with
// the other VMs. All decisions are made in the decision packages of the root
// module; this package carries them out.
//
// Rules for letting callers in, cited in log lines:
//
//	E1. A request is refused as not run while this VM drains, has lost contact,
//	    has too many requests in flight, or is in a zone that was taken out
//	    longer ago than callers may keep addresses.
//	E2. An operator's call without the token is refused without a hint.
//
// Rules of the graceful shutdown:
//
//	S1. The VM leaves the list of addresses and hands its replicas over. It
//	    serves callers for as long as they may keep its address.
//	S2. Requests that are under way at the time limit of the settings are cut
//	    off, which is logged with their number.
//	S3. Connections that carry no request are closed.
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
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
)

// LogTime is the time format of log lines. Milliseconds tell the order of the
// decisions of one query.
const LogTime = "2006-01-02T15:04:05.000Z07:00"

// Options are what a Node is built from. Settings, Store, Backend and Log are
// required.
type Options struct {
	Settings dgsettings.Daemon
	Store    dandeliongap.ObjectStore
	Backend  dandeliongap.BackendClient
	Log      *log.Logger
	// VMs is the platform's VM list; nil: none.
	VMs dandeliongap.VMList
	// Decisions receives the log lines of the request path; nil: none. It must
	// take whole lines from several goroutines at a time.
	Decisions io.Writer
	// CallerListener and PeerListener replace the listen addresses of the
	// settings, which still name the announced ones.
	CallerListener net.Listener
	PeerListener   net.Listener
	// Baseline makes the VM use the baseline policy for searches, for measurements.
	Baseline bool
}

// Node is one VM of the tier. Close waits for everything that it started.
type Node struct {
	settings dgsettings.Daemon
	log      *log.Logger
	clock    clock
	plain    bool
	stats    *stats
	view     atomic.Pointer[dandeliongap.View]

	gates       *gates
	entry       *entry
	actor       *actor
	control     *control
	peers       *dgpeer.Sender
	peerService *peerService

	app        *fiber.App
	callers    *openConns
	peerServer *http.Server
	serve      sync.WaitGroup

	inFlight      atomic.Int64
	requestNumber atomic.Uint64
	stopping      atomic.Bool     // out of the list of addresses
	draining      atomic.Bool     // refuses new requests
	killed        context.Context // ends with Kill
	kill          context.CancelFunc
	closed        sync.Once
	closeErr      error
}

// Start binds the listeners and begins to serve.
func Start(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings,
		log:      o.Log,
		clock:    newClock(),
		plain:    o.Baseline,
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

// build creates the parts and connects them.
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
	n.control.overloaded = n.busy
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
	n.peers = dgpeer.NewSender(self.ID, self.PeerAddress, n.entry.lost)
	n.entry.peers = n.peers
	n.control.peers = n.peers
	n.control.gates = n.gates
	n.actor = &actor{clock: n.clock, vm: self.VM, entry: n.entry, store: o.Store, log: o.Log, platform: n.control.platform}
	n.peerService = &peerService{clock: n.clock, gates: n.gates, entry: n.entry, peers: n.peers, control: n.control}
}

const (
	// idleCaller closes connections of callers that send nothing.
	idleCaller = 2 * time.Minute
	// readLimit bounds the time in which a caller sends a request.
	readLimit = 10 * time.Second
)

// serveAll serves callers, operators and peers.
func (n *Node) serveAll(callers, peers net.Listener) {
	n.app = fiber.New(fiber.Config{
		AppName:        "dandeliongap",
		BodyLimit:      n.settings.Limits.BodyBytes,
		ReadBufferSize: n.settings.Limits.HeaderBytes,
		Concurrency:    n.settings.Limits.Connections,
		ReadTimeout:    readLimit,
		IdleTimeout:    idleCaller,
		ErrorHandler:   errorBody,
	})
	n.callerRoutes(n.app)
	n.operatorRoutes(n.app)
	n.callers = newOpenConns(callers)
	n.peerServer = &http.Server{
		Handler:           limitBody(dgwire.NewPeerServer(n.peerService)),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: readLimit,
		IdleTimeout:       idleCaller,
	}
	n.serve.Go(func() {
		if err := n.app.Listener(n.callers, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			n.log.Error("callers not served", "Error", err)
		}
	})
	n.serve.Go(func() {
		if err := n.peerServer.Serve(peers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("peers not served", "Error", err)
		}
	})
}

// maxPeerBody bounds one message of a peer: dgpeer.MaxBatch items of the usual
// size, or a few relayed objects.
const maxPeerBody = 32 << 20

func limitBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBody)
		h.ServeHTTP(w, r)
	})
}

// View returns the control state that traffic uses at this moment.
func (n *Node) View() *dandeliongap.View { return n.view.Load() }

// Member returns the id of this process.
func (n *Node) Member() dandeliongap.MemberID { return n.control.self.ID }

// Address returns the address for callers, "IP:port".
func (n *Node) Address() string { return n.settings.CallerAnnounce }

// Fenced is closed when another VM fenced this one. The process has no rights any
// more and must be closed; a new Node has a new incarnation.
func (n *Node) Fenced() <-chan struct{} { return n.control.lost }

// Counter returns the value of one counter of /debug/vars, 0 if there is none.
func (n *Node) Counter(name string) int64 { return n.stats.counter(name) }

func (n *Node) zoneOutSince() (at dandeliongap.Instant) {
	return dandeliongap.Instant(n.control.zoneOutAt.Load())
}

// Close shuts down gracefully: out of the list of addresses, rights handed over,
// requests under way finished. It waits at most Settings.Shutdown for callers;
// then it logs how many requests it cut off.
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
	// Callers may use an address for as long as they were told to keep it.
	pause(ctx, time.Until(started.Add(keepAddresses+keepMargin)))
	n.draining.Store(true)
	cut := !n.waitForRequests(ctx)
	if n.killed.Err() != nil {
		n.crash()
		return nil
	}
	if cut {
		n.log.Warn("shutdown", "Rule", "S2", "Choice", "cut off requests", "InFlight", n.inFlight.Load(), "Limit", n.settings.Shutdown)
	}
	n.control.finish(ctx)
	return n.closeAll(cut)
}

// waitForRequests reports whether the requests in flight ended before ctx. No
// request begins any more once draining is set.
func (n *Node) waitForRequests(ctx context.Context) bool {
	for n.inFlight.Load() > 0 {
		if !pause(ctx, waitStep) {
			return false
		}
	}
	return true
}

// closeLimit bounds the end of connections once all requests have ended.
const closeLimit = 2 * time.Second

func (n *Node) closeAll(cut bool) error {
	err := graceful(n.app.ShutdownWithTimeout(closeLimit))
	if open := n.callers.closeConns(); open > 0 {
		n.log.Info("shutdown", "Rule", "S3", "Choice", "close connections without a finished request", "Connections", open)
	}
	if !cut {
		n.actor.wg.Wait()
	}
	n.gates.close()
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	err = errors.Join(err, n.peers.Close(), graceful(n.peerServer.Shutdown(ctx)), n.peerServer.Close())
	n.control.close()
	n.serve.Wait()
	n.kill()
	n.log.Info("stopped", "Member", n.control.self.ID)
	return trace.Wrap(err)
}

// graceful drops the error of a server that still has connections at the limit:
// all requests have ended or were logged by rule S2, and the connections that
// remain, such as spare ones that never carried a request, are closed next.
func graceful(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Kill ends the node as a crash would, also while Close is under way: nothing
// more is handed over and no connection is served on. It is for tests and the
// demo.
func (n *Node) Kill() {
	n.kill()
	n.closed.Do(n.crash)
}

func (n *Node) crash() {
	n.callers.closeConns()
	_ = n.peerServer.Close()
	n.control.close()
	_ = n.app.ShutdownWithTimeout(time.Millisecond)
	_ = n.peers.Close()
	n.gates.close()
	n.serve.Wait()
}
