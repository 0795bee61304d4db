package dgdemo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgplatform"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// OperatorToken is the operator token of embedded clusters. A constant is enough,
// since they listen on loopback only.
const OperatorToken = "embedded-cluster-token"

// ClusterOptions are the options of NewCluster.
type ClusterOptions struct {
	// Text is the deployment text. The addresses of its replicas are replaced by
	// free ports of 127.0.0.1.
	Text string
	// VMs is the number of entry VMs, spread over the zones of the text.
	VMs  int
	Seed uint64
	// Service is the distribution of the time that a backend server takes for a
	// sub-request.
	Service dgstandin.ServiceTime
	// Baseline makes the VMs use the baseline policy.
	Baseline bool
	// Log receives the decision logs of all VMs, one line per Write. It must be
	// safe for concurrent use. If nil, the logs are discarded.
	Log io.Writer
}

// Cluster is an embedded cluster: a stand-in for the platform, a fleet of
// stand-ins for backend servers, and entry VMs. All run in this process and are
// connected over TCP on loopback.
type Cluster struct {
	Platform   *dgstandin.Platform
	Fleet      *dgstandin.Fleet
	Deployment *dandeliongap.Deployment
	Text       string

	options ClusterOptions

	mu  sync.Mutex // guards vms
	vms []*vm
}

// vm is one entry VM with its clients of the platform and the backend servers.
type vm struct {
	name    dandeliongap.VMName
	zone    dandeliongap.ZoneName
	node    *dgnode.Node
	store   *dgplatform.Client
	backend *dgbackend.Client
}

// NewCluster starts a cluster, applies the deployment text and waits until the
// cluster is ready, or ctx ends. On an error, it closes what it started.
func NewCluster(ctx context.Context, o ClusterOptions) (*Cluster, error) {
	c := &Cluster{options: o}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	d, faults := dgsettings.ParseDeployment("deployment", []byte(c.options.Text))
	if faults.Any() {
		return fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults)
	}
	var err error
	c.Platform, err = dgstandin.NewPlatform(dgstandin.PlatformOptions{Seed: c.options.Seed})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Fleet, err = dgstandin.NewFleet(d, dgstandin.FleetOptions{
		Backend:   dgstandin.BackendOptions{ServiceTime: c.options.Service},
		Seed:      c.options.Seed,
		FreePorts: true,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Text = rewriteAddresses(c.options.Text, d, c.Fleet.Addresses())
	c.Deployment, faults = dgsettings.ParseDeployment("deployment", []byte(c.Text))
	if faults.Any() {
		return fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults)
	}
	if err := c.publishCatalog(d, 1); err != nil {
		return err
	}
	for i := range c.options.VMs {
		zone := d.Zones[i%len(d.Zones)]
		if _, err := c.AddVM(dandeliongap.VMName(fmt.Sprintf("entry-%d", i+1)), zone); err != nil {
			return err
		}
	}
	return c.apply(ctx)
}

var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// rewriteAddresses replaces the addresses of the replicas in the text. It does so
// in a single pass, since the new address of one replica may equal the old address
// of another.
func rewriteAddresses(text string, d *dandeliongap.Deployment, newAddresses map[dandeliongap.ReplicaID]string) string {
	newByOld := map[string]string{}
	for _, s := range d.Services {
		for _, r := range s.Replicas {
			newByOld[r.Address] = newAddresses[r.ID]
		}
	}
	return addressPattern.ReplaceAllStringFunc(text, func(old string) string {
		if found := newByOld[old]; found != "" {
			return found
		}
		return old
	})
}

// AddVM starts another entry VM. It does not wait until the VM serves.
func (c *Cluster) AddVM(name dandeliongap.VMName, zone dandeliongap.ZoneName) (*dgnode.Node, error) {
	v := &vm{name: name, zone: zone}
	if err := c.startVM(v); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = append(c.vms, v)
	return v.node, nil
}

func (c *Cluster) startVM(v *vm) error {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	s := dgsettings.DefaultDaemon()
	s.VM, s.Zone = v.name, v.zone
	s.CallerAnnounce, s.PeerAnnounce = callers.Addr().String(), peers.Addr().String()
	s.Platform = c.Platform.Address()
	s.Seeds = c.seeds()
	s.OperatorToken = OperatorToken
	v.store, err = dgplatform.New(dgplatform.Options{Address: s.Platform})
	if err != nil {
		return errors.Join(err, callers.Close(), peers.Close())
	}
	v.backend = dgbackend.New(dgbackend.Options{})
	v.node, err = dgnode.Start(dgnode.Options{
		Settings:       s,
		Store:          v.store,
		VMs:            v.store,
		Backend:        v.backend,
		Decisions:      c.options.Log,
		Log:            c.logger(v.name),
		CallerListener: callers,
		PeerListener:   peers,
		Baseline:       c.options.Baseline,
	})
	return err
}

// logger returns the logger of one VM. If logs are discarded, its level is fatal, so
// that lines of lower levels are not even formatted.
func (c *Cluster) logger(name dandeliongap.VMName) *log.Logger {
	if c.options.Log == nil {
		return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
	}
	l := log.NewWithOptions(c.options.Log, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: dgnode.LogTime})
	return l.With("VM", name)
}

// seeds returns the peer addresses of the running VMs that are members in their own
// view.
func (c *Cluster) seeds() []string {
	var seeds []string
	for _, n := range c.Nodes() {
		if m, ok := n.View().Members[n.Member()]; ok {
			seeds = append(seeds, m.PeerAddress)
		}
	}
	return seeds
}

// runningVMs returns a copy of the list of running VMs.
func (c *Cluster) runningVMs() []*vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms)
}

