package dgedge

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

// listenGossip opens the socket for beats. Without it the VM serves, but other
// VMs do not name it.
func (c *control) listenGossip() {
	addr, err := net.ResolveUDPAddr("udp", c.e.opt.Settings.GossipListen)
	if err == nil {
		c.udp, err = net.ListenUDP("udp", addr)
	}
	if err != nil {
		c.e.log.event("no gossip").Err(err).Send()
		return
	}
	c.wg.Go(c.hear)
}

const (
	// gossipMost bounds a datagram with beats: the largest that UDP carries.
	gossipMost = 64 << 10
	// gossipUnpacked bounds what a datagram is unpacked to: the beats of some
	// thousand VMs.
	gossipUnpacked = 1 << 20
)

// gossip is the content of a datagram.
type gossip struct{ Beats []dgpresence.Heartbeat }

// packer writes datagrams. Its zero value is ready for use.
type packer struct {
	b bytes.Buffer
	w *flate.Writer // kept: each one takes about a megabyte
}

// pack returns the datagram for some beats, which is valid until the next call.
func (p *packer) pack(g gossip) ([]byte, error) {
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

// unpacker reads datagrams. Its zero value is ready for use.
type unpacker struct{ r io.ReadCloser }

func (u *unpacker) unpack(datagram []byte) (g gossip, err error) {
	src := bytes.NewReader(datagram)
	if u.r == nil {
		u.r = flate.NewReader(src)
	} else if err := u.r.(flate.Resetter).Reset(src, nil); err != nil {
		return gossip{}, err
	}
	err = json.NewDecoder(io.LimitReader(u.r, gossipUnpacked)).Decode(&g)
	return g, err
}

func (c *control) hear() {
	buf := make([]byte, gossipMost)
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
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		c.lastHeard.Store(&sender)
		select {
		case c.beats <- msg.Beats:
		default:
			c.e.stats.add("GossipDropped")
		}
	}
}

// beat sends the own beat and those known to some other VMs.
func (c *control) beat() {
	now := c.e.now()
	beats := c.presence.Tick(now, dgpresence.LocalStatus{Serving: c.e.serving(), StoreFailing: len(c.lostKind) > 0, Seen: c.seen})
	if c.udp == nil {
		return
	}
	text, err := c.packer.pack(gossip{beats})
	if err != nil {
		c.e.log.event("no beat").Err(err).Send()
		return
	}
	var to []dandeliongap.EdgeMember
	for vm, m := range c.members {
		if vm != c.e.opt.Settings.VM {
			to = append(to, m)
		}
	}
	for _, m := range dgpresence.SelectPeers(c.rng, c.e.opt.Settings.Zone, to) {
		addr, err := net.ResolveUDPAddr("udp", m.Gossip)
		if err == nil {
			_, err = c.udp.WriteToUDP(text, addr)
		}
		if err != nil {
			c.e.stats.add("GossipUnsent")
		}
	}
}
