package dgrelay_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgproperty"
	"dandeliongap.example/dandeliongap/dgrelay"
)

func init() { dgproperty.SetRapidDefaults(20261204, 0) }

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgrelay")
}

func object(n dandeliongap.ObjectName, v dandeliongap.Version, size int) dandeliongap.Object {
	return dandeliongap.Object{Name: n, Version: v, Body: make([]byte, size)}
}

// Guards against an object that reverts to an older version when versions and
// deletions arrive out of order (C1).
func TestSetNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s dgrelay.Set
		var newest dandeliongap.Version
		for _, v := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "versions") {
			v := dandeliongap.Version(v)
			o := dandeliongap.Object{Name: dgrelay.Zones, Version: v, Deleted: v%3 == 0}
			if s.Adopt(0, o) != (v > newest) {
				t.Fatalf("wrong result of Adopt for version %d while version %d is held", v, newest)
			}
			newest = max(newest, v)
			if o, _ := s.Get(dgrelay.Zones); o.Version != newest {
				t.Fatalf("set holds version %d, want %d", o.Version, newest)
			}
		}
	})
}

var _ = Describe("set", func() {
	It("C1: treats an object missing from a listing as deleted, unless the listing is older", func() {
		var s dgrelay.Set
		s.Adopt(0, object(dgrelay.Zones, 5, 1))
		Expect(s.AdoptListing(0, nil, 4)).To(BeEmpty())
		Expect(s.AdoptListing(0, nil, 6)).To(Equal([]dandeliongap.ObjectName{dgrelay.Zones}))
		o, _ := s.Get(dgrelay.Zones)
		Expect(o.Deleted).To(BeTrue())
		Expect(s.Adopt(0, object(dgrelay.Zones, 5, 1))).To(BeFalse())
		Expect(s.Adopt(0, object("leases/x", 9, 1))).To(BeFalse())
	})
	It("returns only newer objects, up to the size limit but at least one", func() {
		var s, other dgrelay.Set
		for i, n := range []dandeliongap.ObjectName{dgrelay.Deployment, dgrelay.Placement, dgrelay.Members} {
			s.Adopt(0, object(n, dandeliongap.Version(i+1), 100))
		}
		messages := 0
		for newer := s.NewerThan(nil, 150); len(newer) > 0; newer = s.NewerThan(other.Digest(), 150) {
			Expect(newer).To(HaveLen(1))
			Expect(other.Adopt(0, newer[0])).To(BeTrue())
			messages++
		}
		Expect(messages).To(Equal(3))
	})
})

var _ = Describe("relay", func() {
	var unreachable map[dandeliongap.MemberID]bool
	rnd := rand.New(rand.NewPCG(1, 1))
	ids := []dandeliongap.MemberID{"a", "b", "c", "d", "e", "f"}
	members := func(n int) (ms []dandeliongap.Member) {
		for _, id := range ids[:n] {
			ms = append(ms, dandeliongap.Member{ID: id})
		}
		return ms
	}
	newRelay := func(self dandeliongap.MemberID) *dgrelay.Relay {
		r := dgrelay.NewRelay(0, self, func(id dandeliongap.MemberID) bool { return !unreachable[id] })
		r.SetMembers(members(6))
		return r
	}
	BeforeEach(func() { unreachable = map[dandeliongap.MemberID]bool{} })

	It("C2: pushes an adopted object to three distinct members", func() {
		as := newRelay("a").Adopted(rnd, nil)
		Expect(as).To(HaveLen(3))
		seen := map[dandeliongap.MemberID]bool{"a": true}
		for _, a := range as {
			Expect(seen[a.Member]).To(BeFalse())
			seen[a.Member] = true
		}
	})
	It("C3: exchanges with every member once a round, and with a seed while it knows no member", func() {
		r := newRelay("a")
		seen := map[dandeliongap.MemberID]int{}
		for now := dandeliongap.Instant(0); len(seen) < 5 || seen["b"] < 3; now = r.Next() {
			r.PeerAnswered(now)
			for _, a := range r.Tick(now, rnd, nil) {
				if a.Kind == dgrelay.KindExchange {
					seen[a.Member]++
				}
			}
		}
		for _, n := range seen {
			Expect(n).To(BeNumerically("~", 3, 1))
		}
		alone := dgrelay.NewRelay(0, "z", func(dandeliongap.MemberID) bool { return true })
		Expect(alone.Tick(0, rnd, nil)[0]).To(Equal(dgrelay.Action{Kind: dgrelay.KindExchange, Rule: dgrelay.C3}))
	})
	It("C4: the three lowest live ranks watch the platform, after a listing that shows deletions", func() {
		Expect(newRelay("c").IsWatcher()).To(BeTrue())
		Expect(newRelay("d").IsWatcher()).To(BeFalse())
		unreachable["a"] = true
		Expect(newRelay("d").IsWatcher()).To(BeTrue())
		r := newRelay("b")
		as := r.Tick(0, rnd, nil)
		Expect(as[1].Kind).To(Equal(dgrelay.KindRead))
		Expect(r.Tick(tenSeconds, rnd, nil)).To(HaveLen(1), "one call at a time")
		r.PlatformAnswered(tenSeconds, 7)
		as = r.Tick(2*tenSeconds, rnd, nil)
		Expect(as[len(as)-1]).To(Equal(dgrelay.Action{Kind: dgrelay.KindWatch, Rule: dgrelay.C4, Version: 7}))
	})
	It("C5: other members read from the platform only when no peer replies, with growing back-off", func() {
		r := newRelay("f")
		calls := func(from, to dandeliongap.Instant, peers bool) (n int) {
			for now := from; now < to; now = max(r.Next(), now.Add(time.Millisecond)) {
				if peers {
					r.PeerAnswered(now)
				}
				for _, a := range r.Tick(now, rnd, nil) {
					if a.Kind != dgrelay.KindExchange {
						n++
						r.PlatformFailed(now, rnd)
					}
				}
			}
			return n
		}
		Expect(calls(0, tenSeconds, true)).To(BeZero())
		Expect(calls(tenSeconds, 2*tenSeconds, false)).To(BeNumerically(">", 2))
		Expect(calls(20*tenSeconds, 40*tenSeconds, false)).To(BeNumerically("<", 40))
	})
})

