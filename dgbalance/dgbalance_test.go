package dgbalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(1, 300) }

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgbalance")
}

const (
	svc   = dandeliongap.ServiceName("s")
	route = dandeliongap.RouteName("r")
)

func ms(n int) dandeliongap.Instant {
	return dandeliongap.Instant(n) * dandeliongap.Instant(time.Millisecond)
}

// newInstance returns an instance in a zone of its own, named "z-" and the id.
func newInstance(id string) dandeliongap.Instance {
	return dandeliongap.Instance{ID: dandeliongap.InstanceID(id), Service: svc, Zone: "z-" + dandeliongap.ZoneName(id), Slots: 3}
}

// fixture is a balancer with the inputs that update passes to it.
type fixture struct {
	b        *dgbalance.Balancer
	limit    dandeliongap.ServiceLimits
	zonesOut map[dandeliongap.ZoneName]bool
	vms      []dandeliongap.VMName
}

// newFixture returns a balancer with the replicas a and b.
func newFixture() *fixture {
	f := &fixture{b: dgbalance.New("vm", "", rand.New(rand.NewPCG(1, 1))), limit: dandeliongap.ServiceLimits{Connections: 100}, vms: []dandeliongap.VMName{"vm"}}
	f.update(0, newInstance("a"), newInstance("b"))
	return f
}

func (f *fixture) update(now dandeliongap.Instant, list ...dandeliongap.Instance) {
	f.b.Update(now, list, map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{svc: f.limit}, f.zonesOut, f.vms)
}

// request sends a request, ends it with result after the latency of the selected
// replica, and returns the id of that replica; "" if no replica is usable.
func (f *fixture) request(now dandeliongap.Instant, latency func(id string) time.Duration, result dgbalance.Result) string {
	a, _, err := f.b.Pick(now, route, svc, nil, nil)
	if err != nil {
		return ""
	}
	id := string(a.Instance.ID)
	f.b.Done(now.Add(latency(id)), route, &a, result)
	return id
}

func constantLatency(string) time.Duration { return 30 * time.Millisecond }

