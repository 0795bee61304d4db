// Package dgroute selects the route of a request and the part of a traffic
// split that it goes to.
//
// Rules:
//
//	T1  Of the routes of a host, the one with the longest prefix of the path wins.
//	T2  The parts of a split take turns in proportion to their weights, so that
//	    any run of requests is close to the proportions.
package dgroute

import (
	"fmt"
	"strings"

	"dandeliongap.example/dandeliongap"
)

// Table is the routing table of one configuration. Match is safe for concurrent
// use; Part is not.
type Table struct {
	Config *dandeliongap.RouteConfig
	hosts  map[string]map[string]*dandeliongap.Route
	splits map[dandeliongap.RouteName][]float64 // credit of each part
}

// New returns the table of a configuration.
func New(cfg *dandeliongap.RouteConfig) *Table {
	t := &Table{
		Config: cfg,
		hosts:  make(map[string]map[string]*dandeliongap.Route),
		splits: make(map[dandeliongap.RouteName][]float64),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*dandeliongap.Route)
		}
		t.hosts[host][r.Prefix] = r
		if len(r.Split) > 0 {
			t.splits[r.Name] = make([]float64, len(r.Split))
		}
	}
	return t
}

// InheritSplitState takes over the turns of the splits that did not change, so that a new
// configuration does not start them over.
func (t *Table) InheritSplitState(old *Table) {
	if old == nil {
		return
	}
	for name, credit := range old.splits {
		if own, ok := t.splits[name]; ok && len(own) == len(credit) {
			copy(own, credit)
		}
	}
}

// Match returns the route of a request (T1); ErrNotFound if there is none. The
// path has no query.
func (t *Table) Match(host, path string) (*dandeliongap.Route, error) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
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

// PickService returns the service that the next request of a route without shards goes
// to (T2).
func (t *Table) PickService(r *dandeliongap.Route) dandeliongap.ServiceName {
	credit := t.splits[r.Name]
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