const tenSeconds = dandeliongap.Instant(10 * time.Second)

func sampleList() dgrelay.MemberList {
	l := dgrelay.MemberList{PriorLists: [][]dandeliongap.VMName{{"vm1", "vm2"}}, WriteID: "w1"}
	for _, id := range []dandeliongap.MemberID{"vm1-a", "vm2-b"} {
		l.Members = append(l.Members, dandeliongap.Member{
			ID: id, VM: "vm1", Zone: "z", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", State: dandeliongap.MemberLeaving,
		})
	}
	dgrelay.SortByRank(l.Members)
	return l
}

func sampleTable() dgrelay.PlacementTable {
	return dgrelay.PlacementTable{MembersVersion: 3, ConfigVersion: 4, Rows: []dandeliongap.Placement{
		{Replica: "a/0", Owner: "vm1-a", Epoch: 2, Former: []dandeliongap.MemberID{"vm2-b"}}, {Replica: "b/0", Epoch: 1},
	}}
}

// fuzzRoundTrip checks that a decoder either fails with ErrInvalid or returns a value
// that encodes and decodes to itself.
func fuzzRoundTrip[T any](f *testing.F, seed []byte, decode func([]byte) (T, error), encode func(T) ([]byte, error)) {
	f.Add(seed)
	for _, bad := range []string{"", "{}", "null", `{"Out":["b","a"]}`, `{"Rows":[{}]}`, `{"Members":[{}]}`, `{"Other":1}`, "{} {}"} {
		f.Add([]byte(bad))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		v, err := decode(body)
		if err != nil {
			if !errors.Is(err, dandeliongap.ErrInvalid) {
				t.Fatalf("error %v does not wrap ErrInvalid", err)
			}
			return
		}
		b, err := encode(v)
		if errors.Is(err, dandeliongap.ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if b2, _ := encode(redecoded); string(b2) != string(b) {
			t.Fatalf("%s encodes as %s after decoding", b, b2)
		}
	})
}

func FuzzDecodeList(f *testing.F) {
	b, _ := dgrelay.EncodeMemberList(sampleList())
	fuzzRoundTrip(f, b, dgrelay.DecodeMemberList, dgrelay.EncodeMemberList)
}

func FuzzDecodeTable(f *testing.F) {
	b, _ := dgrelay.EncodePlacementTable(sampleTable())
	fuzzRoundTrip(f, b, dgrelay.DecodePlacementTable, dgrelay.EncodePlacementTable)
}

func FuzzDecodeZones(f *testing.F) {
	b, _ := dgrelay.EncodeZones(dgrelay.ZonesOut{Out: []dandeliongap.ZoneName{"a", "b"}})
	fuzzRoundTrip(f, b, dgrelay.DecodeZones, dgrelay.EncodeZones)
}

var _ = Describe("bodies", func() {
	It("decode to the encoded values", func() {
		b, err := dgrelay.EncodeMemberList(sampleList())
		Expect(err).NotTo(HaveOccurred())
		Expect(dgrelay.DecodeMemberList(b)).To(Equal(sampleList()))
		b, err = dgrelay.EncodePlacementTable(sampleTable())
		Expect(err).NotTo(HaveOccurred())
		t, err := dgrelay.DecodePlacementTable(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(reflect.DeepEqual(t, sampleTable())).To(BeTrue())
	})
	DescribeTable("are rejected as a whole when one part is invalid", func(decode func() error) {
		Expect(decode()).To(MatchError(dandeliongap.ErrInvalid))
	},
		Entry("unknown field", func() error { _, err := dgrelay.DecodeZones([]byte(`{"Outt":[]}`)); return err }),
		Entry("data after the value", func() error { _, err := dgrelay.DecodeZones([]byte(`{} x`)); return err }),
		Entry("row listed twice", func() error {
			_, err := dgrelay.DecodePlacementTable([]byte(`{"Rows":[{"Replica":"a","Epoch":1},{"Replica":"a","Epoch":2}]}`))
			return err
		}),
		Entry("epoch 0", func() error { _, err := dgrelay.DecodePlacementTable([]byte(`{"Rows":[{"Replica":"a"}]}`)); return err }),
		Entry("unknown state", func() error {
			_, err := dgrelay.DecodeMemberList([]byte(`{"Members":[{"ID":"a","State":"up"}]}`))
			return err
		}),
	)
})
