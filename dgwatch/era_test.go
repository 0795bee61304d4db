package dgwatch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwatch"
)

var _ = Describe("eras of the store", func() {
	const older, newer = dandeliongap.Era(1), dandeliongap.Era(2)
	object := func(name string, version dandeliongap.Version) dandeliongap.Object {
		return dandeliongap.Object{Name: dandeliongap.ObjectName("k/" + name), Version: version}
	}
	It("W6: no state of an earlier era is taken, and changes only of the same one (otherwise a VM would go back to what a restored store lost, or miss that it was restored)", func() {
		full := func(era dandeliongap.Era) dgwatch.State { return dgwatch.State{Full: true, Version: era.Version(5)} }
		changes := func(era dandeliongap.Era) dgwatch.State { return dgwatch.State{Version: era.Version(5)} }
		for _, since := range []dandeliongap.Version{newer.Version(1), newer.Version(9)} {
			Expect(full(older).Follows(since)).To(BeFalse())
			Expect(changes(older).Follows(since)).To(BeFalse())
			Expect(full(newer).Follows(since)).To(BeTrue())
			Expect(changes(newer).Follows(since)).To(BeTrue())
		}
		Expect(full(newer).Follows(older.Version(90))).To(BeTrue())
		Expect(changes(newer).Follows(older.Version(1))).To(BeFalse())
		Expect(full(older).Follows(0)).To(BeTrue(), "a VM that starts")
		Expect(full(0).Follows(0)).To(BeTrue(), "a store without eras")
	})
	It("W6: a mirror passes on the whole state to a VM of an earlier era, also of a higher revision, and ignores what is of one (otherwise that VM would go on from a revision of another meaning)", func() {
		var m dgwatch.Mirror
		m.Apply("k", dgwatch.State{Full: true, Version: older.Version(50), Objects: []dandeliongap.Object{object("a", older.Version(50))}})
		m.Apply("k", dgwatch.State{Full: true, Version: newer.Version(20), Objects: []dandeliongap.Object{object("b", newer.Version(20))}})
		m.Apply("k", dgwatch.State{Version: older.Version(60), Objects: []dandeliongap.Object{object("c", older.Version(60))}})
		m.Apply("k", dgwatch.State{Full: true, Version: older.Version(61)})
		for _, since := range []uint64{1, 20, 50} {
			s, ok := m.Since("k", older.Version(since))
			Expect(ok).To(BeTrue())
			Expect(s.Full).To(BeTrue())
			Expect(s.Version).To(Equal(newer.Version(20)))
			Expect(s.Objects).To(Equal([]dandeliongap.Object{object("b", newer.Version(20))}))
		}
	})
	It("W6: the begin of an era is a change, also of a kind without objects (otherwise VMs that pull would keep what the store lost)", func() {
		Expect(dgwatch.State{Full: true, Version: newer.Version(7)}.Newest()).To(BeNumerically(">", older.Version(90)))
		Expect(dgwatch.State{Version: newer.Version(7)}.Newest()).To(BeZero(), "no change")
		Expect(dgwatch.State{Full: true, Version: 7}.Newest()).To(BeZero(), "a store without eras")
		Expect(dgwatch.State{Version: newer.Version(7), Objects: []dandeliongap.Object{object("a", newer.Version(6))}}.Newest()).To(Equal(newer.Version(6)))
	})
	It("W7: a VM that knows no eras gets bare revisions, and the changes since one (otherwise it would refuse all that it reads from the store later)", func() {
		var m dgwatch.Mirror
		m.Apply("k", dgwatch.State{Full: true, Version: newer.Version(20), Objects: []dandeliongap.Object{object("a", newer.Version(20))}})
		m.Apply("k", dgwatch.State{Version: newer.Version(21), Objects: []dandeliongap.Object{object("b", newer.Version(21))}})
		s, ok := m.SinceRevision("k", 20)
		Expect(ok).To(BeTrue())
		Expect(s).To(Equal(dgwatch.State{Version: 21, Objects: []dandeliongap.Object{object("b", 21)}}))
		s, _ = m.SinceRevision("k", 0)
		Expect(s.Full).To(BeTrue())
		Expect(s.Objects).To(HaveLen(2))
		again, _ := m.Since("k", 0)
		Expect(again.Objects[0].Version).To(Equal(newer.Version(20)), "the mirror itself keeps the eras")
	})
	It("W7: VMs that know no eras are no readers for those that do (otherwise these would wait for changes that nobody announces to them)", func() {
		present := tier(20)
		for i := 10; i < 20; i++ {
			present[i].Eras = true
		}
		Expect(dgwatch.Readable(present, 0)).To(HaveLen(20), "a store without eras")
		readable := dgwatch.Readable(present, newer)
		Expect(readable).To(HaveLen(10))
		count, _ := roles(readable)
		Expect(count[dgwatch.Reader]).To(Equal(dgwatch.ReaderCount))
	})
	It("a kept object is passed on in place of that of the store, under another generation (otherwise a VM that starts would get the copy, or a packed form of it)", func() {
		var m dgwatch.Mirror
		m.Apply("k", dgwatch.State{Full: true, Version: newer.Version(20), Objects: []dandeliongap.Object{object("a", newer.Version(20))}})
		before, _ := m.Since("k", 0)
		m.Keep("k", object("a", older.Version(50)))
		after, _ := m.Since("k", 0)
		Expect(after.Objects).To(Equal([]dandeliongap.Object{object("a", older.Version(50))}))
		Expect(after.Version).To(Equal(before.Version))
		Expect(after.Generation()).NotTo(Equal(before.Generation()))
		m.Apply("k", dgwatch.State{Full: true, Version: newer.Version(20), Objects: []dandeliongap.Object{object("a", newer.Version(20))}})
		again, _ := m.Since("k", 0)
		Expect(again.Generation()).NotTo(Equal(before.Generation()), "listed again")
	})
})
