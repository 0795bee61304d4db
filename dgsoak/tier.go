package dgsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
)

// maxDirectoryAge is how long callers may keep an answer of the directory.
const maxDirectoryAge = 5 * time.Second

// zones are the availability zones of a soak.
var zones = []dandeliongap.ZoneName{"z1", "z2", "z3"}

const (
	// shardCount is the number of shards in each of the two sets of an index.
	shardCount = 5
	// fetchServices is the number of services among which configurations move the requests
	// of one route in turn. The service that a request reaches thus tells the configuration.
	fetchServices = 4
	// replicas is the number of backend servers of a service, in different zones.
	replicas = 2
	// slots is the number of requests that a backend server runs at a time.
	slots = 4
	// connections is the number of connections that a backend server accepts.
	connections = 60
)

// host is the host name of all requests.
const host = "h.example"

// Names of routes.
const (
	routeSearch dandeliongap.RouteName = "search" // to all shards
	routeFetch  dandeliongap.RouteName = "fetch"  // to one service, another one in each configuration
	routeOrder  dandeliongap.RouteName = "order"  // to one service, may not be repeated
	// routeArchive leads to one service whose requests take long. Their deadline lies after
	// the end of a stop.
	routeArchive dandeliongap.RouteName = "archive"
	routePublic  dandeliongap.RouteName = "public" // to the service of orders, needs no key
)

const (
	ordersService  dandeliongap.ServiceName = "orders"
	archiveService dandeliongap.ServiceName = "archive"
)

func shardName(set, i int) dandeliongap.ServiceName {
	return dandeliongap.ServiceName(fmt.Sprintf("shard%c%d", 'a'+rune(set), i))
}

func fetchName(i int) dandeliongap.ServiceName {
	return dandeliongap.ServiceName(fmt.Sprint("fetch", i))
}

// services returns all services.
func services() []dandeliongap.ServiceName {
	out := []dandeliongap.ServiceName{ordersService, archiveService}
	for i := range fetchServices {
		out = append(out, fetchName(i))
	}
	for set := range 2 {
		for i := range shardCount {
			out = append(out, shardName(set, i))
		}
	}
	return out
}

// operator publishes configurations.
type operator struct {
	mu       sync.Mutex
	platform Platform
	ledger   *Ledger
	now      func() dandeliongap.Instant
	number   uint64
	set      int // of shards
	accounts []*account
}

// publish puts the next configuration into force. reshard makes it name the other set of
// shards.
func (o *operator) publish(reshard bool) error {
	return o.change(func() {
		if reshard {
			o.set = 1 - o.set
		}
	})
}

// change changes what the configuration follows from and puts the next one into force.
func (o *operator) change(fn func()) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	fn()
	o.number++
	cfg := o.config()
	if err := o.platform.Publish(cfg); err != nil {
		return err
	}
	record(o.ledger, &o.ledger.Publications, Publication{o.now(), cfg})
	return nil
}

func (o *operator) config() *dandeliongap.RouteConfig {
	cfg := &dandeliongap.RouteConfig{
		Number:   o.number,
		Services: make(map[dandeliongap.ServiceName]dandeliongap.ServiceLimits),
		Limits:   dandeliongap.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range services() {
		cfg.Services[s] = dandeliongap.ServiceLimits{Connections: connections}
	}
	search := dandeliongap.Route{Name: routeSearch, Prefix: "/search/", Idempotent: true, LatencyObjective: 200 * time.Millisecond, TopK: 5, MinCoverage: 0.6}
	for i := range shardCount {
		search.Shards = append(search.Shards, shardName(o.set, i))
	}
	fetch := dandeliongap.Route{Name: routeFetch, Prefix: "/fetch/", Idempotent: true, LatencyObjective: 400 * time.Millisecond, Priority: 1, Service: fetchName(int(o.number % fetchServices))}
	order := dandeliongap.Route{Name: routeOrder, Prefix: "/order/", LatencyObjective: 400 * time.Millisecond, Priority: 1, Service: ordersService}
	archive := dandeliongap.Route{Name: routeArchive, Prefix: "/archive/", Idempotent: true, LatencyObjective: 2 * time.Second, Priority: 2, Service: archiveService}
	public := dandeliongap.Route{Name: routePublic, Prefix: "/public/", Idempotent: true, LatencyObjective: 400 * time.Millisecond, Priority: 1, Service: ordersService, Public: true}
	for _, a := range o.accounts {
		cfg.Accounts = append(cfg.Accounts, a.configured())
	}
	for _, r := range []dandeliongap.Route{search, fetch, order, archive, public} {
		r.Host, r.Timeout, r.MaxAttempts = host, max(deadlines[r.Name], 2*time.Second), 2
		cfg.Routes = append(cfg.Routes, r)
	}
	return cfg
}

// newest returns the configuration that was published last.
func (o *operator) newest() *dandeliongap.RouteConfig {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config()
}

// backend is a backend server and the proxy on the path to it.
type backend struct {
	instance dandeliongap.Instance
	server   Server
	path     *proxy
}

// fleet holds the backend servers.
type fleet struct {
	mu       sync.Mutex
	platform Platform
	ledger   *Ledger
	now      func() dandeliongap.Instant
	started  int
	live     []*backend
	all      []*backend // to be closed
	versions map[dandeliongap.ServiceName]*versions
	trials   int
}

// start starts a backend server of a service in a zone and registers it. Its version is that
// in use, unless version is on trial. path is the proxy whose address it takes over, or nil
// for a new one.
func (f *fleet) start(service dandeliongap.ServiceName, zone dandeliongap.ZoneName, version dandeliongap.SoftwareVersion, path *proxy) error {
	f.mu.Lock()
	f.started++
	in := dandeliongap.Instance{
		ID: dandeliongap.InstanceID(fmt.Sprintf("i-%s-%d", service, f.started)), Service: service, Zone: zone, Slots: slots, StartUnixMs: time.Now().UnixMilli(),
		Software: f.versionFor(service, version),
	}
	f.mu.Unlock()
	server, err := f.platform.NewServer(ServerOptions{Instance: in, Content: content, Work: workTime, Stamp: stamp, Record: f.ledger.arrived, Now: f.now})
	if err != nil {
		return err
	}
	if path == nil {
		path, err = newProxy(server.Address())
		if err != nil {
			return err
		}
	} else {
		path.setTarget(server.Address())
	}
	in.Address = path.addr()
	f.ledger.server(in, f.now())
	b := &backend{in, server, path}
	f.mu.Lock()
	f.live = append(f.live, b)
	f.all = append(f.all, b)
	f.mu.Unlock()
	return f.platform.Register(in)
}

// pick returns the live backend server that a step selects, or all of its service.
func (f *fleet) pick(target uint32) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live[int(target)%len(f.live)]
}

func (f *fleet) ofService(service dandeliongap.ServiceName) (out []*backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.live {
		if b.instance.Service == service {
			out = append(out, b)
		}
	}
	return out
}

// retire removes a backend server from those that steps select. It returns false if
// another step did so before.
func (f *fleet) retire(b *backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.live, b)
	if i < 0 {
		return false
	}
	f.live = slices.Delete(f.live, i, i+1)
	return true
}

// depart records that the store accepted that a backend server leaves.
func (f *fleet) depart(b *backend) {
	record(f.ledger, &f.ledger.Departures, Departure{f.now(), b.instance.ID, false})
}

func (f *fleet) Close() error {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, b := range all {
		_ = b.path.Close()
		_ = b.server.Close()
	}
	return nil
}
