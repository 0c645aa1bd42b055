// Package allocator decides whether a request is within the rate limit of its organisation, over
// all daemons together.
//
// In each region one daemon, the lender, holds the region's token buckets; another daemon asks it
// for each request. One lender is the coordinator, which leases fractions of the limits to the
// lenders by their demand. The fractions in use sum to at most 1 at any time, also while daemons
// restart or can't reach each other. docs/design/quotas.md has the reasons.
package allocator

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

// Config holds the daemon's identity and the bounds of all limits.
type Config struct {
	Self almondstep.DaemonID
	// Epoch identifies this process among those that the daemon has run; not 0.
	Epoch uint64
	// Window, Overage and Slack bound the requests of an organisation with a rate and a burst:
	// in each window, (rate x window + burst) x (1 + overage) + slack. Window must be positive.
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// leaseRetryAfter is the time within which a lender gets a larger fraction, if there is one.
	leaseRetryAfter = 2 * reportInterval
	// unknownRetryAfter is short, since another daemon may reach a lender.
	unknownRetryAfter = 100 * time.Millisecond
)

// Allocator is the control partition for the quotas of organisations.
type Allocator struct {
	cfg       Config
	directory *almondstep.Directory
	// members and routes are those from which fleet and limits were made.
	members []almondstep.Member
	routes  *almondstep.RouteTable
	fleet   *fleet
	// groups is the number of groups for which roles were assigned last.
	groups int
	// startedAt is when the process began; staleFrom is since when the directory is stale, or 0.
	started   bool
	startedAt almondstep.Instant
	staleFrom almondstep.Instant
	limits    map[almondstep.OrganisationName]limit
	modes     map[almondstep.OrganisationName]mode
	statics   []map[almondstep.DaemonID]staticFraction
	// holders and coordinators hold this daemon's roles, by group.
	holders      map[int]*holder
	coordinators map[int]*coordinator
	lastCall     almondstep.CallID
	asks         map[almondstep.CallID]*pendingAsk
	reports      map[almondstep.CallID]pendingReport
	backoffs     map[almondstep.DaemonID]backoff
	reserves     map[almondstep.OrganisationName][]almondstep.Instant
}

// mode is whether one bucket serves all regions, and from when all daemons know that.
type mode struct {
	single      bool
	settledFrom almondstep.Instant
}

// New returns an Allocator that knows no other daemons yet.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg:          cfg,
		limits:       make(map[almondstep.OrganisationName]limit),
		modes:        make(map[almondstep.OrganisationName]mode),
		holders:      make(map[int]*holder),
		coordinators: make(map[int]*coordinator),
		asks:         make(map[almondstep.CallID]*pendingAsk),
		reports:      make(map[almondstep.CallID]pendingReport),
		backoffs:     make(map[almondstep.DaemonID]backoff),
		reserves:     make(map[almondstep.OrganisationName][]almondstep.Instant),
	}
}

// Reduce processes one event and appends the resulting effects to out.
func (a *Allocator) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if !a.started {
		a.started, a.startedAt = true, now
	}
	out = a.updateDirectory(now, v, out)
	switch e := e.(type) {
	case *almondstep.ControlTick:
		return a.tick(now, v, out)
	case *almondstep.RequestQuota:
		return a.decide(now, &pendingAsk{id: e.ID, organisation: e.Organisation}, out)
	case *almondstep.ReturnQuota:
		return a.giveBack(now, e.Organisation, out)
	case *almondstep.QuotaAnswered:
		return a.answered(now, e, out)
	case *almondstep.QuotaAsked:
		return append(out, &almondstep.ReplyQuotaAsk{Call: e.Call, Answer: a.lend(now, e.Ask)})
	case *almondstep.QuotaLeased:
		return a.leased(now, e, out)
	case *almondstep.QuotaReported:
		return append(out, &almondstep.ReplyQuotaReport{Call: e.Call, Lease: a.lease(now, &e.Report)})
	}
	return out
}

