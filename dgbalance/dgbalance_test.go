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

func init() { dgproperty.Fix(1, 300) }

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

func inst(id string) dandeliongap.Instance {
	return dandeliongap.Instance{ID: dandeliongap.InstanceID(id), Service: svc, Zone: "z-" + dandeliongap.ZoneName(id), Slots: 3}
}

type rig struct {
	b     *dgbalance.Balancer
	limit dandeliongap.ServiceLimits
	out   map[dandeliongap.ZoneName]bool
	vms   []dandeliongap.VMName
}

func newRig() *rig {
	r := &rig{b: dgbalance.New("vm", rand.New(rand.NewPCG(1, 1))), limit: dandeliongap.ServiceLimits{Connections: 100}, vms: []dandeliongap.VMName{"vm"}}
	r.update(0, inst("a"), inst("b"))
	return r
}

func (r *rig) update(now dandeliongap.Instant, list ...dandeliongap.Instance) {
	r.b.Update(now, list, map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{svc: r.limit}, r.out, r.vms)
}

// play sends one request that takes as long as took says and returns its replica.
func (r *rig) play(now dandeliongap.Instant, took func(id string) time.Duration, res dgbalance.Result) string {
	t, _, err := r.b.Pick(now, route, svc, nil, nil)
	if err != nil {
		return ""
	}
	id := string(t.Instance.ID)
	r.b.Done(now.Add(took(id)), route, &t, res)
	return id
}

func steady(string) time.Duration { return 30 * time.Millisecond }

