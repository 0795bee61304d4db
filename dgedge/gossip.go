package dgedge

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
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
)

// gossipMessage is the content of a datagram.
type gossipMessage struct {
	Beats []dgpresence.Heartbeat
	// Digest is that of the hubs that the sender of a question knows (dgpresence V5).
	Digest uint64 `json:",omitempty"`
	// Reply reports that the message answers a question: with all hubs or, if Same is
	// set, by confirming those that the digest of the question stands for.
	Reply bool `json:",omitempty"`
	Same  bool `json:",omitempty"`
}

// packer encodes and compresses datagrams. Its zero value is ready for use.
type packer struct {
	b bytes.Buffer
	w *flate.Writer // reused because a writer takes about 1 MB
}

// pack returns the datagram for a message. It is valid until the next call.
func (p *packer) pack(g gossipMessage) ([]byte, error) {
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
	if err := json.NewEncoder(p.w).Encode(g); err != nil {
		return nil, err
	}
	err := p.w.Close()
	return p.b.Bytes(), err
}

// unpacker decompresses and decodes datagrams. Its zero value is ready for use.
type unpacker struct{ r io.ReadCloser }

func (u *unpacker) unpack(datagram []byte) (g gossipMessage, err error) {
	src := bytes.NewReader(datagram)
	if u.r == nil {
		u.r = flate.NewReader(src)
	} else if err := u.r.(flate.Resetter).Reset(src, nil); err != nil {
		return gossipMessage{}, err
	}
	err = json.NewDecoder(io.LimitReader(u.r, maxUnpackedBytes)).Decode(&g)
	return g, err
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
		msg, err := u.unpack(buf[:n])
		if err != nil {
			c.e.stats.add("GossipUnreadable")
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		sender := from.String()
		c.lastSender.Store(&sender)
		c.e.stats.addN("GossipBytesReceived", int64(n))
		select {
		case c.heartbeats <- gossip{msg, from}:
		default:
			c.e.stats.add("GossipDropped")
		}
	}
}

// gossip is the content of a datagram and its sender.
type gossip struct {
	gossipMessage
	from netip.AddrPort
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
	c.own, c.reply = heartbeats[:1], nil
	var hubs []dandeliongap.EdgeMember
	for _, vm := range c.hubs {
		if m, ok := c.members[vm]; ok && vm != self {
			m.VM = vm
			hubs = append(hubs, m)
		}
	}
	if !standby {
		datagram := c.pack(gossipMessage{Beats: heartbeats})
		for _, m := range dgpresence.SelectPeers(c.rng, c.e.opt.Settings.Zone, hubs) {
			c.sendTo(m, datagram)
		}
		return
	}
	if c.polls > 0 && c.ticks%int(dgpresence.PollInterval/dgpresence.HeartbeatInterval) != 0 {
		return
	}
	if hub, ok := dgpresence.SelectHub(c.polls, c.e.opt.Settings.Zone, hubs); ok {
		c.polls++
		c.sendTo(hub, c.pack(gossipMessage{Beats: c.presence.Poll(), Digest: c.presence.Digest(now)}))
	}
}

// answerPoll replies to the question of a VM that stands by (dgpresence V5).
func (c *control) answerPoll(now dandeliongap.Instant, g gossip) {
	if len(c.own) == 0 || c.standby.Load() {
		return // a VM that is no hub any more, or not yet, knows too little
	}
	if c.reply == nil { // the first question since the last heartbeat
		c.digest = c.presence.Digest(now)
		c.reply = c.pack(gossipMessage{Beats: append(slices.Clone(c.own), c.presence.Hubs(now)...), Reply: true})
		c.same = c.pack(gossipMessage{Beats: c.own, Reply: true, Same: true})
	}
	if g.Digest == c.digest {
		c.sendDatagram(c.same, g.from)
	} else {
		c.sendDatagram(c.reply, g.from)
	}
}

// pack returns the datagram for a message, or nil if it cannot be encoded.
func (c *control) pack(m gossipMessage) []byte {
	datagram, err := c.packer.pack(m)
	if err != nil {
		c.e.log.event("cannot encode heartbeats").Err(err).Send()
		return nil
	}
	return bytes.Clone(datagram)
}

func (c *control) sendTo(m dandeliongap.EdgeMember, datagram []byte) {
	addr, err := netip.ParseAddrPort(m.Gossip)
	if err != nil {
		c.e.stats.add("GossipUnsent")
		return
	}
	c.sendDatagram(datagram, addr)
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
