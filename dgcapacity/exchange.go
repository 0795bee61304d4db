package dgcapacity

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgwire"
	"google.golang.org/protobuf/proto"
)

// count counts a message outside of its fields. arrives is false for one that is
// lost on the way.
func (c *cluster) count(size, header int, arrives bool) {
	c.traffic.messages++
	c.traffic.headers += header
	c.traffic.sent += size + header
	c.traffic.largest = max(c.traffic.largest, size+header)
	if arrives {
		c.traffic.received += size + header
	}
}

// countFields counts the bytes of an exchange message by field.
func (c *cluster) countFields(m *dgwire.ExchangeMessage) {
	t := &c.traffic
	contacts := proto.Size(&dgwire.ExchangeMessage{Contacts: m.GetContacts()})
	t.contacts += contacts
	digest := proto.Size(&dgwire.ExchangeMessage{Digest: m.GetDigest()})
	t.digest += digest
	objects := 0
	for _, o := range m.GetNewer() {
		size := proto.Size(&dgwire.ExchangeMessage{Newer: []*dgwire.RelayedObject{o}})
		objects += size
		t.transferred++
		switch dandeliongap.ObjectName(o.GetName()) {
		case dgrelay.Members:
			t.members += size
		case dgrelay.Placement:
			t.placement += size
		case dgrelay.Deployment:
			t.deployment += size
		}
	}
	t.other += proto.Size(m) - contacts - digest - objects
}

// exchange compares state with a member, or with a random VM as seed if id is
// empty.
func (n *node) exchange(id dandeliongap.MemberID) {
	to := n.c.byID[id]
	if id == "" {
		up := n.c.running()
		to = up[n.c.rng.IntN(len(up))]
	} else if !n.listed[id] {
		to = nil
	}
	if to == nil || to == n {
		if id != "" {
			n.memberActions = n.member.ExchangeFailed(n.c.now, id, n.memberActions)
		}
		return
	}
	sent := n.c.now
	n.send(to, func(reply *dgwire.ExchangeMessage) {
		now := n.c.now
		if reply == nil {
			n.memberActions = n.member.ExchangeFailed(now, id, n.memberActions)
			return
		}
		n.relay.PeerAnswered(now)
		n.memberActions = n.member.ExchangeSucceeded(now, dgmember.ExchangeAnswer{
			From:            dandeliongap.MemberID(reply.GetFromMember()),
			Sent:            sent,
			ReachesPlatform: reply.GetReachesPlatform(),
			Contacts: dgmember.ContactVector{
				MembersVersion: dandeliongap.Version(reply.GetContacts().GetMembersVersion()),
				Ages:           reply.GetContacts().GetAges(),
			},
		}, n.memberActions)
		n.heard(reply)
	})
}

// send carries one exchange to another VM and its reply back; done gets nil if
// one of them is lost, after the limit of a call. A process that has ended
// refuses the connection at once.
func (n *node) send(to *node, done func(*dgwire.ExchangeMessage)) {
	c := n.c
	c.traffic.exchanges++
	lostRequest := c.rng.Float64() < c.loss/2
	lostReply := !lostRequest && c.rng.Float64() < c.loss/2/(1-c.loss/2)
	fail := func() { n.post(func() { done(nil) }) }
	request := n.message(nil)
	c.countFields(request)
	body := encode(request)
	c.count(len(body), RequestHeaderBytes, !lostRequest)
	if lostRequest {
		c.after(callLimit, fail)
		return
	}
	c.after(peerTime, func() {
		if to.down || to.member == nil {
			c.after(to.refusal(), fail)
			return
		}
		var reply []byte
		to.post(func() { reply = to.serve(decode(body)) })
		c.count(len(reply), ReplyHeaderBytes, !lostReply)
		if lostReply {
			c.after(callLimit-peerTime, fail)
			return
		}
		c.after(peerTime, func() { n.post(func() { done(decode(reply)) }) })
	})
}

// refusal is the time until a call to a VM that does not answer has failed.
func (n *node) refusal() time.Duration {
	if n.crashed {
		return dialTimeout
	}
	return peerTime
}

