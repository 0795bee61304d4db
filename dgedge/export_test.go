package dgedge

import (
	"context"
	"io"
	"net"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgmemory"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgquota"
)

// WriteRequestLines writes n log lines about a request, in the form that a VM writes.
func WriteRequestLines(w io.Writer, n int) {
	l := newEventLog(w, "vm-1")
	l.limit.SetLimit(1e12)
	l.limit.SetBurst(n)
	for range n {
		l.request("done", "9c41d07be2a35f68").Strs("Missing", nil).Int("NoBudget", 0).Str("Route", "r-q43ptvy").Uint64("Config", 155).
			Str("Verdict", "complete").Int("Status", 200).Int("Merged", 20).Int("Total", 20).
			Int("Attempts", 21).Int("Extra", 1).Str("Why", "").Dur("Left", 1).Dur("Took", 1).Send()
	}
	l.close()
}

// NextWatchDelay exports nextWatchDelay for tests.
var NextWatchDelay = nextWatchDelay

// CutOff exports cutOff for tests.
var CutOff = cutOff

// WriteToCaller writes b on a connection of a caller that may stop receiving for timeout.
func WriteToCaller(tcp *net.TCPConn, timeout time.Duration, b []byte) (int, error) {
	c := &callerConn{TCPConn: tcp, writeTimeout: timeout}
	return c.Write(b)
}

// CallerListener is a listener for callers.
type CallerListener struct{ callerListener }

// NewCallerListener returns a listener for callers that sets no limits.
func NewCallerListener(l net.Listener) *CallerListener {
	return &CallerListener{callerListener{Listener: l, limits: func() dandeliongap.CallerLimits { return dandeliongap.CallerLimits{} }}}
}

// LimitMemory sets the limit of the memory account, in bytes.
func (l *CallerListener) LimitMemory(bytes int64) {
	l.account, l.ended, l.rejected, l.start = dgmemory.NewAccount(bytes), func(string) {}, func() {}, time.Now()
}

// LimitOpen sets the number of connections that may be open.
func (l *CallerListener) LimitOpen(n int64) {
	l.LimitMemory(0)
	l.maxOpen = n
}

// LimitHead sets the header timeout.
func (l *CallerListener) LimitHead(timeout time.Duration) {
	l.limits = func() dandeliongap.CallerLimits { return dandeliongap.CallerLimits{HeaderTimeout: timeout} }
}

// LimitSockets sets the number of descriptors for callers and places.
func (l *CallerListener) LimitSockets(n int64) {
	l.LimitMemory(0)
	l.sockets = dgmemory.NewSockets(n)
}

// Reserve takes the places of a request with n shards, and reports whether there was room.
func (l *CallerListener) Reserve(n int) (*Reservation, bool) {
	e := &Edge{callers: &l.callerListener}
	r, refusal := e.reserve(n)
	return &Reservation{r}, refusal.Status == 0
}

// Places returns the number of places that are taken.
func (l *CallerListener) Places() int64 { return l.places }

// Reservation holds the places of a request.
type Reservation struct{ r *reservation }

// Start, End and Finish export methods for tests.
func (r *Reservation) Start(force bool) bool { return r.r.start(force) }
func (r *Reservation) End(keep bool)         { r.r.end(keep) }
func (r *Reservation) Finish()               { r.r.finish() }

// Used exports the bytes in the memory account.
func (l *CallerListener) Used() int64 { return l.used() }

// ErrNoMemory and ReadBody export the reading of bodies for tests.
var (
	ErrNoMemory     = errNoMemory
	ErrBodyTooLarge = errBodyTooLarge
	ReadBody        = readBody
)

// Sweep and Len export methods for tests.
func (l *CallerListener) Sweep(closes func(dgadmit.ConnState) bool) { l.sweep(closes) }
func (l *CallerListener) Len() int                                  { return l.len() }

// BeginRequest and EndResponse record that a handler is called for a request of the
// connection, and that its response has been written.
func BeginRequest(c net.Conn) { c.(*callerConn).beginRequest(&activeRequest{}) }
func EndResponse(c net.Conn)  { c.(*callerConn).endResponse() }

// Unpack decodes a datagram in either form and returns the number of heartbeats in it.
func Unpack(datagram []byte) (int, error) {
	if isShort(datagram) {
		m, err := decodeShort(datagram)
		if err != nil {
			return 0, err
		}
		return 1 + len(m.Hubs), nil
	}
	var u unpacker
	heartbeats, err := u.unpack(datagram)
	return len(heartbeats), err
}

// UnpackReceived returns the heartbeats of a datagram in the long form that a VM uses.
func UnpackReceived(datagram []byte) ([]dgpresence.Heartbeat, error) {
	var u unpacker
	heartbeats, err := u.unpack(datagram)
	return validHeartbeats(heartbeats, kinds), err
}

// Gossip queues datagrams with size bytes of content in a control goroutine that does not run,
// and returns how many of n there was room for.
func Gossip(n int, size int64) (queued int) {
	c := &control{heartbeats: make(chan gossip, heartbeatQueueSize)}
	for range n {
		if c.queue(gossip{size: size}) {
			queued++
		}
	}
	return queued
}

// ErrManyValues and MaxQueuedBytes export limits of datagrams for tests.
var ErrManyValues = errManyValues

const MaxQueuedBytes = maxQueuedBytes

// Pack returns the datagram for heartbeats in their long form.
func Pack(heartbeats []dgpresence.Heartbeat) []byte {
	var p packer
	b, err := p.pack(heartbeats)
	if err != nil {
		panic(err)
	}
	return b
}

// EncodeShort and DecodeShort export the short form for tests.
var (
	EncodeShort = encodeShort
	DecodeShort = decodeShort
	ErrShort    = errShort
)

// Messages about quotas, for tests.
var (
	EncodeAsks = encodeAsks
	ErrQuota   = errQuota
)

// EncodeGrant returns the datagram with a grant for an account.
func EncodeGrant(name dandeliongap.AccountName, g dgquota.Grant) []byte {
	return encodeGrants([]quotaAnswer{{accountIDOf(name), g}})
}

// DecodeQuota decodes a datagram about quotas. ok is false if it is another one.
func DecodeQuota(datagram []byte) (asks []dgquota.Ask, grants []dgquota.Grant, ok bool, err error) {
	if !isShort(datagram) || !isQuota(datagram) {
		return nil, nil, false, nil
	}
	a, g, err := decodeQuota(datagram)
	for _, x := range a {
		asks = append(asks, x.ask)
	}
	for _, x := range g {
		grants = append(grants, x.grant)
	}
	return asks, grants, true, err
}

// FetchChanges fetches all changes from the VM at addr.
func FetchChanges(addr string) error {
	c := &control{ctx: context.Background()}
	_, err := c.fetchChanges(addr, kinds[0], 0, "")
	return err
}