var _ = Describe("Balancer", func() {
	It("R1 uses no replica that is draining, in a zone out of service, or excluded by the request (guards against requests to replicas that are leaving)", func() {
		f := newFixture()
		draining := newInstance("a")
		draining.Draining = true
		f.update(0, draining, newInstance("b"))
		for range 20 {
			Expect(f.request(0, constantLatency, dgbalance.Answered)).To(Equal("b"))
		}
		f.zonesOut = map[dandeliongap.ZoneName]bool{"z-b": true}
		f.update(0, draining, newInstance("b"))
		_, _, err := f.b.Pick(0, route, svc, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
		Expect(f.b.Availability(0, svc)).To(Equal(dgbalance.None))
		f.zonesOut = nil
		f.update(0, draining, newInstance("b"))
		_, _, err = f.b.Pick(0, route, svc, []dandeliongap.InstanceID{"b"}, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
	})
	It("R3 and R4 avoid a slow replica and return to it when it has recovered (guards against sending half of all requests to it)", func() {
		f := newFixture()
		slowA := func(id string) time.Duration {
			if id == "a" {
				return 300 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		countA := func(from, to int, latency func(string) time.Duration) (requests int) {
			for at := from; at < to; at += 50 {
				if f.request(ms(at), latency, dgbalance.Answered) == "a" {
					requests++
				}
			}
			return requests
		}
		countA(0, 1000, constantLatency)
		Expect(countA(1000, 5000, slowA)).To(BeNumerically("<=", 16), "of 80 requests")
		Expect(countA(8000, 12000, constantLatency)).To(BeNumerically(">=", 24), "of 80 requests")
	})
	It("R3 prefers a replica that has not failed the request, unless that one is much slower or unusable (guards against a second attempt at a replica that fails all requests)", func() {
		f := newFixture()
		pickAfterFailureOfA := func(now dandeliongap.Instant) dandeliongap.InstanceID {
			a, _, err := f.b.Pick(now, route, svc, nil, []dandeliongap.InstanceID{"a"})
			Expect(err).NotTo(HaveOccurred())
			f.b.Done(now, route, &a, dgbalance.Refused)
			return a.Instance.ID
		}
		for range 50 {
			f = newFixture() // without estimates
			Expect(pickAfterFailureOfA(ms(1))).To(BeEquivalentTo("b"))
		}
		f = newFixture()
		now := ms(1000)
		for range 20 {
			f.request(now, constantLatency, dgbalance.Answered)
			now = now.Add(20 * time.Millisecond)
		}
		for range 3 { // b is twenty times as slow
			a, _, err := f.b.Pick(now, route, svc, []dandeliongap.InstanceID{"a"}, nil)
			Expect(err).NotTo(HaveOccurred())
			now = now.Add(600 * time.Millisecond)
			f.b.Done(now, route, &a, dgbalance.Answered)
		}
		Expect(pickAfterFailureOfA(now)).To(BeEquivalentTo("a"))
		f.update(now, newInstance("a"))
		Expect(pickAfterFailureOfA(now)).To(BeEquivalentTo("a"))
	})
	It("R4 counts the age of requests in flight (guards against a paused replica that looks fast)", func() {
		f := newFixture()
		for at := range 20 {
			f.request(ms(at*50), constantLatency, dgbalance.Answered)
		}
		a, _, err := f.b.Pick(ms(1000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for range 8 {
			Expect(f.request(ms(1200), constantLatency, dgbalance.Answered)).NotTo(Equal(string(a.Instance.ID)))
		}
	})
	It("R5 backs off exponentially from a replica that refuses connections, then probes it with one request (guards against a flood of requests to a starting server)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		attempts := 0
		for at := range 2000 {
			if f.request(ms(at), func(string) time.Duration { return 0 }, dgbalance.ConnectFailed) != "" {
				attempts++
			}
		}
		Expect(attempts).To(BeNumerically("<=", 7))
		Expect(f.b.Availability(ms(2000), svc)).To(Equal(dgbalance.Down))
		a, _, err := f.b.Pick(ms(4000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Probe).To(BeTrue())
		_, _, err = f.b.Pick(ms(4001), route, svc, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
		f.b.Done(ms(4002), route, &a, dgbalance.Answered)
		Expect(f.b.Availability(ms(4003), svc)).To(Equal(dgbalance.Usable))
	})
	It("R13 learns nothing from a failure that is due to the request (guards against a caller that takes a replica from all others)", func() {
		f := newFixture()
		for at := range 20 {
			f.request(ms(at*20), constantLatency, dgbalance.Answered)
		}
		typical := f.b.TypicalLatency(route, 0)
		for at := 400; at < 600; at += 5 {
			a, _, err := f.b.Pick(ms(at), route, svc, []dandeliongap.InstanceID{"b"}, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(f.b.Done(ms(at+1), route, &a, dgbalance.Rejected)).To(Equal(dgbalance.Unchanged))
		}
		Expect(f.b.TypicalLatency(route, 0)).To(Equal(typical))
		count := 0
		for at := 600; at < 1600; at += 20 {
			if f.request(ms(at), constantLatency, dgbalance.Answered) == "a" {
				count++
			}
		}
		Expect(count).To(BeNumerically(">=", 15), "of 50 requests")
	})
	It("R13 takes such a failure for a response (guards against a replica that counts as unresponsive although it responds)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		for at := 0; at < 2000; at += 50 {
			Expect(f.request(ms(at), constantLatency, dgbalance.Rejected)).To(Equal("a"))
		}
		Expect(f.b.Availability(ms(2000), svc)).To(Equal(dgbalance.Usable))
	})
	It("R6 sends an unresponsive replica one request per ProbeInterval (guards against all callers waiting for it)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		_, _, err := f.b.Pick(0, route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		sent := 0
		for at := 401; at < 1401; at++ {
			if _, _, err := f.b.Pick(ms(at), route, svc, nil, nil); err == nil {
				sent++
			}
		}
		Expect(sent).To(Equal(4))
	})
	It("R6 counts abandoned requests as unanswered (guards against an unresponsive replica that gets a request from each caller; inc-83ae)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		sent, last := 0, dgbalance.Assignment{}
		for at := 1; at < 4000; at += 10 {
			a, _, err := f.b.Pick(ms(at), route, svc, nil, nil)
			if err != nil {
				continue
			}
			sent++
			last = a
			f.b.Done(ms(at+200), route, &a, dgbalance.Abandoned)
		}
		Expect(sent).To(BeNumerically("<=", 40+16), "before the replica counts as unresponsive, then four per second")
		Expect(last.Probe).To(BeTrue())
		f.b.Done(ms(4000), route, &last, dgbalance.Answered)
		for at := 4001; at < 5000; at += 50 {
			Expect(f.request(ms(at), constantLatency, dgbalance.Answered)).To(Equal("a"))
		}
	})
	It("R6 keeps using a replica that leaves only some requests unanswered (guards against losing a shard whose only replica does so; deploy/days/replicas.toml)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		for at := range 20 {
			f.request(ms(at*50), constantLatency, dgbalance.Answered)
		}
		_, _, err := f.b.Pick(ms(1000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for at := 1000; at < 5000; at += 50 {
			Expect(f.request(ms(at), constantLatency, dgbalance.Answered)).To(Equal("a"))
		}
	})
	It("R8 sends nothing more to an address that another instance uses (guards against load on a service that the requests are not for; matrita-cauta trouble-1, seed 1098263257934)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		Expect(f.request(0, constantLatency, dgbalance.WrongInstance)).To(Equal("a"))
		Expect(f.b.Availability(ms(31), svc)).To(Equal(dgbalance.None))
		for at := 31; at < 5000; at += 10 {
			Expect(f.request(ms(at), constantLatency, dgbalance.WrongInstance)).To(BeEmpty())
		}
		restarted := newInstance("a")
		restarted.StartUnixMs = 5
		f.update(ms(1000), restarted)
		Expect(f.request(ms(1001), constantLatency, dgbalance.Answered)).To(Equal("a"))
	})
	It("reports each change of a replica once (guards against a replica that goes down or recovers without a log line)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		requestOnce := func(now dandeliongap.Instant, result dgbalance.Result) dgbalance.Change {
			a, _, err := f.b.Pick(now, route, svc, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			return f.b.Done(now, route, &a, result)
		}
		Expect(requestOnce(ms(1), dgbalance.Answered)).To(Equal(dgbalance.Unchanged))
		Expect(requestOnce(ms(2), dgbalance.ConnectFailed)).To(Equal(dgbalance.WentDown))
		Expect(requestOnce(ms(1000), dgbalance.ConnectFailed)).To(Equal(dgbalance.Unchanged))
		Expect(requestOnce(ms(3000), dgbalance.Answered)).To(Equal(dgbalance.Recovered))
		Expect(requestOnce(ms(3001), dgbalance.WrongInstance)).To(Equal(dgbalance.AddressReassigned))
	})
	It("keeps the estimates of a replica across updates and drops them when the replica restarts (guards against balancing by the state of a previous process)", func() {
		f := newFixture()
		f.update(0, newInstance("a"))
		f.request(0, constantLatency, dgbalance.ConnectFailed)
		f.update(ms(1), newInstance("a"))
		Expect(f.b.Availability(ms(2), svc)).To(Equal(dgbalance.Down))
		restarted := newInstance("a")
		restarted.StartUnixMs = 77
		f.update(ms(3), restarted)
		Expect(f.b.Availability(ms(4), svc)).To(Equal(dgbalance.Usable))
	})
})

// TestConnectionShares guards against VMs that together open more connections than a
// replica accepts, and against a VM without a connection to a service although there
// are enough for all.
func TestConnectionShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 70).Draw(t, "vms")
		connections := rapid.IntRange(1, 200).Draw(t, "connections")
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		var vms []dandeliongap.VMName
		for i := range n {
			vms = append(vms, dandeliongap.VMName(fmt.Sprintf("vm-%d", i)))
		}
		total := make([]int, replicas) // connections of all VMs to each replica
		least, most := 1<<30, 0        // connections of a VM to all replicas
		for _, vm := range vms {
			sum := 0
			for i, share := range dgbalance.ConnectionShares(svc, vm, vms, replicas, connections) {
				total[i] += share
				sum += share
			}
			least, most = min(least, sum), max(most, sum)
		}
		for i := range total {
			if total[i] > max(1, connections*9/10) {
				t.Fatalf("%d connections to replica %d, of the %d that it accepts", total[i], i, connections)
			}
		}
		if most-least > 1 {
			t.Fatalf("the VMs have between %d and %d connections each; want a difference of at most 1", least, most)
		}
		if least == 0 && n <= replicas*(connections*9/10) {
			t.Fatalf("a VM has no connection, although %d replicas accept %d each", replicas, connections)
		}
		if n <= replicas*(connections/2)/2 && total[0] > max(1, connections/2) {
			t.Fatalf("%d of %d connections to a replica are allocated, although half are enough", total[0], connections)
		}
	})
}

