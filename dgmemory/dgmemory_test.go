package dgmemory_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmemory"
)

const now = dandeliongap.Instant(time.Minute)

func ago(d time.Duration) dandeliongap.Instant { return now - dandeliongap.Instant(d) }

// TestPlan guards against parts that exceed the memory together (M1), and against limits that
// nobody has set.
func TestPlan(t *testing.T) {
	g := NewWithT(t)
	const memory = 184 << 20
	p := dgmemory.NewPlan(dgmemory.Limits{MemoryBytes: memory, Sockets: 3900})
	g.Expect(p.AccountBytes + p.ResponseBytes).To(BeNumerically("<", p.RuntimeBytes))
	g.Expect(p.RuntimeBytes).To(BeNumerically("<", memory))
	none := dgmemory.NewPlan(dgmemory.Limits{})
	g.Expect([]int64{none.AccountBytes, none.ResponseBytes, none.RuntimeBytes}).To(HaveEach(BeZero()))
	a := dgmemory.NewAccount(none.AccountBytes)
	g.Expect(a.Missing(1<<40, 1<<40)).To(BeZero())
}

// TestSockets guards against a small limit of descriptors that counts as none.
func TestSockets(t *testing.T) {
	g := NewWithT(t)
	g.Expect(dgmemory.SocketsOf(4100)).To(BeEquivalentTo(3900))
	g.Expect(dgmemory.SocketsOf(128)).To(BeEquivalentTo(64))
	g.Expect(dgmemory.SocketsOf(0)).To(BeZero())
}

// TestLegalRequest guards against limits that refuse a single request within the limits of
// the configuration on the smallest VM (M3).
func TestLegalRequest(t *testing.T) {
	const head, body = 16384, 262144
	a := dgmemory.NewAccount(dgmemory.NewPlan(dgmemory.Limits{MemoryBytes: 184 << 20}).AccountBytes)
	a.Add(dgmemory.ConnBytes)
	held := dgmemory.HeadBytes(head, head/2) + dgmemory.BodyBytes(body)
	NewWithT(t).Expect(a.Missing(held, held)).To(BeZero())
}

// TestProgress guards against heads whose time is extended by what arrives (M6).
func TestProgress(t *testing.T) {
	g := NewWithT(t)
	g.Expect(dgmemory.ReceiveTime(3*time.Second, 0)).To(Equal(3 * time.Second))
	g.Expect(dgmemory.ReceiveTime(3*time.Second, 32<<10)).To(Equal(5 * time.Second))
}

// TestOrder guards against ordinary callers that are refused before those that hold much and
// progress least (M4), and against requests that are ended while they run (M5).
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	const mb = 1 << 20
	holders := []dgmemory.Holder{
		{Phase: dgmemory.Running, Held: 9 * mb, Since: ago(time.Second)},
		{Phase: dgmemory.Idle, Since: ago(2 * time.Second)},
		{Phase: dgmemory.Receiving, Held: mb, Received: mb, Since: ago(time.Second)},
		{Phase: dgmemory.Receiving, Held: mb, Received: 5000, Since: ago(time.Second)},
		{Phase: dgmemory.Lingering, Since: ago(200 * time.Millisecond)},
		{Phase: dgmemory.Receiving, Since: ago(time.Second)},
	}
	a := dgmemory.NewAccount(8 * mb)
	g.Expect(a.Victims(now, holders, -1, 0, mb)).To(Equal([]int{3}))
	g.Expect(a.Victims(now, holders, -1, 0, 2*mb)).To(Equal([]int{3, 2}))
	g.Expect(a.Victims(now, holders, -1, 0, 3*mb)).To(Equal([]int{3, 2, 1, 5, 4}))
	g.Expect(a.Victims(now, holders, 2, 2*mb, mb)).To(Equal([]int{3}), "one that holds much, for another")
	g.Expect(a.Victims(now, holders, 3, 2*mb, mb)).To(BeEmpty(), "the first that would be ended is itself")
	g.Expect(dgmemory.Oldest(now, holders, 1)).To(Equal([]int{1}))
	holders[4].Since = ago(3 * time.Second)
	g.Expect(dgmemory.Oldest(now, holders, 1)).To(Equal([]int{4}), "one whose caller has its last response and stays")
	g.Expect(dgmemory.Oldest(now, holders[:1], 1)).To(BeEmpty(), "all run")
}

// TestReserve guards against requests that hold much and leave nothing for small ones (M3).
func TestReserve(t *testing.T) {
	g := NewWithT(t)
	a := dgmemory.NewAccount(1000)
	a.Add(700)
	g.Expect(a.Missing(100, 100)).To(BeEquivalentTo(50))
	g.Expect(a.Missing(100, 0)).To(BeZero())
}

// TestAccount guards, over random sequences, against more than the limit being held while
// nothing runs, and against victims that run.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40 * dgmemory.ConnBytes
		a := dgmemory.NewAccount(limit)
		var holders []dgmemory.Holder
		at := dandeliongap.Instant(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += dandeliongap.Instant(rapid.IntRange(0, 1000).Draw(t, "ms")) * dandeliongap.Instant(time.Millisecond)
			self, held := -1, int64(0)
			if len(holders) > 0 && rapid.Bool().Draw(t, "grow") {
				self = rapid.IntRange(0, len(holders)-1).Draw(t, "self")
				if holders[self].Phase != dgmemory.Receiving {
					continue
				}
				held = holders[self].Held + int64(rapid.IntRange(1, 1<<20).Draw(t, "bytes"))
			}
			need := int64(dgmemory.ConnBytes)
			if self >= 0 {
				need = held - holders[self].Held
			}
			var gone []int
			if missing := a.Missing(need, held); missing > 0 {
				gone = a.Victims(at, holders, self, held, missing)
			}
			for _, i := range gone {
				if i == self || holders[i].Phase == dgmemory.Running {
					t.Fatalf("ends %+v for %d", holders[i], self)
				}
				a.Add(-holders[i].Held - dgmemory.ConnBytes)
			}
			if a.Missing(need, held) == 0 {
				a.Add(need)
				if self >= 0 {
					holders[self].Held = held
				} else {
					phase := rapid.SampledFrom([]dgmemory.Phase{dgmemory.Idle, dgmemory.Receiving, dgmemory.Running, dgmemory.Lingering}).Draw(t, "phase")
					holders = append(holders, dgmemory.Holder{Phase: phase, Since: at})
				}
			}
			slices.Sort(gone)
			for _, i := range slices.Backward(gone) {
				holders = slices.Delete(holders, i, i+1)
			}
			if a.Used() > limit || a.Used() < 0 {
				t.Fatalf("%d of %d bytes", a.Used(), limit)
			}
		}
	})
}
