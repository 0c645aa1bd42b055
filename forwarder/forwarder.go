package forwarder

import (
	"time"

	"almondstep"
	"almondstep/admitter"
	"almondstep/budgeter"
	"almondstep/pauser"
	"almondstep/picker"
)

// Config holds the daemon's location and the fleet-wide limits.
type Config struct {
	// Zone and Region are those of this daemon.
	Zone   almondstep.ZoneName
	Region almondstep.RegionName
	// Cores is the processor time available to this daemon's VM, in cores; 0 if unknown.
	Cores float64
	// Seed is that of the random choice among upstreams.
	Seed uint64
	// RetryRatio, RetrySlack and RetryWindow limit the calls beyond the first of
	// each request, for each service, as in budgeter.Budget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack limit the rate of calls to a cold upstream, as in
	// budgeter.ColdLimiter.
	ColdFactor float64
	ColdSlack  float64
	// FirstStart is set if the whole fleet starts for the first time, so that no earlier process of this
	// daemon has used a part of the limits.
	FirstStart bool
	// CrashLimit is the number of upstreams that may crash under a request before it is
	// refused; 0 means that requests aren't refused for that reason. CrashMemory is how
	// long it is refused then.
	CrashLimit  int
	CrashMemory time.Duration
	// RenewInterval is that at which upstreams renew their entries in the registry; an entry
	// that isn't renewed for three intervals is removed. 0 means that it isn't known.
	RenewInterval time.Duration
	// ExposeShare and ExposeSlack limit the calls to a version in rollout, over all daemons: that
	// share of the service's requests, and so many more.
	ExposeShare float64
	ExposeSlack float64
}

// Forwarder is the reducer partition for the routed requests of one traffic thread.
type Forwarder struct {
	picker    picker.Picker
	budget    budgeter.Budget
	cold      budgeter.ColdLimiter
	requests  map[almondstep.QueryID]*request
	calls     map[almondstep.CallID]callRef
	balancers map[almondstep.RouteName]*targetBalancer
	delegates delegatePool
	load      gatherLoad
	needed    neededShards
	rates     budgeter.RateLimiter
	leaving   leavingRuns
	pauses    pauser.Pauser
	checks    statusChecks
	silent    silentUpstreams
	answered  recentAnswers
	rollouts  rolloutSplits
	// suspects are those of the last view.
	suspects map[almondstep.Fingerprint]int
	// rechecksAt has, for refused requests, when this thread may claim a recheck again.
	rechecksAt map[almondstep.Fingerprint]almondstep.Instant
	gate       *admitter.Gate
	// directory is the one last passed to picker and delegates.
	directory *almondstep.Directory
	region    almondstep.RegionName
	lastCall  almondstep.CallID
	// organisationRoutes holds the routes of routesVersion as they apply to organisations.
	organisationRoutes map[organisationRoute]*almondstep.Route
	routesVersion      almondstep.RouteVersion
	// firstStart, crashLimit and crashMemory are those of the configuration.
	firstStart  bool
	crashLimit  int
	crashMemory time.Duration
	// cappedTo is the last View.AnswerBy to which the deadlines were capped.
	cappedTo almondstep.Instant
	// view is that of the event being processed.
	view *almondstep.View
	// explains is set in a copy that explains a request, whose organisation is given by name.
	explains bool
}

// callRef locates a call in its request.
type callRef struct {
	shard int
	call  int
}

// New returns a Forwarder for cfg.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		picker:    picker.Picker{Zone: cfg.Zone, Region: cfg.Region, Seed: cfg.Seed},
		budget:    budgeter.Budget{Ratio: cfg.RetryRatio, Slack: cfg.RetrySlack, Window: cfg.RetryWindow},
		cold:      budgeter.ColdLimiter{Factor: cfg.ColdFactor, Slack: cfg.ColdSlack},
		requests:  make(map[almondstep.QueryID]*request),
		calls:     make(map[almondstep.CallID]callRef),
		rates:     budgeter.RateLimiter{Seed: cfg.Seed},
		pauses:    pauser.Pauser{Random: almondstep.NewRandom(cfg.Seed)},
		balancers: make(map[almondstep.RouteName]*targetBalancer),
		gate:      admitter.NewGate(cfg.Seed),
		region:    cfg.Region,
		delegates: delegatePool{zone: cfg.Zone},
		load:      gatherLoad{cores: cfg.Cores},
		needed:    make(neededShards),
		rollouts:  rolloutSplits{share: cfg.ExposeShare, slack: cfg.ExposeSlack, seed: cfg.Seed},

		silent:      silentUpstreams{renewInterval: cfg.RenewInterval},
		firstStart:  cfg.FirstStart,
		crashLimit:  cfg.CrashLimit,
		crashMemory: cfg.CrashMemory,
	}
}

// Reduce processes one event, starts the waiting requests for which there is capacity then,
// and appends the resulting effects to out.
func (f *Forwarder) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if e, ok := e.(*almondstep.ExplainRequest); ok {
		return append(out, &almondstep.ReplyExplain{Call: e.Call, Explanation: f.explain(now, v, e)})
	}
	return f.startWaiting(now, f.reduce(now, v, e, out))
}

func (f *Forwarder) reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	f.view = v
	switch e := e.(type) {
	case *almondstep.RequestArrived:
		_, out = f.requestArrived(now, v, e, out)
		return out
	case *almondstep.CallEnded:
		return f.callEnded(now, e, out)
	case *almondstep.GatherEnded:
		return f.gatherEnded(now, e, out)
	case *almondstep.QuotaDecided:
		return f.quotaDecided(now, e, out)
	case *almondstep.RecheckClaimed:
		return f.recheckDecided(now, e, out)
	case *almondstep.RTTMeasured:
		f.rttMeasured(now, e)
	case *almondstep.RequestTimer:
		return f.timerExpired(now, e.ID, out)
	case *almondstep.RequesterGone:
		return f.requesterGone(now, e.ID, out)
	case *almondstep.ViewChanged:
		if d := v.Directory(); d != nil && d != f.directory {
			f.begin(now)
			f.directory = d
			f.picker.UpdateDirectory(d)
			f.updateGate(d)
			f.delegates.retain(d)
			f.rates.Retain(d)
			f.cold.Retain(now)
			f.leaving.retain(now, d)
			f.pauses.Retain(now, d)
			f.checks.retain(d)
			f.needed.retain(now)
			out = f.reportSilentCrashes(now, out)
			out = f.rollouts.update(d, out)
		}
		f.forgetRechecks()
		return f.capDeadlines(now, f.clearAnswered(now, out))
	}
	return out
}

// begin records in the limits, with the first directory, that this process begins.
func (f *Forwarder) begin(now almondstep.Instant) {
	if f.directory != nil || f.firstStart {
		return
	}
	f.budget.Begin(now)
	f.cold.Begin(now)
}

// Open returns the number of requests that have a pending call or aren't yet answered.
func (f *Forwarder) Open() int { return len(f.requests) }