var _ = It("R2 sends no more concurrent requests than this VM's share of the connections", func() {
	f := newFixture()
	f.limit.Connections = 20
	f.vms = []dandeliongap.VMName{"vm", "vm-2"}
	f.update(0, newInstance("a"), newInstance("b"))
	sent := 0
	for {
		if _, _, err := f.b.Pick(0, route, svc, nil, nil); err != nil {
			break
		}
		sent++
	}
	Expect(sent).To(Equal(10))
})

// TestColdRate guards against more requests in any second to a replica in cold start
// than it tolerates, summed over all VMs.
func TestColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		rate := float64(rapid.IntRange(4, 60).Draw(t, "rate"))
		var vms []dandeliongap.VMName
		for i := range n {
			vms = append(vms, dandeliongap.VMName(fmt.Sprintf("vm-%d", i)))
		}
		cold := newInstance("a")
		cold.ColdRemaining = time.Minute
		var sentAt []dandeliongap.Instant
		for i := range vms {
			b := dgbalance.New(vms[i], "", rand.New(rand.NewPCG(1, uint64(i))))
			limits := map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{svc: {ColdRate: rate}}
			b.Update(0, []dandeliongap.Instance{cold}, limits, nil, vms)
			for now := ms(1); now < ms(3000); now = now.Add(2 * time.Millisecond) {
				if a, _, err := b.Pick(now, route, svc, nil, nil); err == nil {
					sentAt = append(sentAt, now)
					b.Done(now, route, &a, dgbalance.Answered)
				}
			}
		}
		for _, end := range sentAt {
			sent := 0
			for _, x := range sentAt {
				if x <= end && x > end-ms(1000) {
					sent++
				}
			}
			if limit := rate*1.5 + 5; float64(sent) > limit {
				t.Fatalf("%d VMs sent %d requests in a second, limit %.0f", n, sent, limit)
			}
		}
	})
}

