package dgmemory_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgmemory"
)

// TestSharedSockets guards against searches and callers that together take more descriptors
// than the VM has (M10), and against one kind that keeps out the other.
func TestSharedSockets(t *testing.T) {
	g := NewWithT(t)
	s := dgmemory.NewSockets(1000)
	g.Expect(s.MissingForConn(400, 599)).To(BeZero())
	g.Expect(s.MissingForConn(400, 600)).To(BeNumerically(">=", 1))
	missing, ok := s.MissingForPlaces(90, 600, 300)
	g.Expect(ok).To(BeTrue())
	g.Expect(missing).To(BeZero(), "they are taken by idle connections to backend servers at most")
	missing, ok = s.MissingForPlaces(90, 700, 300)
	g.Expect(ok).To(BeTrue())
	g.Expect(missing).To(BeNumerically(">=", 90))
	_, ok = s.MissingForPlaces(90, 0, 700)
	g.Expect(ok).To(BeFalse(), "a quarter is for others than searches")
	missing, ok = s.MissingForPlaces(1, 100, 800)
	g.Expect(ok).To(BeTrue())
	g.Expect(missing).To(BeZero())
	missing, _ = s.MissingForPlaces(1, 200, 800)
	g.Expect(missing).To(BeNumerically(">=", 1))
	_, ok = s.MissingForPlaces(900, 100, 0)
	g.Expect(ok).To(BeTrue(), "one request alone gets what it needs")
	g.Expect(s.ExcessIdle(500, 500)).To(BeZero())
	g.Expect(s.ExcessIdle(500, 501)).To(BeNumerically(">=", 1))
	var none dgmemory.Sockets
	_, ok = none.MissingForPlaces(1<<40, 1<<40, 1)
	g.Expect(ok).To(BeTrue())
	g.Expect(none.MissingForConn(1<<40, 1)).To(BeZero())
}

// TestSharedPlan guards against descriptors that are given to two users (M10).
func TestSharedPlan(t *testing.T) {
	g := NewWithT(t)
	for _, sockets := range []int64{3900, 824, 312, 64, 8} {
		p := dgmemory.NewPlan(dgmemory.Limits{Sockets: sockets})
		conns := int64(0)
		for p.Sockets.MissingForConn(conns, 0) == 0 {
			conns++
		}
		g.Expect(conns).To(BeNumerically(">", 0))
		if sockets >= 312 {
			g.Expect(conns + 4*int64(p.OtherConns)).To(BeNumerically("<=", sockets-32))
		}
	}
}
