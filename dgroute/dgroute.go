// Package dgroute selects the route of a request and, if the route splits its
// traffic, the service that the request goes to.
//
// Rules:
//
//	T1  Of the routes of a host, the one with the longest matching path prefix is
//	    selected.
//	T2  The services of a split are selected by smooth weighted round robin, so
//	    that any consecutive requests are divided nearly in proportion to the
//	    weights.
package dgroute

import (
	"fmt"
	"strings"

	"dandeliongap.example/dandeliongap"
)

// Table is the routing table of a configuration. Match is safe for concurrent use;
// PickService is not.
type Table struct {
	Config       *dandeliongap.RouteConfig
	routesByHost map[string]map[string]*dandeliongap.Route // by lower-case host, then path prefix
	splitCredits map[dandeliongap.RouteName][]float64      // round-robin credit of each service of a split
}

// New returns the routing table of a configuration.
func New(cfg *dandeliongap.RouteConfig) *Table {
	t := &Table{
		Config:       cfg,
		routesByHost: make(map[string]map[string]*dandeliongap.Route),
		splitCredits: make(map[dandeliongap.RouteName][]float64),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*dandeliongap.Route)
		}
		t.routesByHost[host][r.Prefix] = r
		if len(r.Split) > 0 {
			t.splitCredits[r.Name] = make([]float64, len(r.Split))
		}
	}
	return t
}

// InheritSplitState copies the round-robin credits of routes whose split has as
// many services as before. Without it, each new configuration would restart the
// round robin, and frequent changes would starve services with low weights.
func (t *Table) InheritSplitState(old *Table) {
	if old == nil {
		return
	}
	for name, credit := range old.splitCredits {
		if current, ok := t.splitCredits[name]; ok && len(current) == len(credit) {
			copy(current, credit)
		}
	}
}

// Match returns the route of a request (T1), or an error that wraps ErrNotFound.
// The path must not include a query.
func (t *Table) Match(host, path string) (*dandeliongap.Route, error) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			break
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r, nil
		}
		end = i
	}
	return nil, fmt.Errorf("route for host %q, path %q: %w", host, path, dandeliongap.ErrNotFound)
}

// PickService returns the service that gets the next request of a route (T2). The
// route must not have shards.
func (t *Table) PickService(r *dandeliongap.Route) dandeliongap.ServiceName {
	credit := t.splitCredits[r.Name]
	if len(credit) != len(r.Split) || len(credit) == 0 {
		return r.Service
	}
	best, total := 0, 0.0
	for i, w := range r.Split {
		credit[i] += w.Weight
		total += w.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Split[best].Service
}
