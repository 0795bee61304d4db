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

// OperatorToken is the token of embedded clusters, which listen on loopback only.
const OperatorToken = "embedded-cluster-token"

// ClusterOptions describe an embedded cluster.
type ClusterOptions struct {
	// Text is the deployment text. The addresses of its replicas are replaced by
	// free ports of 127.0.0.1.
	Text string
	// VMs is the number of entry VMs, spread over the zones of the text.
	VMs  int
	Seed uint64
	// Service is the time that a sub-request takes at a backend server.
	Service dgstandin.ServiceTime
	// Baseline makes the VMs use the baseline policy.
	Baseline bool
	// Log receives the decision logs of all VMs. It must take whole lines from
	// several goroutines at a time. Default: discarded.
	Log io.Writer
}

// Cluster is a platform, a fleet of backend servers and entry VMs in this
// process, connected over TCP on loopback.
type Cluster struct {
	Platform   *dgstandin.Platform
	Fleet      *dgstandin.Fleet
	Deployment *dandeliongap.Deployment
	Text       string

	options ClusterOptions

	mu  sync.Mutex // guards vms
	vms []*vm
}

// vm is one entry VM with the clients that belong to it.
type vm struct {
	name    dandeliongap.VMName
	zone    dandeliongap.ZoneName
	node    *dgnode.Node
	store   *dgplatform.Client
	backend *dgbackend.Client
}

// NewCluster starts a cluster and puts the text in force. ctx bounds the start.
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
		Backend:   dgstandin.BackendOptions{Service: c.options.Service},
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

var address = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// rewriteAddresses replaces the addresses of replicas in one pass, since a new
// address may equal the old one of another replica.
func rewriteAddresses(text string, d *dandeliongap.Deployment, to map[dandeliongap.ReplicaID]string) string {
	byOld := map[string]string{}
	for _, s := range d.Services {
		for _, r := range s.Replicas {
			byOld[r.Address] = to[r.ID]
		}
	}
	return address.ReplaceAllStringFunc(text, func(old string) string {
		if found := byOld[old]; found != "" {
			return found
		}
		return old
	})
}

// AddVM starts one more entry VM.
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

// logger returns the log of one VM; without a writer it formats nothing.
func (c *Cluster) logger(name dandeliongap.VMName) *log.Logger {
	if c.options.Log == nil {
		return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
	}
	l := log.NewWithOptions(c.options.Log, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: dgnode.LogTime})
	return l.With("VM", name)
}

// seeds returns the peer addresses of the VMs that are members.
func (c *Cluster) seeds() []string {
	var seeds []string
	for _, n := range c.Nodes() {
		if m, ok := n.View().Members[n.Member()]; ok {
			seeds = append(seeds, m.PeerAddress)
		}
	}
	return seeds
}

// running returns the VMs at this moment.
func (c *Cluster) running() []*vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms)
}

// Nodes returns the running entry VMs.
func (c *Cluster) Nodes() []*dgnode.Node {
	vms := c.running()
	nodes := make([]*dgnode.Node, 0, len(vms))
	for _, v := range vms {
		nodes = append(nodes, v.node)
	}
	return nodes
}

// Addresses returns the callers' addresses of all VMs.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, v := range c.running() {
		addresses = append(addresses, v.node.Address())
	}
	return addresses
}

// Client returns a client that knows the addresses of all VMs.
func (c *Cluster) Client() (*dgclient.Client, error) {
	return dgclient.New(dgclient.Options{Addresses: c.Addresses(), Token: OperatorToken})
}

// ReplaceVM shuts one VM down gracefully and starts a new one in its zone.
func (c *Cluster) ReplaceVM(i int) error {
	old := c.running()[i]
	next := &vm{name: old.name + "r", zone: old.zone}
	if err := c.startVM(next); err != nil {
		return err
	}
	c.mu.Lock()
	c.vms[i] = next
	c.mu.Unlock()
	return old.close()
}

// KillVM ends one VM as a crash would. It is not among the VMs any more.
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

// PublishCatalog lists the index version v of every group, and the one before it
// while it is still held.
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

// snapshotOf deals the parts of a version to the leaves. Each version deals them
// in another order, so that a new version is a repartition too.
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

// apply puts the text in force and waits until every VM serves with all replicas
// placed.
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

// Ready tells whether every VM serves with every VM as a member and every
// replica placed.
func (c *Cluster) Ready() bool {
	replicas := 0
	for _, s := range c.Deployment.Services {
		replicas += len(s.Replicas)
	}
	for _, n := range c.Nodes() {
		v := n.View()
		if !v.Serving || len(v.Members) != len(c.Nodes()) || len(v.Placement) != replicas || moving(v) {
			return false
		}
	}
	return true
}

// moving tells whether a replica has no owner, or one that waits for a release.
func moving(v *dandeliongap.View) bool {
	for _, p := range v.Placement {
		if _, member := v.Members[p.Owner]; !member {
			return true
		}
	}
	return false
}

// untilStep is the time between two looks at a condition.
const untilStep = 10 * time.Millisecond

// Until waits until done holds. Its error names what it waited for.
func (c *Cluster) Until(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, ctx.Err())
		case <-time.After(untilStep):
		}
	}
	return nil
}

// Close stops all VMs at once and then the stand-ins.
func (c *Cluster) Close() error {
	var err error
	for _, v := range c.running() {
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
