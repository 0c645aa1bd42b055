package forwarder

import (
	"time"

	"almondstep"
	"almondstep/budgeter"
	"almondstep/picker"
)

// Config sets the bounds that hold over all daemons together.
type Config struct {
	// Zone and Region are the daemon's own.
	Zone   almondstep.ZoneName
	Region almondstep.RegionName
	Seed   uint64
	// RetryRatio, RetrySlack and RetryWindow bound the calls beyond the first of
	// each request, for each service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack bound the rate of calls to a cold upstream.
	ColdFactor float64
	ColdSlack  float64
}

// Forwarder is the partition of routed requests on one traffic thread.
type Forwarder struct {
	picker   picker.Picker
	budget   budgeter.Budget
	cold     budgeter.Cold
	requests map[almondstep.QueryID]*request
	calls    map[almondstep.CallID]callRef
	splits   map[almondstep.RouteName]*split
	mates    mates
	// directory is the one that picker and mates know.
	directory *almondstep.Directory
	region    almondstep.RegionName
	lastCall  almondstep.CallID
}

// callRef finds a call's place in its request.
type callRef struct {
	shard int
	call  int
}

// New makes a Forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		picker:   picker.Picker{Zone: cfg.Zone, Region: cfg.Region, Seed: cfg.Seed},
		budget:   budgeter.Budget{Ratio: cfg.RetryRatio, Slack: cfg.RetrySlack, Window: cfg.RetryWindow},
		cold:     budgeter.Cold{Factor: cfg.ColdFactor, Slack: cfg.ColdSlack},
		requests: make(map[almondstep.QueryID]*request),
		calls:    make(map[almondstep.CallID]callRef),
		splits:   make(map[almondstep.RouteName]*split),
		region:   cfg.Region,
	}
}

// Reduce takes one event and appends what is to be done to out.
func (f *Forwarder) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.RequestArrived:
		return f.arrived(now, v, e, out)
	case *almondstep.CallEnded:
		return f.callEnded(now, e, out)
	case *almondstep.GatherEnded:
		return f.gatherEnded(now, e, out)
	case *almondstep.RTTMeasured:
		f.measured(now, e)
	case *almondstep.RequestTimer:
		return f.timer(now, e.ID, out)
	case *almondstep.RequesterGone:
		return f.requesterGone(now, e.ID, out)
	case *almondstep.ViewChanged:
		if d := v.Directory(); d != nil && d != f.directory {
			f.directory = d
			f.picker.Keep(d)
			f.mates.keep(d)
		}
	}
	return out
}

// Open is the number of requests with a call under way or not yet answered.
func (f *Forwarder) Open() int { return len(f.requests) }
