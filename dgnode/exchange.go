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

// maxObject is the platform's limit on the value of an object, in bytes. A peer
// that sends more is not believed.
const maxObject = 1 << 20

// performRelay carries out one action of dgrelay.
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

// address returns the peer address of a member, empty if it is not listed.
func (c *control) address(id dandeliongap.MemberID) string {
	for i := range c.list.Members {
		if c.list.Members[i].ID == id {
			return c.list.Members[i].PeerAddress
		}
	}
	return ""
}

// seed returns one of the peer addresses of the settings, empty if there is
// none other than this VM's own.
func (c *control) seed() string {
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

// exchange compares state with a member, or with a seed if id is empty.
func (c *control) exchange(id dandeliongap.MemberID) {
	address := c.address(id)
	if id == "" {
		address = c.seed()
	}
	if address == "" {
		if id != "" {
			c.memberActions = c.member.ExchangeFailed(c.clock.now(), id, c.memberActions)
		}
		return
	}
	sent := c.clock.now()
	msg := c.message(sent, nil)
	c.call(callLimit, func(ctx context.Context) {
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
				Contacts:        vectorOf(reply),
			}, c.memberActions)
			c.heard(now, reply)
		})
	})
}

// message returns this VM's side of an exchange, with the objects that are newer
// than the other side's digest.
func (c *control) message(now dandeliongap.Instant, other *dgwire.ExchangeMessage) *dgwire.ExchangeMessage {
	m := &dgwire.ExchangeMessage{
		FromMember:      string(c.self.ID),
		ReachesPlatform: c.member.ReachesPlatform(now),
		Overloaded:      c.overloaded(),
	}
	for _, o := range c.set.Digest() {
		m.Digest = append(m.Digest, &dgwire.ObjectVersion{Name: string(o.Name), Version: uint64(o.Version)})
	}
	if self := c.member.Self(); !c.listedAs(self) {
		m.Joining = dgwire.FromMember(self)
	}
	if other == nil {
		return m
	}
	// Only answers count as contact (rule K1 of dgmember), so that requests carry
	// no vector.
	v := c.member.ContactVector(now, nil)
	m.Contacts = &dgwire.ContactVector{MembersVersion: uint64(v.MembersVersion), Ages: v.Ages}
	for _, obj := range c.set.NewerThan(digestOf(other), dgrelay.MessageBodyLimit) {
		body, err := compress(obj.Body)
		if err != nil {
			continue
		}
		m.Newer = append(m.Newer, &dgwire.RelayedObject{Name: string(obj.Name), Version: uint64(obj.Version), GzipBody: body, Deleted: obj.Deleted})
	}
	return m
}

// overloadKept is how long a member that reported an overload is left out of the
// list of addresses.
const overloadKept = 2 * time.Second

// overloadedMember tells whether a member reported an overload a moment ago.
func (c *control) overloadedMember(id dandeliongap.MemberID) bool {
	until, ok := c.overloadedUntil.Load(id)
	return ok && c.clock.now() < until.(dandeliongap.Instant)
}

