package dgrelay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandeliongap.example/dandeliongap"
)

// MemberList is the content of state/members.
type MemberList struct {
	// Members is sorted by rank, which is also the order of the contact vector.
	Members []dandeliongap.Member
	// PriorLists holds the VM names of earlier lists whose majority dgmember still
	// takes into account (its rule F4). The names of each list are sorted.
	PriorLists [][]dandeliongap.VMName
	// WriteID is a random id of the write that made this version. No code compares
	// it: after a lost reply dgnode reads the object again and goes by its content.
	WriteID string
}

// PlacementTable is the content of state/placement.
type PlacementTable struct {
	Rows []dandeliongap.Placement // sorted by replica
	// MembersVersion and ConfigVersion are the versions of state/members and
	// state/deployment from which the rows were planned.
	MembersVersion dandeliongap.Version
	ConfigVersion  dandeliongap.Version
	// WriteID is a random id of the write, as in MemberList.
	WriteID string
}

// ZonesOut is the content of state/zones.
type ZonesOut struct {
	Out []dandeliongap.ZoneName // zones taken out of service, sorted
	// WriteID is a random id of the write, as in MemberList.
	WriteID string `json:"Write"`
}

// maxBodyBytes is the platform's limit on the value of an object.
const maxBodyBytes = 1 << 20

// CompareRank compares the ranks of two members: the xxhash values of their ids,
// and the ids themselves if those are equal.
func CompareRank(a, b dandeliongap.MemberID) int {
	ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return strings.Compare(string(a), string(b))
}

// SortByRank sorts members by rank.
func SortByRank(ms []dandeliongap.Member) {
	slices.SortFunc(ms, func(a, b dandeliongap.Member) int { return CompareRank(a.ID, b.ID) })
}

var memberStateNames = [...]string{
	dandeliongap.MemberJoining: "joining", dandeliongap.MemberLive: "live", dandeliongap.MemberLeaving: "leaving",
}

type memberJSON struct {
	ID            dandeliongap.MemberID
	VM            dandeliongap.VMName
	Zone          dandeliongap.ZoneName
	CallerAddress string
	PeerAddress   string
	State         string
}

type listJSON struct {
	Members []memberJSON
	Before  [][]dandeliongap.VMName `json:",omitempty"`
	Write   string                  `json:",omitempty"`
}

type rowJSON struct {
	Replica dandeliongap.ReplicaID
	Owner   dandeliongap.MemberID `json:",omitempty"`
	Epoch   dandeliongap.Epoch
	Former  []dandeliongap.MemberID `json:",omitempty"`
}

type tableJSON struct {
	Members dandeliongap.Version
	Config  dandeliongap.Version
	Rows    []rowJSON
	Write   string `json:",omitempty"`
}

// EncodeMemberList returns the body of state/members. Its errors wrap ErrInvalid for
// a list that DecodeMemberList would reject, and ErrTooLarge for a body above the
// platform's size limit.
func EncodeMemberList(l MemberList) ([]byte, error) {
	if err := checkList(l); err != nil {
		return nil, err
	}
	j := listJSON{Members: make([]memberJSON, 0, len(l.Members)), Before: l.PriorLists, Write: l.WriteID}
	for _, m := range l.Members {
		j.Members = append(j.Members, memberJSON{m.ID, m.VM, m.Zone, m.CallerAddress, m.PeerAddress, memberStateNames[m.State]})
	}
	return encode(j)
}

// DecodeMemberList decodes the body of state/members. Its errors wrap ErrInvalid.
func DecodeMemberList(body []byte) (MemberList, error) {
	var j listJSON
	if err := decode(body, &j); err != nil {
		return MemberList{}, err
	}
	l := MemberList{PriorLists: j.Before, WriteID: j.Write}
	for _, m := range j.Members {
		state := slices.Index(memberStateNames[:], m.State)
		if state < 0 {
			return MemberList{}, fmt.Errorf("member %q: unknown state %q: %w", m.ID, m.State, dandeliongap.ErrInvalid)
		}
		l.Members = append(l.Members, dandeliongap.Member{
			ID: m.ID, VM: m.VM, Zone: m.Zone, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
			State: dandeliongap.MemberState(state),
		})
	}
	if err := checkList(l); err != nil {
		return MemberList{}, err
	}
	return l, nil
}

func checkList(l MemberList) error {
	for i, m := range l.Members {
		if err := CheckMember(m); err != nil {
			return err
		}
		if i > 0 && CompareRank(l.Members[i-1].ID, m.ID) >= 0 {
			return fmt.Errorf("member %q: listed twice or out of rank order: %w", m.ID, dandeliongap.ErrInvalid)
		}
	}
	for _, vms := range l.PriorLists {
		if len(vms) == 0 || !ascending(vms) {
			return fmt.Errorf("earlier list: no VM names, an empty name or not in ascending order: %w", dandeliongap.ErrInvalid)
		}
	}
	return nil
}