var _ = Describe("Balancer", func() {
	It("R1 uses no replica that drains, lies in a zone taken out, or was used (guards against work for what leaves)", func() {
		r := newRig()
		leaving := inst("a")
		leaving.Draining = true
		r.update(0, leaving, inst("b"))
		for range 20 {
			Expect(r.play(0, steady, dgbalance.Answered)).To(Equal("b"))
		}
		r.out = map[dandeliongap.ZoneName]bool{"z-b": true}
		r.update(0, leaving, inst("b"))
		_, _, err := r.b.Pick(0, route, svc, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
		Expect(r.b.Availability(0, svc)).To(Equal(dgbalance.None))
		r.out = nil
		r.update(0, leaving, inst("b"))
		_, _, err = r.b.Pick(0, route, svc, []dandeliongap.InstanceID{"b"}, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
	})
	It("R3 and R4 leave a slow replica and return to it (guards against sending half of all requests to it)", func() {
		r := newRig()
		slow := func(id string) time.Duration {
			if id == "a" {
				return 300 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		count := func(from, to int, took func(string) time.Duration) (a int) {
			for at := from; at < to; at += 50 {
				if r.play(ms(at), took, dgbalance.Answered) == "a" {
					a++
				}
			}
			return a
		}
		count(0, 1000, steady)
		Expect(count(1000, 5000, slow)).To(BeNumerically("<=", 16), "of 80 requests")
		Expect(count(8000, 12000, steady)).To(BeNumerically(">=", 24), "of 80 requests")
	})
	It("R3 prefers a replica that has not lost the request, unless that one is much slower or out of use (guards against a second attempt at a replica that fails all requests)", func() {
		r := newRig()
		again := func(now dandeliongap.Instant) dandeliongap.InstanceID {
			tk, _, err := r.b.Pick(now, route, svc, nil, []dandeliongap.InstanceID{"a"})
			Expect(err).NotTo(HaveOccurred())
			r.b.Done(now, route, &tk, dgbalance.Refused)
			return tk.Instance.ID
		}
		for range 50 {
			r = newRig() // knows nothing of either
			Expect(again(ms(1))).To(BeEquivalentTo("b"))
		}
		r = newRig()
		now := ms(1000)
		for range 20 {
			r.play(now, steady, dgbalance.Answered)
			now = now.Add(20 * time.Millisecond)
		}
		for range 3 { // b answers twenty times as slowly
			tk, _, err := r.b.Pick(now, route, svc, []dandeliongap.InstanceID{"a"}, nil)
			Expect(err).NotTo(HaveOccurred())
			now = now.Add(600 * time.Millisecond)
			r.b.Done(now, route, &tk, dgbalance.Answered)
		}
		Expect(again(now)).To(BeEquivalentTo("a"))
		r.update(now, inst("a"))
		Expect(again(now)).To(BeEquivalentTo("a"))
	})
	It("R4 counts the age of requests under way (guards against a paused replica that looks fast)", func() {
		r := newRig()
		for at := range 20 {
			r.play(ms(at*50), steady, dgbalance.Answered)
		}
		t, _, err := r.b.Pick(ms(1000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for range 8 {
			Expect(r.play(ms(1200), steady, dgbalance.Answered)).NotTo(Equal(string(t.Instance.ID)))
		}
	})
	It("R5 leaves a replica that refuses connections for longer each time, with one request to try (guards against a storm on a server that starts)", func() {
		r := newRig()
		r.update(0, inst("a"))
		tries := 0
		for at := range 2000 {
			if r.play(ms(at), func(string) time.Duration { return 0 }, dgbalance.ConnectFailed) != "" {
				tries++
			}
		}
		Expect(tries).To(BeNumerically("<=", 7))
		Expect(r.b.Availability(ms(2000), svc)).To(Equal(dgbalance.Down))
		t, _, err := r.b.Pick(ms(4000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Probe).To(BeTrue())
		_, _, err = r.b.Pick(ms(4001), route, svc, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
		r.b.Done(ms(4002), route, &t, dgbalance.Answered)
		Expect(r.b.Availability(ms(4003), svc)).To(Equal(dgbalance.Usable))
	})
	It("R6 gives a silent replica one request at a time (guards against all callers waiting for a dark replica)", func() {
		r := newRig()
		r.update(0, inst("a"))
		_, _, err := r.b.Pick(0, route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		sent := 0
		for at := 401; at < 1401; at++ {
			if _, _, err := r.b.Pick(ms(at), route, svc, nil, nil); err == nil {
				sent++
			}
		}
		Expect(sent).To(Equal(4))
	})
	It("R6 remembers the silence of requests that were given up (guards against a dark replica that gets a request from each caller; inc-83ae)", func() {
		r := newRig()
		r.update(0, inst("a"))
		sent, last := 0, dgbalance.Assignment{}
		for at := 1; at < 4000; at += 10 {
			t, _, err := r.b.Pick(ms(at), route, svc, nil, nil)
			if err != nil {
				continue
			}
			sent++
			last = t
			r.b.Done(ms(at+200), route, &t, dgbalance.Abandoned)
		}
		Expect(sent).To(BeNumerically("<=", 40+16), "before the silence is noticed, then four a second")
		Expect(last.Probe).To(BeTrue())
		r.b.Done(ms(4000), route, &last, dgbalance.Answered)
		for at := 4001; at < 5000; at += 50 {
			Expect(r.play(ms(at), steady, dgbalance.Answered)).To(Equal("a"))
		}
	})
	It("R6 goes on with a replica that hangs only some requests (guards against losing all of a shard whose only replica does so; day replicas)", func() {
		r := newRig()
		r.update(0, inst("a"))
		for at := range 20 {
			r.play(ms(at*50), steady, dgbalance.Answered)
		}
		_, _, err := r.b.Pick(ms(1000), route, svc, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for at := 1000; at < 5000; at += 50 {
			Expect(r.play(ms(at), steady, dgbalance.Answered)).To(Equal("a"))
		}
	})
	It("R8 sends nothing more to an address that another instance has (guards against requests that count at a service they are not for; matrita-cauta trouble-1, seed 1098263257934)", func() {
		r := newRig()
		r.update(0, inst("a"))
		Expect(r.play(0, steady, dgbalance.WrongInstance)).To(Equal("a"))
		Expect(r.b.Availability(ms(31), svc)).To(Equal(dgbalance.None))
		for at := 31; at < 5000; at += 10 {
			Expect(r.play(ms(at), steady, dgbalance.WrongInstance)).To(BeEmpty())
		}
		again := inst("a")
		again.StartUnixMs = 5
		r.update(ms(1000), again)
		Expect(r.play(ms(1001), steady, dgbalance.Answered)).To(Equal("a"))
	})
	It("tells what a request changed about its replica, once (guards against a replica that goes down or comes back without a line in the log)", func() {
		r := newRig()
		r.update(0, inst("a"))
		try := func(now dandeliongap.Instant, result dgbalance.Result) dgbalance.Change {
			tk, _, err := r.b.Pick(now, route, svc, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			return r.b.Done(now, route, &tk, result)
		}
		Expect(try(ms(1), dgbalance.Answered)).To(Equal(dgbalance.Unchanged))
		Expect(try(ms(2), dgbalance.ConnectFailed)).To(Equal(dgbalance.WentDown))
		Expect(try(ms(1000), dgbalance.ConnectFailed)).To(Equal(dgbalance.Unchanged))
		Expect(try(ms(3000), dgbalance.Answered)).To(Equal(dgbalance.Recovered))
		Expect(try(ms(3001), dgbalance.WrongInstance)).To(Equal(dgbalance.AddressReassigned))
	})
	It("keeps what it learned when the replica stays and forgets it when the replica starts again (guards against routing by the past of another process)", func() {
		r := newRig()
		r.update(0, inst("a"))
		r.play(0, steady, dgbalance.ConnectFailed)
		r.update(ms(1), inst("a"))
		Expect(r.b.Availability(ms(2), svc)).To(Equal(dgbalance.Down))
		again := inst("a")
		again.StartUnixMs = 77
		r.update(ms(3), again)
		Expect(r.b.Availability(ms(4), svc)).To(Equal(dgbalance.Usable))
	})
})

// TestDeal guards against connections of all VMs together above what a replica
// accepts, and against a VM without a connection to a service while there are
// enough for all.
func TestDeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 70).Draw(t, "vms")
		connections := rapid.IntRange(1, 200).Draw(t, "connections")
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		var vms []dandeliongap.VMName
		for i := range n {
			vms = append(vms, dandeliongap.VMName(fmt.Sprintf("vm-%d", i)))
		}
		total := make([]int, replicas)
		least, most := 1<<30, 0
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
				t.Fatalf("%d connections of replica %d, which accepts %d", total[i], i, connections)
			}
		}
		if most-least > 1 {
			t.Fatalf("VMs have %d to %d connections", least, most)
		}
		if least == 0 && n <= replicas*(connections*9/10) {
			t.Fatalf("a VM has no connection of %d x %d", replicas, connections)
		}
		if n <= replicas*(connections/2)/2 && total[0] > max(1, connections/2) {
			t.Fatalf("%d of %d connections are used, although half are enough", total[0], connections)
		}
	})
}

var _ = It("R2 keeps to the dealt connections", func() {
	r := newRig()
	r.limit.Connections = 20
	r.vms = []dandeliongap.VMName{"vm", "vm-2"}
	r.update(0, inst("a"), inst("b"))
	sent := 0
	for {
		if _, _, err := r.b.Pick(0, route, svc, nil, nil); err != nil {
			break
		}
		sent++
	}
	Expect(sent).To(Equal(10))
})

// TestCold guards against more requests to a cold replica than it tolerates,
// summed over all VMs, in any second.
func TestCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		rate := float64(rapid.IntRange(4, 60).Draw(t, "rate"))
		var vms []dandeliongap.VMName
		for i := range n {
			vms = append(vms, dandeliongap.VMName(fmt.Sprintf("vm-%d", i)))
		}
		cold := inst("a")
		cold.ColdRemaining = time.Minute
		var at []dandeliongap.Instant
		for i := range vms {
			b := dgbalance.New(vms[i], rand.New(rand.NewPCG(1, uint64(i))))
			limits := map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{svc: {ColdRate: rate}}
			b.Update(0, []dandeliongap.Instance{cold}, limits, nil, vms)
			for now := ms(1); now < ms(3000); now = now.Add(2 * time.Millisecond) {
				if tk, _, err := b.Pick(now, route, svc, nil, nil); err == nil {
					at = append(at, now)
					b.Done(now, route, &tk, dgbalance.Answered)
				}
			}
		}
		for _, end := range at {
			got := 0
			for _, x := range at {
				if x <= end && x > end-ms(1000) {
					got++
				}
			}
			if limit := rate*1.5 + 5; float64(got) > limit {
				t.Fatalf("%d VMs sent %d requests in a second, limit %.0f", n, got, limit)
			}
		}
	})
}
