package dgrollout_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrollout"
)

// benchServices is the number of shards of a large deployment, each with its own order.
const benchServices = 225

// newBenchLocal returns the state of a VM with an open order for each of n services, whose
// versions have three replicas each.
func newBenchLocal(n int) (*dgrollout.Local, []dandeliongap.Instance) {
	l := dgrollout.NewLocal(limits)
	l.SetShare(0.1)
	var list, both []dandeliongap.Instance
	for s := range n {
		for v, version := range []dandeliongap.SoftwareVersion{oldVersion, newVersion} {
			for i := range 3 {
				in := dandeliongap.Instance{
					ID: dandeliongap.InstanceID(fmt.Sprintf("i-%d-%d-%d", s, v, i)), Service: dandeliongap.ServiceName(fmt.Sprint("shard-", s)),
					Zone: dandeliongap.ZoneName(fmt.Sprint("z", i)), Software: version,
				}
				if v == 0 {
					list = append(list, in)
				}
				both = append(both, in)
			}
		}
	}
	l.SetReplicas(0, list)
	for s := range n {
		l.SetOrder(0, dandeliongap.RolloutOrder{Service: dandeliongap.ServiceName(fmt.Sprint("shard-", s)), Target: newVersion, Duration: time.Minute, Version: 5})
	}
	l.SetReplicas(0, both)
	return l, both
}

// BenchmarkRequest measures the decisions about one request to a service with an open order.
func BenchmarkRequest(b *testing.B) {
	l, list := newBenchLocal(benchServices)
	b.ReportAllocs()
	for n := range b.N {
		now := dandeliongap.Instant(n) * dandeliongap.Instant(time.Microsecond)
		in := &list[n%len(list)]
		l.SetNews(now)
		l.Groups(now, in.Service, false)
		l.Sent(in)
		l.Ended(now, "route", in, now, false, dgrollout.Succeeded)
	}
}

// BenchmarkJudge measures a tick of a VM with open orders, twice a second.
func BenchmarkJudge(b *testing.B) {
	l, list := newBenchLocal(benchServices)
	for n := range len(list) * 10 {
		in := &list[n%len(list)]
		l.Sent(in)
		l.Ended(dandeliongap.Instant(n), "route", in, 0, false, dgrollout.Succeeded)
	}
	for n := range b.N {
		l.Judge(dandeliongap.Instant(n) * dandeliongap.Instant(dgrollout.TickInterval))
	}
}

// TestMemory guards against state of rollouts that does not fit on a VM when all shards of a
// deployment are rolled out at once.
func TestMemory(t *testing.T) {
	const maxControlMemory = 128 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l, list := newBenchLocal(2500)
	for n := range len(list) * 4 {
		in := &list[n%len(list)]
		l.Sent(in)
		l.Ended(dandeliongap.Instant(n), dandeliongap.RouteName(fmt.Sprint("route-", n%3)), in, 0, false, dgrollout.Succeeded)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d services with an open order take %.2f MB", 2500, float64(used)/(1<<20))
	if used > maxControlMemory {
		t.Errorf("%d bytes, want at most %d", used, maxControlMemory)
	}
	runtime.KeepAlive(l)
	runtime.KeepAlive(list)
}