// Nodes returns the running entry VMs.
func (c *Cluster) Nodes() []*dgnode.Node {
	vms := c.runningVMs()
	nodes := make([]*dgnode.Node, 0, len(vms))
	for _, v := range vms {
		nodes = append(nodes, v.node)
	}
	return nodes
}

// Addresses returns the addresses at which the running VMs serve callers.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, v := range c.runningVMs() {
		addresses = append(addresses, v.node.Address())
	}
	return addresses
}

// Client returns a client with the addresses of all VMs that run at the time of
// the call.
func (c *Cluster) Client() (*dgclient.Client, error) {
	return dgclient.New(dgclient.Options{Addresses: c.Addresses(), Token: OperatorToken})
}

// ReplaceVM starts a new VM in the zone of VM i and then shuts VM i down gracefully.
func (c *Cluster) ReplaceVM(i int) error {
	old := c.runningVMs()[i]
	next := &vm{name: old.name + "r", zone: old.zone}
	if err := c.startVM(next); err != nil {
		return err
	}
	c.mu.Lock()
	c.vms[i] = next
	c.mu.Unlock()
	return old.close()
}

// KillVM stops VM i as a crash would, without handing over its replicas, and
// removes it from the list of running VMs.
func (c *Cluster) KillVM(i int) error {
	c.mu.Lock()
	v := c.vms[i]
	c.vms = slices.Delete(c.vms, i, i+1)
	c.mu.Unlock()
	v.node.Kill()
	return v.close()
}

func (v *vm) close() error {
	var err error
	if v.node != nil {
		err = v.node.Close()
	}
	if v.backend != nil {
		err = errors.Join(err, v.backend.Close())
	}
	if v.store != nil {
		err = errors.Join(err, v.store.Close())
	}
	return err
}

// PublishCatalog publishes a catalog that lists, for every search group, index
// version v and, if v is not the first, the version before it, which the backend
// servers still hold.
func (c *Cluster) PublishCatalog(v dandeliongap.IndexVersion) error {
	return c.publishCatalog(c.Deployment, v)
}

func (c *Cluster) publishCatalog(d *dandeliongap.Deployment, v dandeliongap.IndexVersion) error {
	type group struct {
		Service   dandeliongap.ServiceName
		Snapshots []dandeliongap.Snapshot
	}
	var groups []group
	for _, s := range d.Services {
		if s.Kind != dandeliongap.KindGroup || s.Actions {
			continue
		}
		g := group{Service: s.Name}
		if v > 1 {
			g.Snapshots = append(g.Snapshots, snapshotOf(s, v-1))
		}
		g.Snapshots = append(g.Snapshots, snapshotOf(s, v))
		c.Fleet.HoldSnapshot(snapshotOf(s, v))
		groups = append(groups, g)
	}
	body, err := json.Marshal(struct{ Groups []group }{groups})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Platform.Set("state/catalog", body)
	return nil
}

// partsPerLeaf is the number of index parts of each leaf in embedded clusters.
const partsPerLeaf = 2

// snapshotOf assigns the index parts of a version to the leaves of a group. Each
// version shifts the assignment by one leaf, so that a new version also
// repartitions the index.
func snapshotOf(s *dandeliongap.Service, v dandeliongap.IndexVersion) dandeliongap.Snapshot {
	n := len(s.Leaves)
	snap := dandeliongap.Snapshot{Version: v, Parts: n * partsPerLeaf, Shards: make([]dandeliongap.Shard, n)}
	for i, leaf := range s.Leaves {
		snap.Shards[i].Service = leaf
	}
	for p := range snap.Parts {
		i := (p + int(v)) % n
		snap.Shards[i].Parts = append(snap.Shards[i].Parts, dandeliongap.PartID(p))
	}
	return snap
}

// apply applies the deployment text as the first configuration and waits until
// the cluster is ready.
func (c *Cluster) apply(ctx context.Context) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	err = c.Until(ctx, "the configuration is accepted", func() bool {
		_, err = client.ApplyConfig(ctx, c.Text, 0, uuid.NewString())
		return err == nil
	})
	if err != nil {
		return err
	}
	return c.Until(ctx, "every VM serves", c.Ready)
}

// Ready reports whether every VM serves and, in the view of each, all VMs are
// members and all replicas have an owner that is a member.
func (c *Cluster) Ready() bool {
	replicas := 0
	for _, s := range c.Deployment.Services {
		replicas += len(s.Replicas)
	}
	for _, n := range c.Nodes() {
		v := n.View()
		if !v.Serving || len(v.Members) != len(c.Nodes()) || len(v.Placement) != replicas || hasReplicaWithoutOwner(v) {
			return false
		}
	}
	return true
}

// hasReplicaWithoutOwner reports whether a replica in the view has no owner or an
// owner that is not a member.
func hasReplicaWithoutOwner(v *dandeliongap.View) bool {
	for _, p := range v.Placement {
		if _, member := v.Members[p.Owner]; !member {
			return true
		}
	}
	return false
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// Until polls done until it returns true. If ctx ends first, it returns an error that
// contains condition, a description such as "every VM serves".
func (c *Cluster) Until(ctx context.Context, condition string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", condition, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close kills all VMs without a graceful shutdown and then closes the stand-ins.
func (c *Cluster) Close() error {
	var err error
	for _, v := range c.runningVMs() {
		v.node.Kill()
		err = errors.Join(err, v.close())
	}
	if c.Fleet != nil {
		err = errors.Join(err, c.Fleet.Close())
	}
	if c.Platform != nil {
		err = errors.Join(err, c.Platform.Close())
	}
	return err
}
