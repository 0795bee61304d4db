package dgedge_test

import (
	"errors"
	"reflect"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
)

// TestShortForm guards against messages that another VM reads differently, and against
// datagrams cut off at any byte that are taken for whole ones.
func TestShortForm(t *testing.T) {
	id := dgpresence.ProcessID{1, 2, 3}
	hubs := []dgpresence.Brief{{Process: dgpresence.ProcessID{9, 8, 7}, Count: 255, Status: 0xf1}, {Process: id, Count: 1}}
	seen := map[string]dandeliongap.Version{dandeliongap.KindRoutes: 1 << 40, dandeliongap.KindMembers: 3}
	for _, m := range []dgpresence.Message{
		{Kind: dgpresence.Beat, Process: id, Status: 5, Count: 1 << 50, Seen: seen, Hubs: hubs},
		{Kind: dgpresence.Answer, Process: id, Count: 1, Seen: seen, Hubs: hubs[:1]},
		{Kind: dgpresence.Question, Process: id, Count: 300, Digest: 0xfedcba98},
		{Kind: dgpresence.Confirmation, Process: id, Count: 2, Status: 255},
		{Kind: dgpresence.NameRequest, Process: id, Count: 3, Processes: []dgpresence.ProcessID{id, {4, 5, 6}}},
	} {
		b := dgedge.EncodeShort(m)
		got, err := dgedge.DecodeShort(b)
		if err != nil || !reflect.DeepEqual(*got, m) {
			t.Errorf("decoded %+v, %v; want %+v", got, err, m)
		}
		for n := 1; n < len(b); n++ {
			cut, err := dgedge.DecodeShort(b[:n])
			switch {
			case err == nil && len(cut.Hubs) == len(m.Hubs) && len(cut.Processes) == len(m.Processes):
				t.Errorf("kind %d: %d of %d bytes taken for the whole message", m.Kind, n, len(b))
			case err != nil && !errors.Is(err, dgedge.ErrShort):
				t.Errorf("error %v, want one that wraps ErrShort", err)
			}
		}
	}
}

// TestForms guards against a datagram in one form that is taken for the other.
func TestForms(t *testing.T) {
	long := dgedge.Pack([]dgpresence.Heartbeat{{VM: "a", Boot: 1, Count: 2}, {VM: "b", Boot: 1, Count: 2}})
	if n, err := dgedge.Unpack(long); n != 2 || err != nil {
		t.Errorf("%d heartbeats, %v; want 2", n, err)
	}
	for kind := dgpresence.Beat; kind.Valid(); kind++ {
		if _, err := dgedge.Unpack(dgedge.EncodeShort(dgpresence.Message{Kind: kind})); err != nil {
			t.Errorf("kind %d: %v", kind, err)
		}
	}
	if _, err := dgedge.Unpack([]byte{0xff}); !errors.Is(err, dgedge.ErrShort) {
		t.Errorf("unknown kind: %v, want ErrShort", err)
	}
}