// serve answers the exchange of another VM.
func (n *node) serve(m *dgwire.ExchangeMessage) []byte {
	reply := n.message(m)
	n.heard(m)
	n.c.countFields(reply)
	return encode(reply)
}

func encode(m *dgwire.ExchangeMessage) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func decode(b []byte) *dgwire.ExchangeMessage {
	var m dgwire.ExchangeMessage
	if proto.Unmarshal(b, &m) != nil {
		return &dgwire.ExchangeMessage{}
	}
	return &m
}

// message returns this VM's side of an exchange, with the objects that are newer
// than the other side's digest.
func (n *node) message(other *dgwire.ExchangeMessage) *dgwire.ExchangeMessage {
	now := n.c.now
	m := &dgwire.ExchangeMessage{
		FromMember:      string(n.self.ID),
		ReachesPlatform: n.member.ReachesPlatform(now),
	}
	for _, o := range n.set.Digest() {
		m.Digest = append(m.Digest, &dgwire.ObjectVersion{Name: string(o.Name), Version: uint64(o.Version)})
	}
	if self := n.member.Self(); !slices.Contains(n.state.list.Members, self) {
		m.Joining = dgwire.FromMember(self)
	}
	if other == nil {
		return m
	}
	v := n.member.ContactVector(now, nil)
	m.Contacts = &dgwire.ContactVector{MembersVersion: uint64(v.MembersVersion), Ages: v.Ages}
	for _, obj := range n.set.NewerThan(digestOf(other), dgrelay.MessageBodyLimit) {
		body, err := n.c.compress(obj)
		if err != nil {
			continue
		}
		m.Newer = append(m.Newer, &dgwire.RelayedObject{Name: string(obj.Name), Version: uint64(obj.Version), GzipBody: body, Deleted: obj.Deleted})
	}
	return m
}

func digestOf(m *dgwire.ExchangeMessage) []dgrelay.ObjectVersion {
	digest := make([]dgrelay.ObjectVersion, 0, len(m.GetDigest()))
	for _, o := range m.GetDigest() {
		digest = append(digest, dgrelay.ObjectVersion{Name: dandeliongap.ObjectName(o.GetName()), Version: dandeliongap.Version(o.GetVersion())})
	}
	return digest
}

// heard adopts what the other side of an exchange sent, and asks it for what its
// digest shows as newer.
func (n *node) heard(m *dgwire.ExchangeMessage) {
	for _, o := range m.GetNewer() {
		name, version := dandeliongap.ObjectName(o.GetName()), dandeliongap.Version(o.GetVersion())
		n.c.work.countExpand(name)
		// The body of a version is the same everywhere (S3).
		if !n.adopt(n.c.store.objectAt(name, version, o)) {
			n.c.traffic.repeatedTransfer++
		}
	}
	if joining, ok := m.GetJoining().Value(); ok && dgrelay.CheckMember(joining) == nil {
		n.memberActions = n.member.JoinRequested(n.c.now, joining, n.memberActions)
	}
	n.pull(m)
}

// objectAt returns the content of a relayed object, without decompressing it if
// the store still has this version.
func (s *store) objectAt(name dandeliongap.ObjectName, version dandeliongap.Version, o *dgwire.RelayedObject) dandeliongap.Object {
	obj := s.objects[name]
	if obj.Version == version {
		return obj
	}
	body, err := expand(o.GetGzipBody())
	if err != nil {
		return dandeliongap.Object{}
	}
	return dandeliongap.Object{Name: name, Version: version, Deleted: o.GetDeleted(), Body: body}
}

// pull starts an exchange with a member whose digest is newer than what this VM
// holds. One such exchange is under way at a time, as in dgnode.
func (n *node) pull(m *dgwire.ExchangeMessage) {
	id := dandeliongap.MemberID(m.GetFromMember())
	to := n.c.byID[id]
	if to == nil || to == n || n.pulling || !n.set.Behind(digestOf(m)) {
		return
	}
	if _, joining := m.GetJoining().Value(); !n.listed[id] && !joining {
		return
	}
	n.pulling = true
	n.send(to, func(reply *dgwire.ExchangeMessage) {
		n.pulling = false
		if reply != nil {
			n.heard(reply)
		}
	})
}
