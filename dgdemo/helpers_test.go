package dgdemo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgdemo"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

const (
	// patience bounds waits for events that always come; it is no expected time.
	patience = time.Minute
	// rate is the load in requests per second.
	rate = 100
	// burst is the length of one piece of load; between two pieces it is decided
	// whether the load goes on.
	burst = 100 * time.Millisecond
	// zoneB is the zone that tests take out.
	zoneB = dandeliongap.ZoneName("zone-b")
	// search and dispatch are the groups of smallText.
	search   = dandeliongap.ServiceName("search")
	dispatch = dandeliongap.ServiceName("dispatch")
)

// smallText is a deployment of two groups with 16 replicas in 3 zones. Its
// deadlines are so long that no request meets them on a busy machine.
func smallText() string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = small\nzones = zone-a, zone-b, zone-c\nhedge extra = 5%\n")
	zones := []string{"zone-a", "zone-b", "zone-c"}
	port := 21000
	for _, g := range []struct {
		name, actions string
		leaves        int
	}{{"search", "no", 5}, {"dispatch", "yes", 3}} {
		fmt.Fprintf(&b, "[defaults %s-shard]\nclass = ordinary\ndeadline = 20s\npartial = yes\nactions = %s\n"+
			"slots = 3\nconnections = 30\nconnect cost = 1ms\ncold limit = 1\n", g.name, g.actions)
		var leaves []string
		for i := range g.leaves {
			leaf := fmt.Sprintf("%s-%d", g.name, i+1)
			leaves = append(leaves, leaf)
			fmt.Fprintf(&b, "[service %s]\nlike = %s-shard\nreplica 1 = 127.0.0.1:%d in %s\nreplica 2 = 127.0.0.1:%d in %s\n",
				leaf, g.name, port, zones[i%3], port+1, zones[(i+1)%3])
			port += 2
		}
		fmt.Fprintf(&b, "[service %s]\nlike = %s-shard\ndepends = %s\n", g.name, g.name, strings.Join(leaves, ", "))
	}
	return b.String()
}

// fixture is a running cluster with what tests need around it.
type fixture struct {
	*WithT
	*dgdemo.Cluster
	ctx    context.Context
	client *dgclient.Client
	runner *dgdemo.Runner
}

// clusterVMs is the least number of VMs that each test finds and leaves.
const clusterVMs = 6

// started is the cluster that the tests share, since its start takes seconds.
var started struct {
	cluster *dgdemo.Cluster
	log     pausableLog
}

// shared returns the cluster, started by the first test that needs it, with all
// VMs serving. Each test leaves the platform well and all VMs replaced that it
// stopped.
func shared(t testing.TB) *fixture {
	t.Helper()
	if started.cluster == nil {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		cluster, err := dgdemo.NewCluster(ctx, dgdemo.ClusterOptions{
			Text: smallText(), VMs: clusterVMs, Seed: 1, Service: dgdemo.ServiceTime, Log: &started.log,
		})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		started.cluster = cluster
	}
	f := use(t, started.cluster)
	f.until("every VM serves", f.Ready)
	return f
}

