package dgnode

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgwire"
	"google.golang.org/protobuf/proto"
)

// maxObjectBytes is the platform's limit on the size of an object. A larger object
// from a peer is rejected.
const maxObjectBytes = 1 << 20

// performRelay carries out one action returned by dgrelay.
func (c *control) performRelay(a dgrelay.Action) {
	switch a.Kind {
	case dgrelay.KindPush, dgrelay.KindExchange:
		c.exchange(a.Member)
	case dgrelay.KindWatch:
		c.watch(a)
	case dgrelay.KindRead:
		c.readState()
	}
}

// address returns the peer address of a member, or "" if the member is not listed.
func (c *control) address(id dandeliongap.MemberID) string {
	for i := range c.memberList.Members {
		if c.memberList.Members[i].ID == id {
			return c.memberList.Members[i].PeerAddress
		}
	}
	return ""
}

// randomSeedAddress returns a random seed address from the settings, or "" if they hold
// none but this VM's own.
func (c *control) randomSeedAddress() string {
	var others []string
	for _, s := range c.settings.Seeds {
		if s != c.settings.PeerAnnounce {
			others = append(others, s)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[c.rng.IntN(len(others))]
}

// exchange starts an exchange of state with a member, or with a seed address if id is
// empty.
func (c *control) exchange(id dandeliongap.MemberID) {
	address := c.address(id)
	if id == "" {
		address = c.randomSeedAddress()
	}
	if address == "" {
		if id != "" {
			c.memberActions = c.member.ExchangeFailed(c.clock.now(), id, c.memberActions)
		}
		return
	}
	sent := c.clock.now()
	msg := c.exchangeMessage(sent, nil)
	c.call(callTimeout, func(ctx context.Context) {
		c.stats.peerBytesOut.Add(int64(proto.Size(msg)))
		reply, err := c.peers.Peer(address).Exchange(ctx, msg)
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.memberActions = c.member.ExchangeFailed(now, id, c.memberActions)
				return
			}
			c.stats.peerBytesIn.Add(int64(proto.Size(reply)))
			c.relay.PeerAnswered(now)
			c.memberActions = c.member.ExchangeSucceeded(now, dgmember.ExchangeAnswer{
				From:            dandeliongap.MemberID(reply.GetFromMember()),
				Sent:            sent,
				ReachesPlatform: reply.GetReachesPlatform(),
				Contacts:        contactVectorOf(reply),
			}, c.memberActions)
			c.handleExchange(now, reply)
		})
	})
}

// exchangeMessage returns this VM's message of an exchange: a request if other is
// nil, otherwise the answer to other. Only an answer has the contact vector and the
// objects that are newer than other's digest.
func (c *control) exchangeMessage(now dandeliongap.Instant, other *dgwire.ExchangeMessage) *dgwire.ExchangeMessage {
	m := &dgwire.ExchangeMessage{
		FromMember:      string(c.self.ID),
		ReachesPlatform: c.member.ReachesPlatform(now),
		Overloaded:      c.overloaded(),
	}
	for _, o := range c.objects.Digest() {
		m.Digest = append(m.Digest, &dgwire.ObjectVersion{Name: string(o.Name), Version: uint64(o.Version)})
	}
	if self := c.member.Self(); !c.listedAs(self) {
		m.Joining = dgwire.FromMember(self)
	}
	if other == nil {
		return m
	}
	// Only answers count as contact (rule K1 of dgmember), so requests carry no
	// contact vector.
	v := c.member.ContactVector(now, nil)
	m.Contacts = &dgwire.ContactVector{MembersVersion: uint64(v.MembersVersion), Ages: v.Ages}
	for _, obj := range c.objects.NewerThan(digestOf(other), dgrelay.MessageBodyLimit) {
		body, err := compress(obj.Body)
		if err != nil {
			continue
		}
		m.Newer = append(m.Newer, &dgwire.RelayedObject{Name: string(obj.Name), Version: uint64(obj.Version), GzipBody: body, Deleted: obj.Deleted})
	}
	return m
}

// overloadRetention is how long a member that reported an overload is left out of the
// list of addresses.
const overloadRetention = 2 * time.Second

// memberOverloaded reports whether a member said in its latest exchange message that
// it is overloaded, and did so within overloadRetention.
func (c *control) memberOverloaded(id dandeliongap.MemberID) bool {
	until, ok := c.overloadedUntil.Load(id)
	return ok && c.clock.now() < until.(dandeliongap.Instant)
}

// listedAs reports whether the member list has an entry that equals self in every field.
func (c *control) listedAs(self dandeliongap.Member) bool {
	for _, m := range c.memberList.Members {
		if m == self {
			return true
		}
	}
	return false
}

func digestOf(m *dgwire.ExchangeMessage) []dgrelay.ObjectVersion {
	digest := make([]dgrelay.ObjectVersion, 0, len(m.GetDigest()))
	for _, o := range m.GetDigest() {
		digest = append(digest, dgrelay.ObjectVersion{
			Name:    dandeliongap.ObjectName(o.GetName()),
			Version: dandeliongap.Version(o.GetVersion()),
		})
	}
	return digest
}

func contactVectorOf(m *dgwire.ExchangeMessage) dgmember.ContactVector {
	return dgmember.ContactVector{
		MembersVersion: dandeliongap.Version(m.GetContacts().GetMembersVersion()),
		Ages:           m.GetContacts().GetAges(),
	}
}

