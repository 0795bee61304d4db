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
	// startRequests starts n requests that run until the server stops or they are
	// cancelled.
	startRequests := func(n int) {
		GinkgoHelper()
		busy := b.Busy()
		b.SetServiceTime(dgstandin.ServiceTime{Base: time.Hour})
		for i := range n {
			wg.Go(func() { _, _ = send("POST", b.Address(), "/query", "", requestIDHeader(1000+busy+i)) })
		}
		Eventually(b.Busy, eventTimeout).Should(Equal(busy + n))
		b.SetServiceTime(dgstandin.ServiceTime{})
	}
	query := func(headers ...string) response {
		GinkgoHelper()
		return mustSend("POST", b.Address(), "/query", "q", headers...)
	}

	It("counts a request that finds all slots taken and sheds it with Not-Run", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		startRequests(2)
		Expect(b.Counters().SlotViolations).To(BeZero())
		r := query(requestIDHeader(1))
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		Expect(r.header.Get("Retry-After-Ms")).To(Equal("50"))
		c := b.Counters()
		Expect([]int64{c.SlotViolations, c.Shed, c.Runs, c.MostAtOnce}).To(Equal([]int64{1, 1, 2, 2}))
	})

	It("queues requests up to Queue until a slot is free and counts them as slot violations", func() {
		start(dgstandin.BackendOptions{Replica: replica, Queue: 1})
		startRequests(2)
		startRequests(1)
		Expect(b.Counters().Runs).To(BeEquivalentTo(2))
		Expect(b.Counters().SlotViolations).To(BeEquivalentTo(1))
		Expect(mustSend("DELETE", b.Address(), "/query/1000", "").status).To(Equal(200))
		Eventually(func() int64 { return b.Counters().Runs }, eventTimeout).Should(BeEquivalentTo(3))
	})

	It("closes connections above the limit and counts them as violations", func() {
		o := dgstandin.BackendOptions{Replica: replica}
		o.Replica.Connections = 2
		start(o)
		for range 3 {
			c, err := net.Dial("tcp", b.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		Eventually(func() int64 { return b.Counters().ConnectionViolations }, eventTimeout).Should(BeEquivalentTo(1))
		Expect(b.OpenConnections()).To(Equal(2))
	})

	It("excuses requests above the cold limit that the owning VM could not avoid (C2) and counts further ones as violations", func() {
		o := dgstandin.BackendOptions{Replica: replica, ColdFactor: 1}
		o.Replica.Slots = 3
		start(o)
		startRequests(1)
		b.TurnCold()
		Expect(query(requestIDHeader(1)).header.Get("Load-State")).To(Equal("cold"))
		Expect(query(requestIDHeader(2)).status).To(Equal(200))
		Expect(b.Counters().ColdViolations).To(BeZero())
		Expect(b.Counters().ColdUnannounced).To(BeEquivalentTo(2))
		query(requestIDHeader(3))
		Expect(b.Counters().ColdViolations).To(BeEquivalentTo(1))
	})

	It("sheds requests two or more above the cold limit and does not count them towards WarmAfter", func() {
		o := dgstandin.BackendOptions{Replica: replica, WarmAfter: 1, StartCold: true, ColdFactor: 1}
		o.Replica.Slots = 3
		start(o)
		startRequests(2)
		Expect(query(requestIDHeader(1)).status).To(Equal(503))
		Expect(b.Cold()).To(BeTrue())
	})

	It("becomes warm after WarmAfter answers within the cold limit", func() {
		start(dgstandin.BackendOptions{Replica: replica, WarmAfter: 2, StartCold: true})
		query(requestIDHeader(1))
		Expect(b.Cold()).To(BeTrue())
		Expect(query(requestIDHeader(2)).header.Get("Load-State")).To(Equal("warm"))
		Expect(b.Counters().ColdViolations).To(BeZero())
	})

	It("counts new requests as violations in a taken-out zone or while draining, but only after Grace", func() {
		start(dgstandin.BackendOptions{Replica: replica, Grace: -1})
		b.SetZoneOut(true)
		Expect(query(requestIDHeader(1)).status).To(Equal(200))
		b.SetZoneOut(false)
		b.SetDraining(true)
		r := query(requestIDHeader(2))
		Expect([]string{r.header.Get("Draining"), r.header.Get("Not-Run")}).To(Equal([]string{"true", "true"}))
		c := b.Counters()
		Expect([]int64{c.ZoneViolations, c.LeavingViolations, c.Runs}).To(Equal([]int64{1, 1, 1}))
		start(dgstandin.BackendOptions{Replica: replica, Grace: time.Hour})
		b.SetZoneOut(true)
		b.SetDraining(true)
		query(requestIDHeader(3))
		Expect(b.Counters().Violations()).To(BeZero())
	})

	It("counts an action that runs more than once on the servers of a fleet", func() {
		d := &dandeliongap.Deployment{Services: map[dandeliongap.ServiceName]*dandeliongap.Service{
			"s": {Replicas: []dandeliongap.Replica{{ID: "s/0", Service: "s"}, {ID: "s/1", Service: "s"}}},
		}}
		f, err := dgstandin.NewFleet(d, dgstandin.FleetOptions{FreePorts: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		f.Backend("s/0").SetFaults(dgstandin.BackendFaults{ShedNext: 1})
		for i, server := range []dandeliongap.ReplicaID{"s/0", "s/0", "s/1"} {
			mustSend("POST", f.Addresses()[server], "/query", "", requestIDHeader(i), "Idempotency-Key: k")
			Expect(f.RunCounts().Runs("k")).To(Equal(i))
		}
		Expect(f.Counters().DuplicateRuns).To(BeEquivalentTo(1))
	})

	It("answers a DELETE only after the slot is free", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		const rounds = 100 // in a single round, a slot freed too late can go unnoticed
		for range rounds {
			startRequests(1)
			Expect(mustSend("DELETE", b.Address(), "/query/1000", "").status).To(Equal(200))
			Expect(b.Busy()).To(BeZero())
		}
		Expect(b.Counters().Cancelled).To(BeEquivalentTo(rounds))
	})

	It("does not run a request whose DELETE arrived first", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		Expect(mustSend("DELETE", b.Address(), "/query/5", "").status).To(Equal(404))
		r := query(requestIDHeader(5))
		Expect(r.status).To(Equal(499))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		Expect(b.Counters().Runs).To(BeZero())
	})

	It("refuses a request whose deadline has passed and stops running one at its deadline", func() {
		start(dgstandin.BackendOptions{Replica: replica, ServiceTime: dgstandin.ServiceTime{Base: time.Hour}})
		r := query(requestIDHeader(1), deadlineHeader(-time.Second))
		Expect(r.status).To(Equal(504))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
		r = query(requestIDHeader(2), deadlineHeader(20*time.Millisecond))
		Expect(r.status).To(Equal(504))
		Expect(r.header).NotTo(HaveKey("Not-Run"))
		Expect(b.Busy()).To(BeZero())
	})

	It("answers with the parts of the requested index version and refuses versions not held", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.HoldVersion(7, []dandeliongap.PartID{3, 4})
		r := query(requestIDHeader(1), "Index-Version: 7")
		Expect(r.header.Get("Index-Version")).To(Equal("7"))
		Expect(strings.Count(r.body, `"Part":`)).To(Equal(2))
		Expect(query(requestIDHeader(2), "Index-Version: 7").body).To(Equal(r.body))
		b.ReleaseVersion(7)
		r = query(requestIDHeader(3), "Index-Version: 7")
		Expect(r.status).To(Equal(410))
		Expect(r.header.Get("Not-Run")).To(Equal("true"))
	})

	It("injects the configured faults into answers", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.SetFaults(dgstandin.BackendFaults{WrongRequestIDNext: 1, WrongVersionNext: 1})
		r := query(requestIDHeader(1))
		Expect(r.header.Get("Request-Id")).NotTo(Equal("1"))
		Expect(r.header.Get("Index-Version")).To(Equal("1"))
		for _, f := range []dgstandin.BackendFaults{{TruncateNext: 1}, {LoseNext: 1}} {
			b.SetFaults(f)
			_, err := send("POST", b.Address(), "/query", "q", requestIDHeader(2))
			Expect(err).To(HaveOccurred())
		}
	})

	It("with HealthLag, reports an earlier health state", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		b.SetFaults(dgstandin.BackendFaults{HealthLag: time.Hour})
		b.SetDraining(true)
		Expect(mustSend("GET", b.Address(), "/health", "").body).To(ContainSubstring("warm"))
		b.SetFaults(dgstandin.BackendFaults{})
		Expect(mustSend("GET", b.Address(), "/health", "").body).To(ContainSubstring("draining"))
	})

	It("drops its requests on Stop and restarts cold on the same address", func() {
		start(dgstandin.BackendOptions{Replica: replica})
		addr := b.Address()
		startRequests(1)
		b.Stop()
		wg.Wait()
		Expect(b.Busy()).To(BeZero())
		_, err := send("GET", addr, "/health", "")
		Expect(err).To(HaveOccurred())
		Expect(b.Start()).To(Succeed())
		Expect(b.Address()).To(Equal(addr))
		Expect(b.Cold()).To(BeTrue())
	})

	It("runs 123 servers with at most two goroutines each and closes them all", func() {
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
			Expect(mustSend("POST", addr, "/query", "", requestIDHeader(1), "Index-Version: 4").body).To(ContainSubstring(`"Part":8`))
		}
		Expect(f.Counters().Runs).To(BeEquivalentTo(123))
		http.DefaultClient.CloseIdleConnections()
	})
})
