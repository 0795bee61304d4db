package dgedge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
)

var _ = Describe("a follower of the store", func() {
	It("does not wait while it makes up for what it missed (guards against a draining replica that is used for seconds after the store refused a VM; krs-search-grown trouble-1, seed of the site file)", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 500, 10*time.Millisecond, false)).To(BeZero())
	})
	It("waits after few changes, and after a watch that did not wait (guards against a call for each change)", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 3, 10*time.Millisecond, false)).To(BeNumerically(">=", 250*time.Millisecond))
		Expect(dgedge.NextWatchDelay(dandeliongap.KindRoutes, 0, time.Millisecond, false)).To(BeNumerically(">", 0))
		Expect(dgedge.NextWatchDelay(dandeliongap.KindRoutes, 0, 10*time.Second, false)).To(BeZero())
	})
	It("waits shortly after an outage (guards against a VM that knows no replicas for half a second longer, while they register again; matrita-cauta trouble-3)", func() {
		wait := dgedge.NextWatchDelay(dandeliongap.KindInstances, 3, 10*time.Millisecond, true)
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second/10)))
		usual := dgedge.NextWatchDelay(dandeliongap.KindZonesOut, 3, 10*time.Millisecond, false)
		Expect(dgedge.NextWatchDelay(dandeliongap.KindZonesOut, 3, 10*time.Millisecond, true)).To(BeNumerically("<=", usual))
	})
	It("leaves time to stop using a draining replica (guards against a bound of three seconds that waits use up)", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 1, 0, false)).To(BeNumerically("<=", time.Second))
	})
})
