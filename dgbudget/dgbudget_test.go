package dgbudget_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbudget"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(1, 300) }

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgbudget")
}

const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 52
	svc    = dandeliongap.ServiceName("s")
)

func newBudget(initialStart bool, start dandeliongap.Instant) *dgbudget.Budget {
	return dgbudget.New(dgbudget.Options{Ratio: ratio, Slack: slack, Window: window, InitialStart: initialStart, Start: start})
}

// TestLimitInAnyWindow guards against more extra requests than the limit in any
// window, summed over all VMs, while processes restart, shares of the slack move from VM
// to VM and requests arrive late. The
// limit is computed from the first requests of the window, of the window that begins
// half a window earlier, or of the previous window, whichever has the most.
func TestLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		vms := rapid.IntRange(1, 6).Draw(t, "vms")
		budgets := make([]*dgbudget.Budget, vms)
		shares := make([]float64, vms)
		for i := range budgets {
			budgets[i] = newBudget(true, 0)
			budgets[i].SetShare(0, 1/float64(vms))
			shares[i] = 1 / float64(vms)
		}
		var firsts, extras []dandeliongap.Instant // arrival times
		rate, wanted := 4, 1                      // first and extra requests per tick
		for now := dandeliongap.Instant(0); now < dandeliongap.Instant(35*time.Second); now = now.Add(tick) {
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				rate = rapid.IntRange(0, 8).Draw(t, "rate")
				wanted = rapid.IntRange(0, 6).Draw(t, "wanted")
			}
			if rapid.IntRange(0, 150).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, vms-1).Draw(t, "vm")
				budgets[i] = newBudget(false, now)
				budgets[i].SetShare(now, shares[i])
			}
			if rapid.IntRange(0, 100).Draw(t, "share moves") == 0 {
				from, to := rapid.IntRange(0, vms-1).Draw(t, "from"), rapid.IntRange(0, vms-1).Draw(t, "to")
				if from != to {
					shares[from], shares[to] = 0, shares[to]+shares[from]
					budgets[from].SetShare(now, 0)
					budgets[to].SetShare(now, shares[to])
				}
			}
			for range rate {
				budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")].CountFirst(now, svc)
				firsts = append(firsts, now)
			}
			for range wanted {
				if budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")].Reserve(now, svc) {
					delay := time.Duration(rapid.IntRange(0, int(dgbudget.ArrivalDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
					extras = append(extras, now.Add(delay))
				}
			}
		}
		for _, end := range extras {
			start := end.Add(-window)
			first, extra := countBetween(firsts, start, end), countBetween(extras, start, end)
			halfEarlier := countBetween(firsts, start.Add(-window/2), end.Add(-window/2))
			previous := countBetween(firsts, start.Add(-window), start)
			limit := ratio*float64(max(first, halfEarlier, previous)) + slack
			if float64(extra) > limit {
				t.Fatalf("window that ends at %v: %d extra requests for %d first requests, limit %.1f", end, extra, first, limit)
			}
		}
	})
}

func countBetween(times []dandeliongap.Instant, from, to dandeliongap.Instant) int {
	n := 0
	for _, t := range times {
		if t >= from && t <= to {
			n++
		}
	}
	return n
}

var _ = Describe("Budget", func() {
	It("U4 gives a process that replaces another one no share of the slack (guards against using the share twice)", func() {
		b := newBudget(false, 0)
		b.SetShare(0, 1.0/6)
		Expect(b.Reserve(0, svc)).To(BeFalse())
		for range 10 {
			b.CountFirst(0, svc)
		}
		Expect(b.Reserve(0, svc)).To(BeTrue())
		Expect(b.Reserve(0, svc)).To(BeFalse())
		Expect(b.Remaining(dandeliongap.Instant(window), "other")).To(BeNumerically("~", dgbudget.UsableShare*slack/6, 0.01))
	})
	It("U2 divides the slack by the maximum number of VMs in the last window (guards against a share that grows while the share of a lost VM may still be in use)", func() {
		b := newBudget(true, 0)
		b.SetShare(0, 1.0/6)
		b.SetShare(1, 1.0/2)
		Expect(b.Remaining(2, svc)).To(BeNumerically("~", dgbudget.UsableShare*slack/6, 0.01))
		Expect(b.Remaining(dandeliongap.Instant(window+time.Second), svc)).To(BeNumerically("~", dgbudget.UsableShare*slack/2, 0.01))
	})
	It("makes a released request available again", func() {
		b := newBudget(true, 0)
		reserved := 0
		for b.Reserve(0, svc) {
			reserved++
		}
		Expect(reserved).To(Equal(46), "nine tenths of the slack, rounded down")
		b.Release(0, svc)
		Expect(b.Reserve(0, svc)).To(BeTrue())
	})
	It("releases a request in the bucket of its reservation (guards against a credit that outlives the reservation)", func() {
		b := newBudget(true, 0)
		const later = dandeliongap.Instant(700 * time.Millisecond)
		Expect(b.Reserve(0, svc)).To(BeTrue())
		Expect(b.Reserve(later, svc)).To(BeTrue())
		b.Release(0, svc)
		end := dandeliongap.Instant(window + dgbudget.ArrivalDelay).Add(200 * time.Millisecond)
		Expect(b.Remaining(end, svc)).To(BeNumerically("~", dgbudget.UsableShare*slack-1, 0.01))
	})
	It("keeps a budget for each service (guards against one slow service that uses up the budget of all)", func() {
		b := newBudget(true, 0)
		for b.Reserve(0, svc) {
		}
		for i := range 3 {
			Expect(b.Reserve(0, dandeliongap.ServiceName(fmt.Sprint(i)))).To(BeTrue())
		}
	})
})
