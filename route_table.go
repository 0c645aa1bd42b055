package almondstep

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RouteVersion numbers the route tables that operators put in force. A higher
// version is newer.
type RouteVersion uint64

// RoutedService is what operators say of a service that routes name.
type RoutedService struct {
	Name ServiceName
	// MaxConnections is the number of connections that one of its upstreams
	// accepts from all daemons together.
	MaxConnections int
	// ColdPerSecond is the rate that one of its upstreams bears from all daemons
	// together while it is cold, in requests a second; 0 sets no bound.
	ColdPerSecond float64
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteTableSpec is what a route table is made of.
type RouteTableSpec struct {
	Version  RouteVersion
	Routes   []Route
	Services []RoutedService
	Limits   CallerLimits
}

// RouteTable is one version of the routes. It is immutable.
type RouteTable struct {
	version  RouteVersion
	routes   []*Route
	byHost   map[string][]*Route
	services map[ServiceName]RoutedService
	shards   map[ServiceName]bool
	limits   CallerLimits
}

// NewRouteTable indexes the routes. It returns ErrInvalid if a host has two
// routes with one prefix.
func NewRouteTable(p RouteTableSpec) (*RouteTable, error) {
	t := &RouteTable{
		version:  p.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[ServiceName]RoutedService, len(p.Services)),
		shards:   make(map[ServiceName]bool),
		limits:   p.Limits,
	}
	for _, s := range p.Services {
		t.services[s.Name] = s
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.parts.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.routes = append(t.routes, r)
		for _, s := range r.parts.Shards {
			t.shards[s] = true
		}
	}
	for host, routes := range t.byHost {
		slices.SortFunc(routes, longestPrefixFirst)
		for i := 1; i < len(routes); i++ {
			if routes[i].parts.Prefix == routes[i-1].parts.Prefix {
				return nil, errors.Wrapf(ErrInvalid, "host %q has two routes with the prefix %q", host, routes[i].parts.Prefix)
			}
		}
	}
	return t, nil
}

func longestPrefixFirst(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.parts.Prefix), len(a.parts.Prefix)),
		cmp.Compare(a.parts.Prefix, b.parts.Prefix),
	)
}

// Version says which table this is.
func (t *RouteTable) Version() RouteVersion { return t.version }

// Routes lists all routes in the operators' order. The caller must not change it.
func (t *RouteTable) Routes() []*Route { return t.routes }

// IsShard says whether a service is a shard of some route.
func (t *RouteTable) IsShard(s ServiceName) bool { return t.shards[s] }

// MinShardConnections is the number of connections that an upstream of each
// shard accepts at least, from all daemons together; 0 if there are no shards or
// one doesn't say.
func (t *RouteTable) MinShardConnections() int {
	least := 0
	for s := range t.shards {
		n := t.services[s].MaxConnections
		if n == 0 {
			return 0
		}
		if least == 0 || n < least {
			least = n
		}
	}
	return least
}

// Limits bound what a caller may send.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// Service finds what operators say of a service.
func (t *RouteTable) Service(name ServiceName) (RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match finds the route of a request: of those of the host, the one with the
// longest prefix that begins the path. A port in the host doesn't matter.
//
// Example: with routes at /lots/ and /lots/old/, the path /lots/old/7 belongs
// to the second.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.parts.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