// updateDirectory takes over a changed directory. Before any event, since a traffic thread may ask
// for quota under a view that this partition hasn't been told of yet. A directory without routes is
// ignored: the daemons in it may be few of all.
func (a *Allocator) updateDirectory(now almondstep.Instant, v *almondstep.View, out []almondstep.Effect) []almondstep.Effect {
	d := v.Directory()
	if d == nil || d == a.directory || d.Routes() == nil {
		return out
	}
	a.directory = d
	members := d.Members()
	if len(members) == 0 {
		members = []almondstep.Member{{ID: a.cfg.Self}}
	}
	if d.Routes() == a.routes && slices.Equal(members, a.members) {
		return out
	}
	first := a.fleet == nil
	if first || !slices.Equal(members, a.members) {
		a.fleet, a.members = newFleet(members, a.cfg.Self), members
		maps.DeleteFunc(a.backoffs, func(id almondstep.DaemonID, _ backoff) bool {
			_, known := slices.BinarySearch(a.fleet.ids, id)
			return !known
		})
	}
	a.routes = d.Routes()
	a.updateLimits(now)
	a.updateStatics(now)
	out = a.updateRoles(now, first, out)
	a.refillAll(now)
	return out
}

// hadEntry reports whether the registry had the entry of this daemon's earlier process when it
// started. Otherwise it may have lost entries, also those of other daemons that are running.
func (a *Allocator) hadEntry() bool { return a.directory.MembersAtStart() > 0 }

// knowsMembers reports whether the directory has at least the daemons of this daemon's start.
func (a *Allocator) knowsMembers() bool {
	return a.hadEntry() && len(a.members) >= a.directory.MembersAtStart()
}

// updateLimits computes the limits of the organisations anew, and forgets those of organisations
// that are gone.
func (a *Allocator) updateLimits(now almondstep.Instant) {
	clear(a.limits)
	for name, o := range a.routes.Organisations() {
		if o.Limited() {
			l := limitOf(a.cfg, o, a.fleet.groups[a.fleet.groupOf(name)])
			a.limits[name] = l
			if m, ok := a.modes[name]; !ok {
				a.modes[name] = mode{single: l.single}
			} else if m.single != l.single {
				a.modes[name] = mode{single: l.single, settledFrom: now.Add(roleTime)}
			}
		}
	}
	gone := func(o almondstep.OrganisationName) bool { _, ok := a.limits[o]; return !ok }
	maps.DeleteFunc(a.modes, func(o almondstep.OrganisationName, _ mode) bool { return gone(o) })
	maps.DeleteFunc(a.reserves, func(o almondstep.OrganisationName, _ []almondstep.Instant) bool { return gone(o) })
	for _, h := range a.holders {
		maps.DeleteFunc(h.buckets, func(o almondstep.OrganisationName, _ *bucket) bool { return gone(o) })
	}
}

// updateRoles gives this daemon the roles that it has in the fleet, and logs changes of them.
func (a *Allocator) updateRoles(now almondstep.Instant, first bool, out []almondstep.Effect) []almondstep.Effect {
	for n := range max(len(a.fleet.groups), a.groups) {
		fraction, holds := 0.0, false
		if n < len(a.fleet.groups) {
			fraction, holds = a.fleet.groups[n].fractionOf(a.cfg.Self)
		}
		h := a.holders[n]
		switch {
		case holds && h == nil:
			h = newHolder(now, first, a.startedAt, a.hadEntry())
			a.holders[n] = h
			out = append(out, a.report("holds quotas of organisations", n, ""))
		case !holds && h != nil:
			delete(a.holders, n)
			out = append(out, a.report("holds no quotas of organisations any more", n, ""))
		}
		if !holds {
			delete(a.coordinators, n)
			continue
		}
		h.setStatic(now, fraction)
		h.setHome(now, a.fleet.groups[n].coordinator().ID == a.cfg.Self)
		if fraction > 0 && a.coordinators[n] == nil {
			a.coordinators[n] = newCoordinator(a.cfg.Epoch)
		}
		if fraction == 0 {
			delete(a.coordinators, n)
		}
	}
	a.groups = len(a.fleet.groups)
	return out
}

// tick sends the reports that are due.
func (a *Allocator) tick(now almondstep.Instant, v *almondstep.View, out []almondstep.Effect) []almondstep.Effect {
	if a.fleet == nil {
		return out
	}
	switch {
	case v.DirectoryFresh(now):
		a.staleFrom = 0
	case a.staleFrom == 0:
		a.staleFrom = now
	}
	if len(a.limits) == 0 {
		return out
	}
	a.refillAll(now)
	for _, n := range slices.Sorted(maps.Keys(a.holders)) {
		out = a.reportDemand(now, n, out)
	}
	return out
}

func (a *Allocator) nextCall() almondstep.CallID {
	a.lastCall++
	return a.lastCall
}
