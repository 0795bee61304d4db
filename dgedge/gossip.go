package dgedge

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

// listenGossip opens the UDP socket for heartbeats. Without it the VM still serves
// requests, but the other VMs do not list it in their directory.
func (c *control) listenGossip() {
	addr, err := net.ResolveUDPAddr("udp", c.e.opt.Settings.GossipListen)
	if err == nil {
		c.udp, err = net.ListenUDP("udp", addr)
	}
	if err != nil {
		c.e.log.event("cannot open gossip socket").Err(err).Send()
		return
	}
	c.wg.Go(c.receiveHeartbeats)
}

const (
	// maxDatagramBytes is the size of the largest datagram that UDP carries.
	maxDatagramBytes = 64 << 10
	// maxUnpackedBytes limits the decompressed content of a datagram. It is enough for
	// the heartbeats of a few thousand VMs.
	maxUnpackedBytes = 1 << 20
	// maxUnpackedValues limits the objects and arrays in it, as an empty one takes tens of
	// times its text once decoded. A heartbeat has two at most.
	maxUnpackedValues = 16 << 10
	// maxQueuedBytes limits the content of the datagrams that wait for the control goroutine.
	maxQueuedBytes = 2 << 20
)

// errManyValues means that a datagram has more objects and arrays than a VM sends.
var errManyValues = errors.New("too many values in a datagram")

// longForm is the content of a datagram with heartbeats in their long form: compressed
// JSON, which VMs of all versions read.
type longForm struct {
	Beats []dgpresence.Heartbeat `json:",omitempty"`
	// Rollouts are about the evidence in rollouts. VMs of earlier versions get none.
	Rollouts []rolloutReport `json:",omitempty"`
}

// packer encodes and compresses heartbeats in their long form. Its zero value is ready for use.
type packer struct {
	b bytes.Buffer
	w *flate.Writer // reused because a writer takes about 1 MB
}

// pack returns the datagram with heartbeats. It is valid until the next call.
func (p *packer) pack(heartbeats []dgpresence.Heartbeat) ([]byte, error) {
	return p.packLong(longForm{Beats: heartbeats})
}

func (p *packer) packLong(l longForm) ([]byte, error) {
	p.b.Reset()
	if p.w == nil {
		w, err := flate.NewWriter(&p.b, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		p.w = w
	} else {
		p.w.Reset(&p.b)
	}
	if err := json.NewEncoder(p.w).Encode(l); err != nil {
		return nil, err
	}
	err := p.w.Close()
	return p.b.Bytes(), err
}

// unpacker decompresses and decodes heartbeats in their long form. Its zero value is ready
// for use.
type unpacker struct {
	r    io.ReadCloser
	text bytes.Buffer // content of the last datagram
}

func (u *unpacker) unpack(datagram []byte) ([]dgpresence.Heartbeat, error) {
	l, err := u.unpackLong(datagram)
	return l.Beats, err
}

func (u *unpacker) unpackLong(datagram []byte) (l longForm, err error) {
	src := bytes.NewReader(datagram)
	if u.r == nil {
		u.r = flate.NewReader(src)
	} else if err := u.r.(flate.Resetter).Reset(src, nil); err != nil {
		return l, err
	}
	u.text.Reset()
	if _, err := u.text.ReadFrom(io.LimitReader(u.r, maxUnpackedBytes)); err != nil {
		return l, err
	}
	text := u.text.Bytes()
	if bytes.Count(text, []byte{'{'})+bytes.Count(text, []byte{'['}) > maxUnpackedValues {
		return l, errManyValues
	}
	err = json.NewDecoder(bytes.NewReader(text)).Decode(&l)
	return l, err
}

// validHeartbeats returns the heartbeats of VMs with a valid name, with the versions of the given
// kinds only. It changes heartbeats.
func validHeartbeats(heartbeats []dgpresence.Heartbeat, kinds []string) []dgpresence.Heartbeat {
	out := slices.DeleteFunc(heartbeats, func(h dgpresence.Heartbeat) bool { return dandeliongap.CheckName(string(h.VM)) != nil })
	for _, h := range out {
		maps.DeleteFunc(h.Seen, func(kind string, _ dandeliongap.Version) bool { return !slices.Contains(kinds, kind) })
	}
	return slices.Clip(out)
}

// validReports returns the reports of VMs with a valid name. It changes reports.
func validReports(reports []rolloutReport) []rolloutReport {
	return slices.Clip(slices.DeleteFunc(reports, func(r rolloutReport) bool { return dandeliongap.CheckName(string(r.VM)) != nil }))
}

// receiveHeartbeats passes the heartbeats of other VMs to the control goroutine
// until the socket is closed.
func (c *control) receiveHeartbeats() {
	buf := make([]byte, maxDatagramBytes)
	var u unpacker
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.e.stats.add("GossipErrors")
			continue
		}
		var g gossip
		if isShort(buf[:n]) && isQuota(buf[:n]) {
			c.e.stats.addN("GossipBytesReceived", int64(n))
			if c.e.quotas.receive(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) != nil {
				c.e.stats.add("GossipUnreadable")
			}
			continue // requests wait for it, so that it does not queue behind heartbeats
		}
		if isShort(buf[:n]) {
			g.extended = isExtended(buf[:n])
			g.short, err = decodeShort(buf[:n])
			g.size = int64(n)
		} else {
			var l longForm
			l, err = u.unpackLong(buf[:n])
			g.long, g.reports = validHeartbeats(l.Beats, extendedKinds), validReports(l.Rollouts)
			g.size = int64(u.text.Len())
		}
		if err != nil {
			c.e.stats.add("GossipUnreadable")
			continue
		}
		g.from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		sender := g.from.String()
		c.lastSender.Store(&sender)
		c.e.stats.addN("GossipBytesReceived", int64(n))
		if !c.queue(g) {
			c.e.stats.add("GossipDropped")
		}
	}
}