func (c *control) listedAs(self dandeliongap.Member) bool {
	for _, m := range c.list.Members {
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

func vectorOf(m *dgwire.ExchangeMessage) dgmember.ContactVector {
	return dgmember.ContactVector{
		MembersVersion: dandeliongap.Version(m.GetContacts().GetMembersVersion()),
		Ages:           m.GetContacts().GetAges(),
	}
}

// heard adopts what the other side of an exchange sent, and asks it for what its
// digest shows as newer.
func (c *control) heard(now dandeliongap.Instant, m *dgwire.ExchangeMessage) {
	if m.GetOverloaded() {
		c.overloadedUntil.Store(dandeliongap.MemberID(m.GetFromMember()), now.Add(overloadKept))
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

// pull starts an exchange with a member whose digest is newer than what this VM
// holds. One exchange is under way for this purpose, since several members tell of
// a new object at the same time and each would send it whole; the periodic
// exchange repairs a pull that fails.
func (c *control) pull(m *dgwire.ExchangeMessage) {
	id := dandeliongap.MemberID(m.GetFromMember())
	address := c.address(id)
	if joining, ok := m.GetJoining().Value(); ok && address == "" {
		address = joining.PeerAddress
	}
	if address == "" || id == c.self.ID || c.pulling || !c.set.Behind(digestOf(m)) {
		return
	}
	c.pulling = true
	msg := c.message(c.clock.now(), nil)
	c.call(callLimit, func(ctx context.Context) {
		c.stats.peerBytesOut.Add(int64(proto.Size(msg)))
		reply, err := c.peers.Peer(address).Exchange(ctx, msg)
		c.post(func(now dandeliongap.Instant) {
			c.pulling = false
			if err == nil {
				c.stats.peerBytesIn.Add(int64(proto.Size(reply)))
				c.heard(now, reply)
			}
		})
	})
}

// watch waits at the platform for changes of the kind "state".
func (c *control) watch(a dgrelay.Action) {
	c.call(watchWait+callLimit, func(ctx context.Context) {
		objs, version, err := c.store.Watch(ctx, stateKind, a.Version, watchWait)
		c.platform(err)
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

// readState lists the kind "state" at the platform.
func (c *control) readState() {
	c.call(callLimit, func(ctx context.Context) {
		objs, version, err := c.store.List(ctx, stateKind)
		c.platform(err)
		c.post(func(now dandeliongap.Instant) {
			if err != nil {
				c.relay.PlatformFailed(now, c.rng)
				return
			}
			changed := c.set.AdoptListing(now, objs, version)
			for _, name := range changed {
				c.applied(now, name)
			}
			if _, ok := c.set.Get(dgrelay.Members); !ok {
				c.memberActions = c.member.MembersAdopted(now, 0, false, dgrelay.MemberList{}, c.memberActions)
			}
			c.relay.PlatformAnswered(now, version)
		})
	})
}

// compress returns body in gzip form.
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

// decompress is the reverse of compress. Its error is dandeliongap.ErrTooLarge
// for more than maxObject bytes.
func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxObject+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxObject {
		return nil, dandeliongap.ErrTooLarge
	}
	return body, nil
}

// Exchange implements dgwire.Peer.
func (p *peerService) Exchange(_ context.Context, m *dgwire.ExchangeMessage) (*dgwire.ExchangeMessage, error) {
	var reply *dgwire.ExchangeMessage
	ok := p.control.ask(func(now dandeliongap.Instant) {
		reply = p.control.message(now, m)
		p.control.heard(now, m)
	})
	if !ok {
		return nil, errStopping
	}
	p.control.stats.peerBytesIn.Add(int64(proto.Size(m)))
	p.control.stats.peerBytesOut.Add(int64(proto.Size(reply)))
	return reply, nil
}

// Renew implements dgwire.Peer: it writes the sender's lease object for it (M3).
func (p *peerService) Renew(ctx context.Context, m *dgwire.RenewRequest) (*dgwire.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit/2)
	defer cancel()
	name := dandeliongap.ObjectName(m.GetName())
	if !isLease(name) {
		return nil, errNotLease
	}
	version, err := p.control.store.Put(ctx, name, m.GetBody(), dandeliongap.Version(m.GetIfVersion()))
	p.control.platform(err)
	switch {
	case err == nil:
		return &dgwire.RenewReply{Version: uint64(version)}, nil
	case errors.Is(err, dandeliongap.ErrConflict):
		return &dgwire.RenewReply{Conflict: true}, nil
	default:
		return &dgwire.RenewReply{Unreachable: true}, nil
	}
}

// releaseWait bounds how long a call of Release waits for the gate to drain. The
// caller asks again.
const releaseWait = time.Second
