package dgpresence_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

var _ = Describe("heartbeats with eras of the store", func() {
	const kind = "k"
	const older, newer = dandeliongap.Era(1), dandeliongap.Era(2)
	seen := func(version dandeliongap.Version) map[string]dandeliongap.Version {
		return map[string]dandeliongap.Version{kind: version}
	}
	It("V7: a change of a later era is newer, whatever its revision and whichever VM reports it last (otherwise nobody would look for changes after a restore)", func() {
		v := dgpresence.New("a", 1)
		v.Merge(0, []dgpresence.Heartbeat{{VM: "b", Boot: 1, Count: 1, Seen: seen(older.Version(900))}})
		v.Merge(0, []dgpresence.Heartbeat{{VM: "c", Boot: 1, Count: 1, Seen: seen(newer.Version(3))}})
		v.Merge(0, []dgpresence.Heartbeat{{VM: "b", Boot: 1, Count: 2, Seen: seen(older.Version(901))}})
		Expect(v.Newest(kind)).To(Equal(newer.Version(3)))
		v.Merge(0, []dgpresence.Heartbeat{{VM: "old", Boot: 1, Count: 1, Seen: seen(950)}})
		Expect(v.Newest(kind)).To(Equal(newer.Version(3)), "of a VM that knows no eras")
	})
	It("V7: VMs that know no eras get bare revisions (otherwise they would look for a change that the store does not have, again and again)", func() {
		v := dgpresence.New("a", 1)
		long := v.Tick(dandeliongap.Instant(time.Second), dgpresence.LocalStatus{Seen: seen(newer.Version(3))})
		Expect(dgpresence.WithoutEras(long)[0].Seen).To(Equal(seen(3)))
		m := v.Beat(dandeliongap.Instant(time.Second))
		Expect(m.WithoutEras().Seen).To(Equal(seen(3)))
		Expect(m.Seen).To(Equal(seen(newer.Version(3))))
		Expect(dgpresence.WithoutEras([]dgpresence.Heartbeat{{VM: "b"}})[0].Seen).To(BeNil(), "passed on without versions")
	})
	It("V7: the VM of a process is known once it is registered (otherwise its questions could not be answered in the form that it reads)", func() {
		v := dgpresence.New("a", 1)
		_, ok := v.VMOf(dgpresence.ProcessIDOf("b", 7))
		Expect(ok).To(BeFalse())
		v.SetRegistered(map[dandeliongap.VMName]int64{"b": 7})
		vm, ok := v.VMOf(dgpresence.ProcessIDOf("b", 7))
		Expect(ok).To(BeTrue())
		Expect(vm).To(Equal(dandeliongap.VMName("b")))
	})
})