// handleExchange adopts the objects that the other side of an exchange sent, and
// pulls those that are newer according to its digest. It also records whether the
// sender is overloaded and whether it asks to join.
func (c *control) handleExchange(now dandeliongap.Instant, m *dgwire.ExchangeMessage) {
	if m.GetOverloaded() {
		c.overloadedUntil.Store(dandeliongap.MemberID(m.GetFromMember()), now.Add(overloadRetention))
	} else {
		c.overloadedUntil.Delete(dandeliongap.MemberID(m.GetFromMember()))
	}
	for _, o := range m.GetNewer() {
		body, err := decompress(o.GetGzipBody())
		if err != nil {
			c.log.Warn("relayed object not readable", "From", m.GetFromMember(), "Object", o.GetName(), "Error", err)
			continue
		}
		c.adopt(now, dandeliongap.Object{
			Name:    dandeliongap.ObjectName(o.GetName()),
			Version: dandeliongap.Version(o.GetVersion()),
			Deleted: o.GetDeleted(),
			Body:    body,
		})
	}
	if joining, ok := m.GetJoining().Value(); ok && dgrelay.CheckMember(joining) == nil {
		c.memberActions = c.member.JoinRequested(now, joining, c.memberActions)
	}
	c.pull(m)
}

// pull starts an exchange with a member whose digest names newer versions than
// this VM holds. Only one pull runs at a time: several members announce a new
// object at the same time, and each would send the whole object. If a pull fails,
// the objects arrive with the next periodic exchange.
func (c *control) pull(m *dgwire.ExchangeMessage) {
	id := dandeliongap.MemberID(m.GetFromMember())
	address := c.address(id)
	if joining, ok := m.GetJoining().Value(); ok && address == "" {
		address = joining.PeerAddress
	}
	if address == "" || id == c.self.ID || c.pulling || !c.objects.Behind(digestOf(m)) {
		return
	}
	c.pulling = true
	msg := c.exchangeMessage(c.clock.now(), nil)
	c.call(callTimeout, func(ctx context.Context) {
		c.stats.peerBytesOut.Add(int64(proto.Size(msg)))
		reply, err := c.peers.Peer(address).Exchange(ctx, msg)
		c.post(func(now dandeliongap.Instant) {
			c.pulling = false
			if err == nil {
				c.stats.peerBytesIn.Add(int64(proto.Size(reply)))
				c.handleExchange(now, reply)
			}
		})
	})
}

// watch waits for changes to the objects of the kind "state" in the platform.
func (c *control) watch(a dgrelay.Action) {
	c.call(watchTimeout+callTimeout, func(ctx context.Context) {
		objs, version, err := c.store.Watch(ctx, stateKind, a.Version, watchTimeout)
		c.recordPlatformCall(err)
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.relay.PlatformFailed(now, c.rng)
				return
			}
			for _, obj := range objs {
				c.adopt(now, obj)
			}
			c.relay.PlatformAnswered(now, version)
		})
	})
}

// stateKind is the kind of the relayed objects.
const stateKind = "state"

// readState lists the objects of the kind "state" in the platform.
func (c *control) readState() {
	c.call(callTimeout, func(ctx context.Context) {
		objs, version, err := c.store.List(ctx, stateKind)
		c.recordPlatformCall(err)
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.relay.PlatformFailed(now, c.rng)
				return
			}
			changed := c.objects.AdoptListing(now, objs, version)
			for _, name := range changed {
				c.handleAdopted(now, name)
			}
			if _, ok := c.objects.Get(dgrelay.Members); !ok {
				c.memberActions = c.member.MembersAdopted(now, 0, false, dgrelay.MemberList{}, c.memberActions)
			}
			c.relay.PlatformAnswered(now, version)
		})
	})
}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress returns the contents of gzip data. Its error is
// dandeliongap.ErrTooLarge if they exceed maxObjectBytes.
func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxObjectBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxObjectBytes {
		return nil, dandeliongap.ErrTooLarge
	}
	return body, nil
}

// Exchange implements dgwire.Peer.
func (p *peerService) Exchange(_ context.Context, m *dgwire.ExchangeMessage) (*dgwire.ExchangeMessage, error) {
	var reply *dgwire.ExchangeMessage
	ok := p.control.postAndWait(func(now dandeliongap.Instant) {
		reply = p.control.exchangeMessage(now, m)
		p.control.handleExchange(now, m)
	})
	if !ok {
		return nil, errStopping
	}
	p.control.stats.peerBytesIn.Add(int64(proto.Size(m)))
	p.control.stats.peerBytesOut.Add(int64(proto.Size(reply)))
	return reply, nil
}

// Renew implements dgwire.Peer. It writes the lease object of a member that cannot
// reach the platform itself (M3).
func (p *peerService) Renew(ctx context.Context, m *dgwire.RenewRequest) (*dgwire.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	name := dandeliongap.ObjectName(m.GetName())
	if !isLease(name) {
		return nil, errNotLease
	}
	version, err := p.control.store.Put(ctx, name, m.GetBody(), dandeliongap.Version(m.GetIfVersion()))
	p.control.recordPlatformCall(err)
	switch {
	case err == nil:
		return &dgwire.RenewReply{Version: uint64(version)}, nil
	case errors.Is(err, dandeliongap.ErrConflict):
		return &dgwire.RenewReply{Conflict: true}, nil
	default:
		return &dgwire.RenewReply{Unreachable: true}, nil
	}
}

// releaseTimeout bounds how long a call of Release waits for the gate to drain.
// The caller repeats the call after a timeout.
const releaseTimeout = time.Second
