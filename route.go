package almondstep

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RouteName names a route in logs and metrics.
type RouteName string

// RegionName names a region, a group of availability zones near each other.
type RegionName string

// RouteSpec is what a route is made of.
type RouteSpec struct {
	Name RouteName
	// Host and Prefix choose the requests of the route. A prefix begins and ends
	// with a slash.
	Host   string
	Prefix string
	// Idempotent requests may be sent more than once.
	Idempotent bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Priority is the rank under overload; 0 is the highest.
	Priority int
	// Attempts is the number of upstreams that one request may be sent to, for
	// each shard apart.
	Attempts int
	// Regions are the only regions that may see the request; empty allows all.
	Regions []RegionName
	// Targets share the requests by weight. Exactly one of Targets and Shards is
	// given.
	Targets []RouteTarget
	// Shards are the services that each hold a part of the answer.
	Shards []ServiceName
	// Records is the number of records that an answer over shards keeps.
	Records int
	// MinCoverage is the share of the shards, 0 to 1, that an answer needs.
	MinCoverage float64
}

// RouteTarget is a service and its weight among a route's targets.
type RouteTarget struct {
	Service ServiceName
	Weight  float64
}

// Route says which services answer the requests of a host and a path prefix,
// and how. It is immutable.
type Route struct{ parts RouteSpec }

// NewRoute checks the parts; it returns ErrInvalid if they make no route.
func NewRoute(p RouteSpec) (Route, error) {
	fail := func(problem string) (Route, error) {
		return Route{}, errors.Wrapf(ErrInvalid, "route %q: %s", p.Name, problem)
	}
	switch {
	case p.Host == "":
		return fail("the host is missing")
	case !strings.HasPrefix(p.Prefix, "/") || !strings.HasSuffix(p.Prefix, "/"):
		return fail("the prefix doesn't begin and end with a slash")
	case p.Timeout <= 0:
		return fail("the timeout isn't above 0")
	case (len(p.Targets) == 0) == (len(p.Shards) == 0):
		return fail("it needs either targets or shards")
	case len(p.Shards) > 0 && p.Records < 0:
		return fail("the number of records is negative")
	case p.MinCoverage < 0 || p.MinCoverage > 1:
		return fail("the least coverage isn't between 0 and 1")
	}
	if !soundTargets(p.Targets) {
		return fail("a weight is negative, or all are 0")
	}
	p.Attempts = max(1, p.Attempts)
	return Route{parts: p}, nil
}

func soundTargets(targets []RouteTarget) bool {
	sum := 0.0
	for _, t := range targets {
		if t.Weight < 0 {
			return false
		}
		sum += t.Weight
	}
	return len(targets) == 0 || sum > 0
}

// Name names the route.
func (r *Route) Name() RouteName { return r.parts.Name }

// Idempotent says that a request may be sent more than once.
func (r *Route) Idempotent() bool { return r.parts.Idempotent }

// Timeout is the longest time a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.parts.Timeout }

// LatencyTarget is the time within which an answer has its full value.
func (r *Route) LatencyTarget() time.Duration { return r.parts.LatencyTarget }

// Priority is the rank under overload; 0 is the highest.
func (r *Route) Priority() int { return r.parts.Priority }

// Attempts is the number of upstreams one request may be sent to, at least 1.
func (r *Route) Attempts() int { return r.parts.Attempts }

// Targets share the requests by weight; empty if the route is over shards. The
// caller must not change it.
func (r *Route) Targets() []RouteTarget { return r.parts.Targets }

// Shards are the services that each hold a part of the answer. The caller must
// not change it.
func (r *Route) Shards() []ServiceName { return r.parts.Shards }

// Records is the number of records that an answer over shards keeps.
func (r *Route) Records() int { return r.parts.Records }

// MinCoverage is the share of the shards that an answer needs.
func (r *Route) MinCoverage() float64 { return r.parts.MinCoverage }

// Spec is what the route is made of, to be passed on. The caller must not change
// what its slices hold.
func (r *Route) Spec() RouteSpec { return r.parts }

// Allows says whether upstreams of a region may see the requests.
func (r *Route) Allows(region RegionName) bool {
	for _, allowed := range r.parts.Regions {
		if allowed == region {
			return true
		}
	}
	return len(r.parts.Regions) == 0
}
