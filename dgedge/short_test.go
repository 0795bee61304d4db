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

// TestShortFormEras guards against versions of an era that another VM reads differently, also
// the begin of an era, and against datagrams with an era that are longer than needed.
func TestShortFormEras(t *testing.T) {
	const era = dandeliongap.Era(3)
	seen := map[string]dandeliongap.Version{
		dandeliongap.KindRoutes: era.Version(1 << 40), dandeliongap.KindMembers: era.Start(), dandeliongap.KindZonesOut: (era - 1).Version(90),
	}
	want := map[string]dandeliongap.Version{dandeliongap.KindRoutes: seen[dandeliongap.KindRoutes], dandeliongap.KindMembers: seen[dandeliongap.KindMembers]}
	for _, kind := range []dgpresence.MessageKind{dgpresence.Beat, dgpresence.Answer} {
		m := dgpresence.Message{Kind: kind, Count: 7, Seen: seen, Hubs: []dgpresence.Brief{{Count: 7}}}
		b := dgedge.EncodeShort(m)
		got, err := dgedge.DecodeShort(b)
		if err != nil || !reflect.DeepEqual(got.Seen, want) || got.Kind != kind || len(got.Hubs) != 1 {
			t.Errorf("decoded %+v, %v; want the versions %v", got, err, want)
		}
		bare := dgedge.EncodeShort(m.WithoutEras())
		if len(b) > len(bare)+1 {
			t.Errorf("%d bytes with an era, %d without", len(b), len(bare))
		}
		got, err = dgedge.DecodeShort(bare)
		if err != nil || got.Seen[dandeliongap.KindRoutes] != 1<<40 {
			t.Errorf("decoded %+v, %v; want bare revisions", got, err)
		}
	}
	for _, b := range [][]byte{
		{0x86, 1, 2, 3, 0, 1, 0, 1, 1, 1, 1},                   // era 0
		{0x86, 1, 2, 3, 0, 1, 0xff, 0xff, 0xff, 0x7f, 1, 1, 1}, // an era above MaxEra
		{0x8e, 1, 2, 3, 0, 1, 1, 0, 0, 0},                      // a Question with an era
	} {
		if m, err := dgedge.DecodeShort(b); !errors.Is(err, dgedge.ErrShort) {
			t.Errorf("%x: decoded %+v, %v; want ErrShort", b, m, err)
		}
	}
}
