package almondstep

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RouteName names a route in logs and metrics.
type RouteName string

// RegionName names a region, a group of nearby availability zones.
type RegionName string

// RouteSpec is the input of NewRoute.
type RouteSpec struct {
	Name RouteName
	// Host and Prefix select the requests of the route. Prefix is a path prefix that
	// begins and ends with a slash.
	Host   string
	Prefix string
	// Idempotent is set if a request may be sent more than once.
	Idempotent bool
	// Timeout is the maximum time a caller waits for the reply.
	Timeout time.Duration
	// LatencyTarget is the response time up to which an answer has its full value; 0
	// sets none.
	LatencyTarget time.Duration
	// Priority is the rank under overload; 0 is the highest.
	Priority int
	// Attempts is the maximum number of upstreams that one request is sent to,
	// counted for each shard separately; values below 1 mean 1.
	Attempts int
	// Regions are the regions whose upstreams may receive the requests; empty allows
	// all.
	Regions []RegionName
	// Targets are the services that share the requests by weight. Exactly one of
	// Targets and Shards must be set.
	Targets []RouteTarget
	// Shards are the services that each contribute a part of the answer.
	Shards []ServiceName
	// Records is the maximum number of records in an answer over shards.
	Records int
	// MinCoverage is the fraction of the shards, 0 to 1, that an answer needs.
	MinCoverage float64
	// Public is set if callers need no API key.
	Public bool
}

// RouteTarget is a service and its weight among a route's targets.
type RouteTarget struct {
	Service ServiceName
	Weight  float64
}

// Route determines which services answer the requests for a host and a path
// prefix, and how. It is immutable.
type Route struct{ spec RouteSpec }

// NewRoute validates the spec and returns its route, or ErrInvalid.
func NewRoute(spec RouteSpec) (Route, error) {
	fail := func(problem string) (Route, error) {
		return Route{}, errors.Wrapf(ErrInvalid, "route %q: %s", spec.Name, problem)
	}
	switch {
	case spec.Host == "":
		return fail("the host is missing")
	case !strings.HasPrefix(spec.Prefix, "/") || !strings.HasSuffix(spec.Prefix, "/"):
		return fail("the prefix doesn't begin and end with a slash")
	case spec.Timeout <= 0:
		return fail("the timeout isn't above 0")
	case (len(spec.Targets) == 0) == (len(spec.Shards) == 0):
		return fail("it needs either targets or shards, not both")
	case len(spec.Shards) > 0 && spec.Records < 0:
		return fail("the number of records is negative")
	case spec.MinCoverage < 0 || spec.MinCoverage > 1:
		return fail("the minimum coverage isn't between 0 and 1")
	}
	if !validTargets(spec.Targets) {
		return fail("a target's weight is negative, or all weights are 0")
	}
	spec.Attempts = max(1, spec.Attempts)
	return Route{spec: spec}, nil
}

func validTargets(targets []RouteTarget) bool {
	sum := 0.0
	for _, t := range targets {
		if t.Weight < 0 {
			return false
		}
		sum += t.Weight
	}
	return len(targets) == 0 || sum > 0
}

// Name is the route's name.
func (r *Route) Name() RouteName { return r.spec.Name }

// Idempotent reports whether a request may be sent more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout is the maximum time a caller waits for the reply.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyTarget is the response time up to which an answer has its full value; 0
// sets none.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// Priority is the rank under overload; 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// Attempts is the maximum number of upstreams that one request is sent to, counted
// for each shard separately; at least 1.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Targets are the services that share the requests by weight; empty if the route
// is over shards. The caller must not change it.
func (r *Route) Targets() []RouteTarget { return r.spec.Targets }

// Shards are the services that each contribute a part of the answer; empty if the
// route has targets. The caller must not change it.
func (r *Route) Shards() []ServiceName { return r.spec.Shards }

// Records is the maximum number of records in an answer over shards.
func (r *Route) Records() int { return r.spec.Records }

// MinCoverage is the fraction of the shards, 0 to 1, that an answer needs.
func (r *Route) MinCoverage() float64 { return r.spec.MinCoverage }

// Public reports whether callers need no API key.
func (r *Route) Public() bool { return r.spec.Public }

// Spec returns the spec of the route, for sending it to another daemon. The caller
// must not change the contents of its slices.
func (r *Route) Spec() RouteSpec { return r.spec }

// Allows reports whether upstreams of a region may receive the requests.
func (r *Route) Allows(region RegionName) bool {
	for _, allowed := range r.spec.Regions {
		if allowed == region {
			return true
		}
	}
	return len(r.spec.Regions) == 0
}
