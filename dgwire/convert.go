package dgwire

import (
	"fmt"
	"math"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// FromSubID converts id to a SubId message.
func FromSubID(id dandeliongap.SubID) *SubId {
	return &SubId{Entry: id.Entry, Query: id.Query, Shard: id.Shard, Attempt: id.Attempt}
}

// Value returns the ID in the message, or the zero ID if m is nil.
func (m *SubId) Value() dandeliongap.SubID {
	return dandeliongap.SubID{
		Entry:   m.GetEntry(),
		Query:   m.GetQuery(),
		Shard:   m.GetShard(),
		Attempt: m.GetAttempt(),
	}
}

// FromAnswer converts the result of attempt id and the load of its replica to a
// SubAnswer message. The message contains the hash of the body.
func FromAnswer(id dandeliongap.SubID, replica dandeliongap.ReplicaID, a dandeliongap.BackendAnswer, load dandeliongap.ReplicaLoad) *SubAnswer {
	return &SubAnswer{
		Id:      FromSubID(id),
		Replica: string(replica),
		Status:  uint32(a.Status),
		Reason:  uint32(a.Reason),
		Index:   uint64(a.Index),
		Mark: &Mark{
			Limit:    int32(load.Limit),
			Busy:     int32(load.Busy),
			Queued:   int32(load.Queued),
			Cold:     load.Cold,
			Draining: load.Draining,
		},
		RetryAfterMs: a.RetryAfter.Milliseconds(),
		Body:         a.Body,
		BodyHash:     xxhash.Sum64(a.Body),
	}
}

// Value returns the result and the replica load in the message. The error wraps
// dandeliongap.ErrInvalid if the body does not match its hash or the status or
// reason is out of range.
func (m *SubAnswer) Value() (dandeliongap.BackendAnswer, dandeliongap.ReplicaLoad, error) {
	var load dandeliongap.ReplicaLoad
	if m.GetStatus() > uint32(dandeliongap.SubCancelled) || m.GetReason() > math.MaxUint8 || !dandeliongap.Reason(m.GetReason()).Valid() {
		return dandeliongap.BackendAnswer{}, load, fmt.Errorf("sub-answer: status %d or reason %d is out of range: %w", m.GetStatus(), m.GetReason(), dandeliongap.ErrInvalid)
	}
	if xxhash.Sum64(m.GetBody()) != m.GetBodyHash() {
		return dandeliongap.BackendAnswer{}, load, fmt.Errorf("sub-answer %s: body does not match its hash: %w", m.GetId().Value(), dandeliongap.ErrInvalid)
	}
	load = dandeliongap.ReplicaLoad{
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
		Cold:       load.Cold,
		Draining:   load.Draining,
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Body:       m.GetBody(),
	}, load, nil
}

// FromMember converts a member to a MemberRecord message.
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

// Value returns the member in the message. ok is false if the message is nil, has
// no ID or has a state out of range.
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

// FromClass converts a class to its code in a SubRequest.
func FromClass(c dandeliongap.Class) uint32 { return uint32(c) }

// ClassValue returns the class of the sub-request. A code out of range is read
// as the archive class, which delays no other request.
func (m *SubRequest) ClassValue() dandeliongap.Class {
	if m.GetClass() >= uint32(dandeliongap.ClassCount) {
		return dandeliongap.ClassArchive
	}
	return dandeliongap.Class(m.GetClass())
}
