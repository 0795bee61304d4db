package dgstandin_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Backend", func() {
	var (
		b  *dgstandin.Backend
		wg sync.WaitGroup
	)
	start := func(o dgstandin.BackendOptions) {
		started, err := dgstandin.NewBackend(o)
		Expect(err).NotTo(HaveOccurred())
		b = started
		DeferCleanup(func() {
			_ = started.Close()
			wg.Wait()
		})
	}
	replica := dandeliongap.Replica{Slots: 2, ColdLimit: 1}
	// hold starts n requests that run until the server stops or cancels them.
	hold := func(n int) {
		GinkgoHelper()
		busy := b.Busy()
		b.SetServiceTime(dgstandin.ServiceTime{Base: time.Hour})
		for i := range n {
			wg.Go(func() { _, _ = ask("POST", b.Address(), "/query", "", id(1000+busy+i)) })
		}
		Eventually(b.Busy, patience).Should(Equal(busy + n))
		b.SetServiceTime(dgstandin.ServiceTime{})
	}
	query := func(headers ...string) reply {
		GinkgoHelper()
		return mustAsk("POST", b.Address(), "/query", "q", headers...)
	}

	It("counts requests above the slots and sheds them as not run", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		hold(2)
		Expect(b.Counters().SlotViolations).To(BeZero())
		r := query(id(1))
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		Expect(r.header.Get("Retry-After-Ms")).To(Equal("50"))
		n := b.Counters()
		Expect([]int64{n.SlotViolations, n.Shed, n.Runs, n.MostAtOnce}).To(Equal([]int64{1, 1, 2, 2}))
	})

	It("lets requests within the allowance wait for a slot and counts them too", func() {
		start(dgstandin.BackendOptions{Replica: replica, Queue: 1})
		hold(2)
		hold(1)
		Expect(b.Counters().Runs).To(BeEquivalentTo(2))
		Expect(b.Counters().SlotViolations).To(BeEquivalentTo(1))
		Expect(mustAsk("DELETE", b.Address(), "/query/1000", "").status).To(Equal(200))
		Eventually(func() int64 { return b.Counters().Runs }, patience).Should(BeEquivalentTo(3))
	})

	It("counts and closes connections above the limit", func() {
		o := dgstandin.BackendOptions{Replica: replica}
		o.Replica.Connections = 2
		start(o)
		for range 3 {
			c, err := net.Dial("tcp", b.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		Eventually(func() int64 { return b.Counters().ConnectionViolations }, patience).Should(BeEquivalentTo(1))
		Expect(b.OpenConnections()).To(Equal(2))
	})

	It("excuses requests above the cold limit that the owner could not avoid and counts all others", func() {
		o := dgstandin.BackendOptions{Replica: replica, ColdFactor: 1}
		o.Replica.Slots = 3
		start(o)
		hold(1)
		b.TurnCold()
		Expect(query(id(1)).header.Get("Load-State")).To(Equal("cold"))
		Expect(query(id(2)).status).To(Equal(200))
		Expect(b.Counters().ColdViolations).To(BeZero())
		Expect(b.Counters().ColdUnannounced).To(BeEquivalentTo(2))
		query(id(3))
		Expect(b.Counters().ColdViolations).To(BeEquivalentTo(1))
	})

	It("sheds load well above the cold limit and does not warm up by it", func() {
		o := dgstandin.BackendOptions{Replica: replica, WarmAfter: 1, StartCold: true, ColdFactor: 1}
		o.Replica.Slots = 3
		start(o)
		hold(2)
		Expect(query(id(1)).status).To(Equal(503))
		Expect(b.Cold()).To(BeTrue())
	})

	It("becomes warm after the set number of answers", func() {
		start(dgstandin.BackendOptions{Replica: replica, WarmAfter: 2, StartCold: true})
		query(id(1))
		Expect(b.Cold()).To(BeTrue())
		Expect(query(id(2)).header.Get("Load-State")).To(Equal("warm"))
		Expect(b.Counters().ColdViolations).To(BeZero())
	})

	It("counts new work in a taken-out zone and while draining, after the grace only", func() {
		start(dgstandin.BackendOptions{Replica: replica, Grace: -1})
		b.SetZoneOut(true)
		Expect(query(id(1)).status).To(Equal(200))
		b.SetZoneOut(false)
		b.SetDraining(true)
		r := query(id(2))
		Expect([]string{r.header.Get("Draining"), r.header.Get("Not-Run")}).To(Equal([]string{"true", "true"}))
		n := b.Counters()
		Expect([]int64{n.ZoneViolations, n.LeavingViolations, n.Runs}).To(Equal([]int64{1, 1, 1}))
		start(dgstandin.BackendOptions{Replica: replica, Grace: time.Hour})
		b.SetZoneOut(true)
		b.SetDraining(true)
		query(id(3))
		Expect(b.Counters().Violations()).To(BeZero())
	})

	It("counts an action that runs more than once, over a fleet", func() {
		d := &dandeliongap.Deployment{Services: map[dandeliongap.ServiceName]*dandeliongap.Service{
			"s": {Replicas: []dandeliongap.Replica{{ID: "s/0", Service: "s"}, {ID: "s/1", Service: "s"}}},
		}}
		f, err := dgstandin.NewFleet(d, dgstandin.FleetOptions{FreePorts: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		f.Backend("s/0").SetFaults(dgstandin.BackendFaults{ShedNext: 1})
		for i, server := range []dandeliongap.ReplicaID{"s/0", "s/0", "s/1"} {
			mustAsk("POST", f.Addresses()[server], "/query", "", id(i), "Idempotency-Key: k")
			Expect(f.RunCounts().Runs("k")).To(Equal(i))
		}
		Expect(f.Counters().DuplicateRuns).To(BeEquivalentTo(1))
	})

	It("answers a DELETE only when the slot is free", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		const rounds = 100 // a free slot can be early by chance in one of them
		for range rounds {
			hold(1)
			Expect(mustAsk("DELETE", b.Address(), "/query/1000", "").status).To(Equal(200))
			Expect(b.Busy()).To(BeZero())
		}
		Expect(b.Counters().Cancelled).To(BeEquivalentTo(rounds))
	})

	It("does not run a request whose DELETE overtook it", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		Expect(mustAsk("DELETE", b.Address(), "/query/5", "").status).To(Equal(404))
		r := query(id(5))
		Expect(r.status).To(Equal(499))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		Expect(b.Counters().Runs).To(BeZero())
	})

	It("refuses a request after its deadline and gives up running at it", func() {
		start(dgstandin.BackendOptions{Replica: replica, ServiceTime: dgstandin.ServiceTime{Base: time.Hour}})
		r := query(id(1), deadline(-time.Second))
		Expect(r.status).To(Equal(504))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		r = query(id(2), deadline(20*time.Millisecond))
		Expect(r.status).To(Equal(504))
		Expect(r.header).NotTo(HaveKey("Not-Run"))
		Expect(b.Busy()).To(BeZero())
	})

	It("answers from the index version with its parts and refuses others", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.HoldVersion(7, []dandeliongap.PartID{3, 4})
		r := query(id(1), "Index-Version: 7")
		Expect(r.header.Get("Index-Version")).To(Equal("7"))
		Expect(strings.Count(r.body, `"Part":`)).To(Equal(2))
		Expect(query(id(2), "Index-Version: 7").body).To(Equal(r.body))
		b.ReleaseVersion(7)
		r = query(id(3), "Index-Version: 7")
		Expect(r.status).To(Equal(410))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
	})

	It("shows the set faults of answers", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.SetFaults(dgstandin.BackendFaults{WrongRequestIDNext: 1, WrongVersionNext: 1})
		r := query(id(1))
		Expect(r.header.Get("Request-Id")).NotTo(Equal("1"))
		Expect(r.header.Get("Index-Version")).To(Equal("1"))
		for _, f := range []dgstandin.BackendFaults{{TruncateNext: 1}, {LoseNext: 1}} {
			b.SetFaults(f)
			_, err := ask("POST", b.Address(), "/query", "q", id(2))
			Expect(err).To(HaveOccurred())
		}
	})

	It("reports a lagging health state", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.SetFaults(dgstandin.BackendFaults{HealthLag: time.Hour})
		b.SetDraining(true)
		Expect(mustAsk("GET", b.Address(), "/health", "").body).To(ContainSubstring("warm"))
		b.SetFaults(dgstandin.BackendFaults{})
		Expect(mustAsk("GET", b.Address(), "/health", "").body).To(ContainSubstring("draining"))
	})

	It("loses its requests on Stop and returns cold on the same address", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		addr := b.Address()
		hold(1)
		b.Stop()
		wg.Wait()
		Expect(b.Busy()).To(BeZero())
		_, err := ask("GET", addr, "/health", "")
		Expect(err).To(HaveOccurred())
		Expect(b.Start()).To(Succeed())
		Expect(b.Address()).To(Equal(addr))
		Expect(b.Cold()).To(BeTrue())
	})

	It("runs 123 servers with two goroutines each at most and closes all", func() {
		s := &dandeliongap.Service{}
		for i := range 123 {
			s.Replicas = append(s.Replicas, dandeliongap.Replica{ID: dandeliongap.ReplicaID(fmt.Sprint("s/", i)), Service: "s", Zone: "a"})
		}
		before := runtime.NumGoroutine()
		f, err := dgstandin.NewFleet(&dandeliongap.Deployment{
			Services: map[dandeliongap.ServiceName]*dandeliongap.Service{"s": s},
		}, dgstandin.FleetOptions{FreePorts: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		Expect(runtime.NumGoroutine() - before).To(BeNumerically("<=", 2*123))
		Expect(f.InZone("a")).To(HaveLen(123))
		f.HoldSnapshot(dandeliongap.Snapshot{Version: 4, Shards: []dandeliongap.Shard{{Service: "s", Parts: []dandeliongap.PartID{8}}}})
		for _, addr := range f.Addresses() {
			Expect(mustAsk("POST", addr, "/query", "", id(1), "Index-Version: 4").body).To(ContainSubstring(`"Part":8`))
		}
		Expect(f.Counters().Runs).To(BeEquivalentTo(123))
		http.DefaultClient.CloseIdleConnections()
	})
})