var _ = Describe("availability zones of replicas", func() {
	newZoned := func() *fixture {
		f := newFixture()
		f.b = dgbalance.New("vm", "z-a", rand.New(rand.NewPCG(1, 1)))
		f.update(0, newInstance("a"), newInstance("b"))
		return f
	}
	It("R11 keep requests in the zone of the VM while its replica is idle and fast (guards against traffic between zones that serves nobody)", func() {
		f := newZoned()
		for at := range 100 {
			Expect(f.request(ms(100*at), constantLatency, dgbalance.Answered)).To(Equal("a"))
		}
	})
	It("R11 give way to speed and load (guards against requests that wait for a replica only because it is near)", func() {
		f := newZoned()
		a, _, err := f.b.Pick(0, route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Instance.ID).To(BeEquivalentTo("a"))
		Expect(f.request(0, constantLatency, dgbalance.Answered)).To(Equal("b"), "while a has a request in flight")
		f.b.Done(ms(30), route, &a, dgbalance.Answered)
		slowA := func(id string) time.Duration {
			if id == "a" {
				return 300 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		toA := 0
		for at := 1000; at < 5000; at += 50 {
			if f.request(ms(at), slowA, dgbalance.Answered) == "a" {
				toA++
			}
		}
		Expect(toA).To(BeNumerically("<=", 16), "of 80 requests")
	})
	// The load of mnttla-ladder scale-1: replicas in every zone lose part of their responses.
	// A caller whose search lacks a part waits for a second attempt, or gets less.
	It("R3, R11 give way to reliability (guards against lost responses of a replica that is used only because it is near)", func() {
		const requests, lossPercent = 2000, 35
		lost, near := 0, 0
		for seed := range uint64(5) {
			f := newFixture()
			f.b = dgbalance.New("vm", "z-a", rand.New(rand.NewPCG(seed, 1)))
			f.update(0, newInstance("a"), newInstance("b"))
			losses := rand.New(rand.NewPCG(seed, 2))
			for i := range requests {
				a, _, err := f.b.Pick(ms(50*i), route, svc, nil, nil)
				Expect(err).NotTo(HaveOccurred())
				result := dgbalance.Answered
				if a.Instance.ID == "a" {
					near++
					if losses.IntN(100) < lossPercent {
						result = dgbalance.Failed
						lost++
					}
				}
				f.b.Done(ms(50*i+30), route, &a, result)
			}
		}
		Expect(lost).To(BeNumerically("<", 5*requests*lossPercent/100/2), "half of what is lost if the near replica gets all")
		Expect(near).To(BeNumerically(">", 5*requests/10), "it is tried, as it may have recovered")
	})
	It("R11 have no more than one request in flight in the zone of the VM while replicas elsewhere are idle", func() {
		for seed := range uint64(50) {
			f := newFixture()
			f.b = dgbalance.New("vm", "z-a", rand.New(rand.NewPCG(seed, 1)))
			f.update(0, newInstance("a"), newInstance("b"))
			first, _, err := f.b.Pick(0, route, svc, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(first.Instance.ID).To(BeEquivalentTo("a"))
			second, _, err := f.b.Pick(0, route, svc, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			third, _, err := f.b.Pick(0, route, svc, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect([]dandeliongap.InstanceID{second.Instance.ID, third.Instance.ID}).To(ContainElement(BeEquivalentTo("b")))
		}
	})
})