// queue passes the content of a datagram to the control goroutine. It reports whether there is
// room for it; later heartbeats make up for what is dropped.
func (c *control) queue(g gossip) bool {
	if queued := c.queuedBytes.Add(g.size); queued <= maxQueuedBytes || queued == g.size {
		select {
		case c.heartbeats <- g:
			return true
		default:
		}
	}
	c.queuedBytes.Add(-g.size)
	return false
}

// gossip is the content of a datagram, in one of the two forms, and its sender.
type gossip struct {
	short    *dgpresence.Message // nil: long holds the content
	extended bool                // short was encoded by encodeExtended
	long     []dgpresence.Heartbeat
	reports  []rolloutReport
	from     netip.AddrPort
	size     int64 // of the content in bytes
}

// sendHeartbeats sends the heartbeats of a hub to the hubs that dgpresence selects. A VM
// that stands by asks a hub for its heartbeats instead.
func (c *control) sendHeartbeats() {
	now := c.e.now()
	self := c.e.opt.Settings.VM
	standby := len(c.hubs) > 0 && !slices.Contains(c.hubs, self)
	heartbeats := c.presence.Tick(now, dgpresence.LocalStatus{
		Serving: c.e.serving(), Standby: standby, StoreFailing: len(c.failingKinds) > 0, Attempts: uint32(c.rate), Seen: c.newestApplied,
	})
	c.ticks++
	if c.udp == nil {
		return
	}
	var hubs []dandeliongap.EdgeMember
	for _, vm := range c.hubs {
		if m, ok := c.members[vm]; ok && vm != self {
			m.VM = vm
			hubs = append(hubs, m)
		}
	}
	if !standby {
		beat := c.presence.Beat(now)
		for _, m := range c.withLeader(dgpresence.SelectPeers(c.rng, c.e.opt.Settings.Zone, hubs)) {
			c.sendTo(m, beat, heartbeats)
		}
		return
	}
	if c.questions > 0 && c.ticks%int(dgpresence.PollInterval/dgpresence.HeartbeatInterval) != 0 {
		return
	}
	if hub, ok := dgpresence.SelectHub(c.questions+c.placeInZone(), c.e.opt.Settings.Zone, hubs); ok {
		c.questions++
		c.sendTo(hub, c.presence.Question(now), heartbeats[:1])
	}
}

// placeInZone returns the number of VMs that stand by in the zone of this VM and whose
// names are before its own.
func (c *control) placeInZone() (place int) {
	s := c.e.opt.Settings
	for vm, m := range c.members {
		if m.Zone == s.Zone && vm < s.VM && !slices.Contains(c.hubs, vm) {
			place++
		}
	}
	return place
}

// pack returns the datagram with heartbeats in their long form, or nil if they cannot be
// encoded.
func (c *control) pack(heartbeats []dgpresence.Heartbeat) []byte {
	datagram, err := c.packer.pack(heartbeats)
	if err != nil {
		c.e.log.event("cannot encode heartbeats").Err(err).Send()
		return nil
	}
	return datagram
}

// knowsEras reports whether a process is one of a VM that knows eras of the store.
func (c *control) knowsEras(id dgpresence.ProcessID) bool {
	vm, ok := c.presence.VMOf(id)
	return ok && c.members[vm].Eras
}

// sendTo sends a message, or the heartbeats in their long form if the VM does not read
// the short one.
func (c *control) sendTo(m dandeliongap.EdgeMember, short dgpresence.Message, long []dgpresence.Heartbeat) {
	addr, err := netip.ParseAddrPort(m.Gossip)
	if err != nil {
		c.e.stats.add("GossipUnsent")
		return
	}
	if !m.Eras {
		short, long = short.WithoutEras(), dgpresence.WithoutEras(long)
	}
	if !m.ShortForm {
		c.sendDatagram(c.pack(long), addr)
		return
	}
	c.sendDatagram(c.encodeFor(m, short), addr)
}

func (c *control) sendDatagram(datagram []byte, to netip.AddrPort) {
	if c.udp == nil || len(datagram) == 0 {
		return
	}
	if _, err := c.udp.WriteToUDPAddrPort(datagram, to); err != nil {
		c.e.stats.add("GossipUnsent")
		return
	}
	c.e.stats.addN("GossipBytesSent", int64(len(datagram)))
}
