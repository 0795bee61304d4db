package dgwire

import (
	"fmt"
	"math"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// FromSubID returns the message form of id.
func FromSubID(id dandeliongap.SubID) *SubId {
	return &SubId{Entry: id.Entry, Query: id.Query, Shard: id.Shard, Attempt: id.Attempt}
}

// Value returns the id; the zero id if m is missing.
func (m *SubId) Value() dandeliongap.SubID {
	return dandeliongap.SubID{
		Entry:   m.GetEntry(),
		Query:   m.GetQuery(),
		Shard:   m.GetShard(),
		Attempt: m.GetAttempt(),
	}
}

// FromAnswer returns the message form of one result, with the hash of its body.
func FromAnswer(id dandeliongap.SubID, replica dandeliongap.ReplicaID, a dandeliongap.BackendAnswer, mark dandeliongap.ReplicaLoad) *SubAnswer {
	return &SubAnswer{
		Id:      FromSubID(id),
		Replica: string(replica),
		Status:  uint32(a.Status),
		Reason:  uint32(a.Reason),
		Index:   uint64(a.Index),
		Mark: &Mark{
			Limit:    int32(mark.Limit),
			Busy:     int32(mark.Busy),
			Queued:   int32(mark.Queued),
			Cold:     mark.Cold,
			Draining: mark.Draining,
		},
		RetryAfterMs: a.RetryAfter.Milliseconds(),
		Body:         a.Body,
		BodyHash:     xxhash.Sum64(a.Body),
	}
}

// Value returns the result that the message carries. Its error is
// dandeliongap.ErrInvalid if the body does not match its hash or a code is out
// of range.
func (m *SubAnswer) Value() (dandeliongap.BackendAnswer, dandeliongap.ReplicaLoad, error) {
	var mark dandeliongap.ReplicaLoad
	if m.GetStatus() > uint32(dandeliongap.SubCancelled) || m.GetReason() > math.MaxUint8 || !dandeliongap.Reason(m.GetReason()).Valid() {
		return dandeliongap.BackendAnswer{}, mark, fmt.Errorf("sub-answer status %d reason %d: %w", m.GetStatus(), m.GetReason(), dandeliongap.ErrInvalid)
	}
	if xxhash.Sum64(m.GetBody()) != m.GetBodyHash() {
		return dandeliongap.BackendAnswer{}, mark, fmt.Errorf("sub-answer %s: body does not match its hash: %w", m.GetId().Value(), dandeliongap.ErrInvalid)
	}
	mark = dandeliongap.ReplicaLoad{
		Limit:    dandeliongap.Slots(m.GetMark().GetLimit()),
		Busy:     dandeliongap.Slots(m.GetMark().GetBusy()),
		Queued:   int(m.GetMark().GetQueued()),
		Cold:     m.GetMark().GetCold(),
		Draining: m.GetMark().GetDraining(),
		Index:    dandeliongap.IndexVersion(m.GetIndex()),
	}
	return dandeliongap.BackendAnswer{
		Status:     dandeliongap.SubStatus(m.GetStatus()),
		Reason:     dandeliongap.Reason(m.GetReason()),
		Index:      dandeliongap.IndexVersion(m.GetIndex()),
		Cold:       mark.Cold,
		Draining:   mark.Draining,
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Body:       m.GetBody(),
	}, mark, nil
}

// FromMember returns the message form of a member.
func FromMember(m dandeliongap.Member) *MemberRecord {
	return &MemberRecord{
		Id:            string(m.ID),
		Vm:            string(m.VM),
		Zone:          string(m.Zone),
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
		State:         uint32(m.State),
	}
}

// Value returns the member; ok is false if the message is missing or names none.
func (m *MemberRecord) Value() (member dandeliongap.Member, ok bool) {
	if m.GetId() == "" || m.GetState() > uint32(dandeliongap.MemberLeaving) {
		return dandeliongap.Member{}, false
	}
	return dandeliongap.Member{
		ID:            dandeliongap.MemberID(m.GetId()),
		VM:            dandeliongap.VMName(m.GetVm()),
		Zone:          dandeliongap.ZoneName(m.GetZone()),
		CallerAddress: m.GetCallerAddress(),
		PeerAddress:   m.GetPeerAddress(),
		State:         dandeliongap.MemberState(m.GetState()),
	}, true
}

// FromClass returns the wire form of a class.
func FromClass(c dandeliongap.Class) uint32 { return uint32(c) }

// ClassValue returns the class that the request carries; a code out of range is
// the archive class, which delays no other request.
func (m *SubRequest) ClassValue() dandeliongap.Class {
	if m.GetClass() >= uint32(dandeliongap.ClassCount) {
		return dandeliongap.ClassArchive
	}
	return dandeliongap.Class(m.GetClass())
}