// CheckMember returns an error that wraps ErrInvalid for a member record with an
// empty id or VM name, an unknown state, or an address that is not "IP:port".
func CheckMember(m dandeliongap.Member) error {
	if m.ID == "" || m.VM == "" {
		return fmt.Errorf("member %q of VM %q: empty id or VM name: %w", m.ID, m.VM, dandeliongap.ErrInvalid)
	}
	if int(m.State) >= len(memberStateNames) {
		return fmt.Errorf("member %q: unknown state %d: %w", m.ID, m.State, dandeliongap.ErrInvalid)
	}
	for _, a := range [...]string{m.CallerAddress, m.PeerAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("member %q: address %q is not IP:port: %w", m.ID, a, dandeliongap.ErrInvalid)
		}
	}
	return nil
}

// EncodePlacementTable returns the body of state/placement. Its errors wrap
// ErrInvalid for a table that DecodePlacementTable would reject, and ErrTooLarge for a
// body above the platform's size limit.
func EncodePlacementTable(t PlacementTable) ([]byte, error) {
	if err := checkTable(t); err != nil {
		return nil, err
	}
	j := tableJSON{Members: t.MembersVersion, Config: t.ConfigVersion, Rows: make([]rowJSON, 0, len(t.Rows)), Write: t.WriteID}
	for _, r := range t.Rows {
		j.Rows = append(j.Rows, rowJSON(r))
	}
	return encode(j)
}

// DecodePlacementTable decodes the body of state/placement. Its errors wrap
// ErrInvalid.
func DecodePlacementTable(body []byte) (PlacementTable, error) {
	var j tableJSON
	if err := decode(body, &j); err != nil {
		return PlacementTable{}, err
	}
	t := PlacementTable{MembersVersion: j.Members, ConfigVersion: j.Config, Rows: make([]dandeliongap.Placement, 0, len(j.Rows)), WriteID: j.Write}
	for _, r := range j.Rows {
		t.Rows = append(t.Rows, dandeliongap.Placement(r))
	}
	if err := checkTable(t); err != nil {
		return PlacementTable{}, err
	}
	return t, nil
}

func checkTable(t PlacementTable) error {
	for i, r := range t.Rows {
		switch {
		case r.Replica == "":
			return fmt.Errorf("row %d: empty replica id: %w", i, dandeliongap.ErrInvalid)
		case i > 0 && t.Rows[i-1].Replica >= r.Replica:
			return fmt.Errorf("row of %q: listed twice or out of order: %w", r.Replica, dandeliongap.ErrInvalid)
		case r.Epoch == 0:
			return fmt.Errorf("row of %q: epoch is 0: %w", r.Replica, dandeliongap.ErrInvalid)
		case slices.Contains(r.Former, ""):
			return fmt.Errorf("row of %q: empty id of a former owner: %w", r.Replica, dandeliongap.ErrInvalid)
		}
	}
	return nil
}

// EncodeZones returns the body of state/zones. Its errors wrap ErrInvalid for names
// that DecodeZones would reject, and ErrTooLarge for a body above the platform's size
// limit.
func EncodeZones(z ZonesOut) ([]byte, error) {
	if !ascending(z.Out) {
		return nil, fmt.Errorf("zones %q: empty name or not in ascending order: %w", z.Out, dandeliongap.ErrInvalid)
	}
	return encode(z)
}

// DecodeZones decodes the body of state/zones. Its errors wrap ErrInvalid.
func DecodeZones(body []byte) (ZonesOut, error) {
	var z ZonesOut
	if err := decode(body, &z); err != nil {
		return ZonesOut{}, err
	}
	if !ascending(z.Out) {
		return ZonesOut{}, fmt.Errorf("zones %q: empty name or not in ascending order: %w", z.Out, dandeliongap.ErrInvalid)
	}
	return z, nil
}

// ascending reports whether the names are sorted, unique and non-empty.
func ascending[T ~string](names []T) bool {
	var last T
	for _, n := range names {
		if n <= last {
			return false
		}
		last = n
	}
	return true
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", dandeliongap.ErrInvalid, err)
	}
	if len(b) > maxBodyBytes {
		return nil, fmt.Errorf("body of %d bytes exceeds the platform's limit: %w", len(b), dandeliongap.ErrTooLarge)
	}
	return b, nil
}

// decode decodes a JSON body into v. It rejects unknown fields, data after the value
// and bodies above the platform's size limit.
func decode(body []byte, v any) error {
	if len(body) > maxBodyBytes {
		return fmt.Errorf("body of %d bytes exceeds the platform's limit: %w", len(body), dandeliongap.ErrInvalid)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", dandeliongap.ErrInvalid, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("data after the JSON value: %w", dandeliongap.ErrInvalid)
	}
	return nil
}
