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
	// waitTimeout limits waits for events that are certain to happen. It says nothing
	// about how long they are expected to take.
	waitTimeout = time.Minute
	// rate is the load in requests per second.
	rate = 100
	// loadInterval is how long the load generator runs before underLoad checks again
	// whether to stop it.
	loadInterval = 100 * time.Millisecond
	// zoneB is the zone that tests take out.
	zoneB = dandeliongap.ZoneName("zone-b")
	// search and dispatch are the groups of smallText.
	search   = dandeliongap.ServiceName("search")
	dispatch = dandeliongap.ServiceName("dispatch")
)

// smallText is a deployment of two groups with 16 replicas in 3 zones. Its
// deadlines are so long that no request reaches them, even on a busy machine.
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

// fixture is a running cluster with the client and the load generator of one test.
type fixture struct {
	*WithT
	*dgdemo.Cluster
	ctx    context.Context
	client *dgclient.Client
	runner *dgdemo.Runner
}

// clusterVMs is the minimum number of VMs that run in the shared cluster before and
// after each test.
const clusterVMs = 6

// shared holds the cluster that all tests share, since starting one takes seconds.
var shared struct {
	cluster *dgdemo.Cluster
	log     pausableLog
}

// sharedFixture returns a fixture of the shared cluster. It starts the cluster on the
// first call and waits until it is ready. Each test must clear the platform faults
// that it set and replace the VMs that it stopped, for the tests after it.
func sharedFixture(t testing.TB) *fixture {
	t.Helper()
	if shared.cluster == nil {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		cluster, err := dgdemo.NewCluster(ctx, dgdemo.ClusterOptions{
			Text: smallText(), VMs: clusterVMs, Seed: 1, Service: dgdemo.ServiceTime, Log: &shared.log,
		})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		shared.cluster = cluster
	}
	f := newFixture(t, shared.cluster)
	f.until("every VM serves", f.Ready)
	return f
}

func TestMain(m *testing.M) {
	code := m.Run()
	if shared.cluster != nil {
		if err := shared.cluster.Close(); err != nil {
			fmt.Println("closing the shared cluster:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// uniqueID numbers the load generators and the VMs that tests add. As the seed of a
// load generator it makes the generator use idempotency keys of its own in the shared
// cluster.
var uniqueID atomic.Uint64

// newFixture returns a fixture of a running cluster and closes its client and load
// generator at the end of the test.
func newFixture(t testing.TB, cluster *dgdemo.Cluster) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	t.Cleanup(cancel)
	f := &fixture{WithT: NewWithT(t), Cluster: cluster, ctx: ctx}
	var err error
	f.client, err = f.Client()
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { f.Expect(f.client.Close()).To(Succeed()) })
	f.runner, err = dgdemo.NewRunner(f.Cluster, dgdemo.Mix(f.Deployment), uniqueID.Add(1))
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { f.Expect(f.runner.Close()).To(Succeed()) })
	return f
}

// until polls done until it returns true. The test fails if this takes longer than
// waitTimeout.
func (f *fixture) until(condition string, done func() bool) {
	ctx, cancel := context.WithTimeout(f.ctx, waitTimeout)
	defer cancel()
	f.Expect(f.Until(ctx, condition, done)).To(Succeed())
}

// underLoad sends the mix of requests while do runs, waits for the last answer and
// returns the tally of all these requests.
func (f *fixture) underLoad(do func()) *dgdemo.Tally {
	f.runner.ResetTally()
	ctx, stop := context.WithCancel(f.ctx)
	var load conc.WaitGroup
	load.Go(func() {
		for ctx.Err() == nil {
			f.runner.Run(f.ctx, rate, loadInterval)
		}
	})
	func() {
		defer load.Wait()
		defer stop()
		do()
	}()
	return f.runner.ResetTally()
}

// underLoadOfSearches is like underLoad but sends searches only.
func (f *fixture) underLoadOfSearches(do func()) *dgdemo.Tally {
	mixedRunner := f.runner
	defer func() { f.runner = mixedRunner }()
	var err error
	f.runner, err = dgdemo.NewRunner(f.Cluster, []dgdemo.Job{{Service: search, Share: 1}}, uniqueID.Add(1))
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

// expectPromisesKept expects that neither the stand-ins nor the callers counted a
// violation of a promise.
func (f *fixture) expectPromisesKept(t *dgdemo.Tally) {
	c := f.Fleet.Counters()
	f.Expect(c.Violations()).To(BeZero(), "%+v", c)
	f.Expect(f.runner.FalseRefusals()).To(BeZero())
	f.Expect(t.SnapshotViolations + t.CoverageViolations + t.WrongQueryViolations).To(BeZero())
}

// setPlatformFaults replaces the faults of the platform. The zero value clears them.
func (f *fixture) setPlatformFaults(faults dgstandin.PlatformFaults) {
	f.Expect(f.Platform.SetFaults(faults)).To(Succeed())
}

// onEveryVM reports whether a condition holds in the view of every VM.
func (f *fixture) onEveryVM(holds func(v *dandeliongap.View) bool) bool {
	for _, n := range f.Nodes() {
		if !holds(n.View()) {
			return false
		}
	}
	return true
}

// restoreVMs adds VMs until clusterVMs run again, and waits until all serve.
func (f *fixture) restoreVMs() {
	for i := len(f.Nodes()); i < clusterVMs; i++ {
		_, err := f.AddVM(dandeliongap.VMName(fmt.Sprintf("added-%d", uniqueID.Add(1))), f.Deployment.Zones[i%len(f.Deployment.Zones)])
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.until("every VM serves", f.Ready)
}

// allOwnersRunning reports whether, in the view of every VM, each replica is owned
// by a running VM.
func (f *fixture) allOwnersRunning() bool {
	running := map[dandeliongap.MemberID]bool{}
	for _, n := range f.Nodes() {
		running[n.Member()] = true
	}
	return f.onEveryVM(func(v *dandeliongap.View) bool {
		for _, p := range v.Placement {
			if !running[p.Owner] {
				return false
			}
		}
		return true
	})
}

// answer is the decoded answer of a VM to a search or an action.
type answer struct {
	Status  int `json:"-"`
	Outcome string
	Body    string
	Reason  string
	Error   string
	Merged  int
	Total   int
}

// postJSON sends one request to one VM directly, since the client would choose the
// address itself. Status is 0 if no response arrived, as after a lost connection.
func postJSON(ctx context.Context, address, path string, body any) answer {
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

// searchAt sends one search to the given VM.
func (f *fixture) searchAt(n *dgnode.Node) answer {
	return postJSON(f.ctx, n.Address(), "/v1/search", dgclient.SearchRequest{Service: search, Query: "sleepers"})
}

// actAt sends one action to the given VM.
func (f *fixture) actAt(n *dgnode.Node, key, body string) answer {
	return postJSON(f.ctx, n.Address(), "/v1/actions", struct{ Service, Key, Body string }{string(dispatch), key, body})
}

// watchConfig counts how often the configuration of a VM returns to an earlier
// version. The returned function stops the count and returns it.
func (f *fixture) watchConfig() (reverts func() int) {
	ctx, stop := context.WithCancel(f.ctx)
	n := 0
	var watch conc.WaitGroup
	watch.Go(func() {
		last := map[dandeliongap.MemberID]dandeliongap.Version{}
		for ctx.Err() == nil {
			f.onEveryVM(func(v *dandeliongap.View) bool {
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
