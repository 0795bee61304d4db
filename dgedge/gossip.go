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
type gossipMessage struct{ Beats []dgpresence.Heartbeat }

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
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		c.lastSender.Store(&sender)
		select {
		case c.heartbeats <- msg.Beats:
		default:
			c.e.stats.add("GossipDropped")
		}
	}
}

// sendHeartbeats sends the heartbeat of this VM, and the latest ones received from
// others, to the VMs that dgpresence selects.
func (c *control) sendHeartbeats() {
	now := c.e.now()
	heartbeats := c.presence.Tick(now, dgpresence.LocalStatus{Serving: c.e.serving(), StoreFailing: len(c.failingKinds) > 0, Seen: c.newestApplied})
	if c.udp == nil {
		return
	}
	datagram, err := c.packer.pack(gossipMessage{heartbeats})
	if err != nil {
		c.e.log.event("cannot encode heartbeats").Err(err).Send()
		return
	}
	var others []dandeliongap.EdgeMember
	for vm, m := range c.members {
		if vm != c.e.opt.Settings.VM {
			others = append(others, m)
		}
	}
	for _, m := range dgpresence.SelectPeers(c.rng, c.e.opt.Settings.Zone, others) {
		addr, err := net.ResolveUDPAddr("udp", m.Gossip)
		if err == nil {
			_, err = c.udp.WriteToUDP(datagram, addr)
		}
		if err != nil {
			c.e.stats.add("GossipUnsent")
		}
	}
}