func TestMain(m *testing.M) {
	code := m.Run()
	if started.cluster != nil {
		if err := started.cluster.Close(); err != nil {
			fmt.Println("cluster not closed:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// seeds gives each test its own keys of actions in the shared cluster.
var seeds atomic.Uint64

// use returns a fixture around a running cluster.
func use(t testing.TB, cluster *dgdemo.Cluster) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
	t.Cleanup(cancel)
	f := &fixture{WithT: NewWithT(t), Cluster: cluster, ctx: ctx}
	var err error
	f.client, err = f.Client()
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { f.Expect(f.client.Close()).To(Succeed()) })
	f.runner, err = dgdemo.NewRunner(f.Cluster, dgdemo.Mix(f.Deployment), seeds.Add(1))
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { f.Expect(f.runner.Close()).To(Succeed()) })
	return f
}

// until waits for an event.
func (f *fixture) until(what string, done func() bool) {
	ctx, cancel := context.WithTimeout(f.ctx, patience)
	defer cancel()
	f.Expect(f.Until(ctx, what, done)).To(Succeed())
}

// underLoad sends the mix of requests while do runs, and returns what the
// callers were told from the beginning of do to the last answer.
func (f *fixture) underLoad(do func()) *dgdemo.Tally {
	f.runner.ResetTally()
	ctx, stop := context.WithCancel(f.ctx)
	var load conc.WaitGroup
	load.Go(func() {
		for ctx.Err() == nil {
			f.runner.Run(f.ctx, rate, burst)
		}
	})
	func() {
		defer load.Wait()
		defer stop()
		do()
	}()
	return f.runner.ResetTally()
}

// underLoadOfSearches is underLoad without actions.
func (f *fixture) underLoadOfSearches(do func()) *dgdemo.Tally {
	mixed := f.runner
	defer func() { f.runner = mixed }()
	var err error
	f.runner, err = dgdemo.NewRunner(f.Cluster, []dgdemo.Job{{Service: search, Share: 1}}, seeds.Add(1))
	f.Expect(err).NotTo(HaveOccurred())
	defer f.runner.Close()
	return f.underLoad(do)
}

// expectAllAnswered expects that every search was answered in full.
func (f *fixture) expectAllAnswered(t *dgdemo.Tally) {
	f.Expect(t.Searches).To(BeNumerically(">", 0))
	f.Expect(*t).To(HaveField("Answered", t.Searches),
		"partial %d, refused %d, unknown %d, connections lost %d", t.Partial, t.Refused, t.Unknown, t.ConnectionsLost)
}

// expectPromisesKept expects that the stand-ins saw no promise broken, and the
// callers neither.
func (f *fixture) expectPromisesKept(t *dgdemo.Tally) {
	c := f.Fleet.Counters()
	f.Expect(c.Violations()).To(BeZero(), "%+v", c)
	f.Expect(f.runner.FalseRefusals()).To(BeZero())
	f.Expect(t.SnapshotViolations + t.CoverageViolations + t.WrongQueryViolations).To(BeZero())
}

// platform sets the faults of the platform.
func (f *fixture) platform(faults dgstandin.PlatformFaults) {
	f.Expect(f.Platform.SetFaults(faults)).To(Succeed())
}

// everywhere tells whether a condition holds in the view of every VM.
func (f *fixture) everywhere(holds func(v *dandeliongap.View) bool) bool {
	for _, n := range f.Nodes() {
		if !holds(n.View()) {
			return false
		}
	}
	return true
}

// refill adds VMs in place of those that the test stopped.
func (f *fixture) refill() {
	for i := len(f.Nodes()); i < clusterVMs; i++ {
		_, err := f.AddVM(dandeliongap.VMName(fmt.Sprintf("added-%d", seeds.Add(1))), f.Deployment.Zones[i%len(f.Deployment.Zones)])
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.until("every VM serves", f.Ready)
}

// ownedByLive tells whether every VM sees each replica at a running VM.
func (f *fixture) ownedByLive() bool {
	live := map[dandeliongap.MemberID]bool{}
	for _, n := range f.Nodes() {
		live[n.Member()] = true
	}
	return f.everywhere(func(v *dandeliongap.View) bool {
		for _, p := range v.Placement {
			if !live[p.Owner] {
				return false
			}
		}
		return true
	})
}

// answer is the tier's answer to a search, an action or a change.
type answer struct {
	Status  int `json:"-"`
	Outcome string
	Body    string
	Reason  string
	Error   string
	Merged  int
	Total   int
}

// post sends one request to one VM, past the client's choice of addresses. A
// lost connection has status 0.
func post(ctx context.Context, address, path string, body any) answer {
	b, err := json.Marshal(body)
	if err != nil {
		return answer{Error: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return answer{Error: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{Error: err.Error()}
	}
	defer resp.Body.Close()
	a := answer{Status: resp.StatusCode}
	raw, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	if err != nil {
		a.Error = fmt.Sprintf("%s: %s", err, raw)
	}
	return a
}

// searchAt runs one search at one VM.
func (f *fixture) searchAt(n *dgnode.Node) answer {
	return post(f.ctx, n.Address(), "/v1/search", dgclient.SearchRequest{Service: search, Query: "sleepers"})
}

// actAt runs one action at one VM.
func (f *fixture) actAt(n *dgnode.Node, key, body string) answer {
	return post(f.ctx, n.Address(), "/v1/actions", struct{ Service, Key, Body string }{string(dispatch), key, body})
}

// watchConfig counts, until the returned function is called, how often a VM's
// configuration went back to an earlier version.
func (f *fixture) watchConfig() (reverts func() int) {
	ctx, stop := context.WithCancel(f.ctx)
	n := 0
	var watch conc.WaitGroup
	watch.Go(func() {
		last := map[dandeliongap.MemberID]dandeliongap.Version{}
		for ctx.Err() == nil {
			f.everywhere(func(v *dandeliongap.View) bool {
				if v.Config < last[v.Self] {
					n++
				}
				last[v.Self] = v.Config
				return true
			})
			time.Sleep(time.Millisecond)
		}
	})
	return func() int {
		stop()
		watch.Wait()
		return n
	}
}
