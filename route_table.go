package almondstep

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RouteVersion numbers the route tables that operators apply. A higher version is
// newer.
type RouteVersion uint64

// RoutedService is the configuration of a service that routes refer to.
type RoutedService struct {
	Name ServiceName
	// MaxConnections is the maximum number of connections that one of its upstreams
	// accepts from all daemons together; 0 if unknown.
	MaxConnections int
	// ColdPerSecond is the maximum rate that one of its upstreams accepts from all
	// daemons together while it is cold, in requests per second; 0 sets no limit.
	ColdPerSecond float64
	// HealthPath is where its upstreams answer status checks; empty if unknown.
	HealthPath string
}

// CallerLimits are the limits on callers' requests and connections.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteTableSpec is the input of NewRouteTable.
type RouteTableSpec struct {
	Version  RouteVersion
	Routes   []Route
	Services []RoutedService
	// Organisations are those whose callers may use routes that aren't public. If there are
	// none, no caller needs a key.
	Organisations []*Organisation
	Limits        CallerLimits
}

// RouteTable is one version of the routes. It is immutable.
type RouteTable struct {
	version  RouteVersion
	routes   []*Route
	byHost   map[string][]*Route
	services map[ServiceName]RoutedService
	shards   map[ServiceName]bool
	limits   CallerLimits
	// organisations and byKey find an organisation by its name and by its API keys.
	organisations map[OrganisationName]*Organisation
	byKey         map[keyDigest]*Organisation
}

// NewRouteTable indexes the routes and the organisations. It returns ErrInvalid if a host
// has two routes with the same prefix, or two organisations have the same name or a common
// API key.
func NewRouteTable(spec RouteTableSpec) (*RouteTable, error) {
	t := &RouteTable{
		version:  spec.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[ServiceName]RoutedService, len(spec.Services)),
		shards:   make(map[ServiceName]bool),
		limits:   spec.Limits,
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		host := strings.ToLower(r.spec.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.routes = append(t.routes, r)
		for _, s := range r.spec.Shards {
			t.shards[s] = true
		}
	}
	for host, routes := range t.byHost {
		slices.SortFunc(routes, longestPrefixFirst)
		for i := 1; i < len(routes); i++ {
			if routes[i].spec.Prefix == routes[i-1].spec.Prefix {
				return nil, errors.Wrapf(ErrInvalid, "host %q has two routes with the prefix %q", host, routes[i].spec.Prefix)
			}
		}
	}
	if err := t.addOrganisations(spec.Organisations); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *RouteTable) addOrganisations(all []*Organisation) error {
	t.organisations = make(map[OrganisationName]*Organisation, len(all))
	t.byKey = make(map[keyDigest]*Organisation, len(all))
	for _, o := range all {
		if _, taken := t.organisations[o.name]; taken {
			return errors.Wrapf(ErrInvalid, "there are two organisations named %q", o.name)
		}
		t.organisations[o.name] = o
		for _, digest := range o.digests {
			if other, taken := t.byKey[digest]; taken && other != o {
				return errors.Wrapf(ErrInvalid, "organisations %q and %q have a common key", other.name, o.name)
			}
			t.byKey[digest] = o
		}
	}
	return nil
}

func longestPrefixFirst(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix)),
		cmp.Compare(a.spec.Prefix, b.spec.Prefix),
	)
}

// Version is the version of the table.
func (t *RouteTable) Version() RouteVersion { return t.version }

// Routes lists all routes in the order of the configuration. The caller must not change it.
func (t *RouteTable) Routes() []*Route { return t.routes }

// IsShard reports whether a service is a shard of any route.
func (t *RouteTable) IsShard(s ServiceName) bool { return t.shards[s] }

// MinShardConnections is the lowest MaxConnections of all shards; 0 if there are
// no shards or it is unknown for one of them.
func (t *RouteTable) MinShardConnections() int {
	lowest := 0
	for s := range t.shards {
		n := t.services[s].MaxConnections
		if n == 0 {
			return 0
		}
		if lowest == 0 || n < lowest {
			lowest = n
		}
	}
	return lowest
}

// HasOrganisations reports whether callers need an API key for routes that aren't public.
func (t *RouteTable) HasOrganisations() bool { return len(t.organisations) > 0 }

// Organisations maps the names of all organisations to them. The caller must not change it.
func (t *RouteTable) Organisations() map[OrganisationName]*Organisation { return t.organisations }

// Organisation looks up an organisation by its name.
func (t *RouteTable) Organisation(name OrganisationName) (*Organisation, bool) {
	o, ok := t.organisations[name]
	return o, ok
}

// OrganisationOfKey looks up the organisation that has an API key.
func (t *RouteTable) OrganisationOfKey(apiKey string) (*Organisation, bool) {
	o, ok := t.byKey[digestOf(apiKey)]
	return o, ok
}

// Limits are the limits on callers' requests and connections.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// Service looks up the configuration of a service.
func (t *RouteTable) Service(name ServiceName) (RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a request: among the host's routes, the one with the
// longest matching path prefix. A port in host is ignored.
//
// Example: with routes at /lots/ and /lots/old/, the path /lots/old/7 matches the
// second.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
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
