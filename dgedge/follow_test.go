package dgedge_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgedge"
)

var _ = Describe("a follower of the store", func() {
	// Guards against a draining replica that stays in use for seconds. It happens if a VM
	// has many changes to read because the store refused its calls for a while, and waits
	// between the answers. Found in scenario krs-search-grown, trouble-1, with the seed of
	// the site file.
	It("does not wait while a backlog of changes remains", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 500, 10*time.Millisecond, false)).To(BeZero())
	})
	// Guards against a call to the store for each single change.
	It("waits after few changes and after a watch that returned at once", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 3, 10*time.Millisecond, false)).To(BeNumerically(">=", 250*time.Millisecond))
		Expect(dgedge.NextWatchDelay(dandeliongap.KindRoutes, 0, time.Millisecond, false)).To(BeNumerically(">", 0))
		Expect(dgedge.NextWatchDelay(dandeliongap.KindRoutes, 0, 10*time.Second, false)).To(BeZero())
	})
	// Guards against a VM that knows no replicas for half a second longer than necessary
	// after an outage of the store, while the replicas register again. Found in scenario
	// matrita-cauta, trouble-3.
	It("waits only briefly after an outage of the store", func() {
		wait := dgedge.NextWatchDelay(dandeliongap.KindInstances, 3, 10*time.Millisecond, true)
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second/10)))
		usual := dgedge.NextWatchDelay(dandeliongap.KindZonesOut, 3, 10*time.Millisecond, false)
		Expect(dgedge.NextWatchDelay(dandeliongap.KindZonesOut, 3, 10*time.Millisecond, true)).To(BeNumerically("<=", usual))
	})
	// Guards against a delay that uses up the three seconds within which a VM must stop
	// using a draining replica.
	It("waits at most a second after a change of the replicas", func() {
		Expect(dgedge.NextWatchDelay(dandeliongap.KindInstances, 1, 0, false)).To(BeNumerically("<=", time.Second))
	})
	// Guards against requests that reach a removed replica for too long because a cut-off
	// watch is taken for an outage of the store (review/5), and against an outage that is
	// not noticed because the store cuts off all calls.
	It("takes a watch that was cut off for a failure only if it checked the store", func() {
		cut := fmt.Errorf("store GET: %w", dandeliongap.ErrCutOff)
		Expect(dgedge.CutOff(cut, false)).To(BeTrue())
		Expect(dgedge.CutOff(cut, true)).To(BeFalse())
		Expect(dgedge.CutOff(fmt.Errorf("store GET: %w", dandeliongap.ErrUnreachable), false)).To(BeFalse())
		Expect(dgedge.CutOff(nil, false)).To(BeFalse())
	})
})
