package dgpresence_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

func TestPresence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgpresence")
}

func at(d time.Duration) dandeliongap.Instant { return dandeliongap.Instant(d) }

var _ = Describe("View", func() {
	var v *dgpresence.View
	beat := func(boot int64, count uint64) []dgpresence.Beat {
		return []dgpresence.Beat{{VM: "b", Boot: boot, Count: count, Serving: true}}
	}
	alive := func(now time.Duration) bool {
		ok, _ := v.Present(at(now), "b")
		return ok
	}
	BeforeEach(func() { v = dgpresence.New("a", 1) })

	It("V1 loses a VM whose beat stops rising, also while others repeat it (guards against a directory that names a lost VM)", func() {
		v.Hear(at(0), beat(1, 1))
		Expect(alive(time.Second)).To(BeTrue())
		for t := time.Duration(0); t <= 2*time.Second; t += 100 * time.Millisecond {
			v.Hear(at(t), beat(1, 1))
		}
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Hear(at(2*time.Second), beat(1, 2))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V1 passes on only what is present (guards against beats of lost VMs that circle)", func() {
		v.Hear(at(0), beat(1, 1))
		Expect(v.Tick(at(100*time.Millisecond), dgpresence.Report{Serving: true})).To(HaveLen(2))
		Expect(v.Tick(at(2*time.Second), dgpresence.Report{Serving: true})[0].Count).To(BeEquivalentTo(2))
	})
	It("V2 ignores an earlier process of the same VM (guards against its late beats)", func() {
		v.Hear(at(0), beat(5, 1))
		v.Hear(at(2*time.Second), beat(4, 900))
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Hear(at(2*time.Second), beat(6, 1))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V3 does not lose all others after its own pause (guards against a directory with one name after a freeze)", func() {
		v.Tick(at(dgpresence.BeatEvery), dgpresence.Report{Serving: true})
		v.Hear(at(dgpresence.BeatEvery), beat(1, 1))
		v.Tick(at(6*time.Second), dgpresence.Report{Serving: true})
		Expect(alive(6 * time.Second)).To(BeTrue())
		Expect(alive(8 * time.Second)).To(BeFalse())
	})
	It("takes no beat of itself from others", func() {
		v.Hear(at(0), []dgpresence.Beat{{VM: "a", Boot: 9, Count: 9}, {}})
		Expect(v.Tick(at(0), dgpresence.Report{Serving: true})).To(HaveLen(1))
	})
})
