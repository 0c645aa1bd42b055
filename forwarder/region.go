package forwarder

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// leastHelped is the number of shards from which on handing them to another
	// region costs less than asking them from here.
	leastHelped = 3
	// helpMargin is kept, besides the way, for a helper's answer to come back.
	helpMargin = 10 * time.Millisecond
	// workRoom is what a helper needs, besides the time to ask an upstream in a third
	// region and as long again to notice that it must.
	workRoom = 10 * time.Millisecond
)

// help is the part of a request that a daemon of another region answers: the shards
// whose upstreams stand there and not here. One merged answer comes back instead of
// many parts.
type help struct {
	call   almondstep.CallID
	to     almondstep.DaemonID
	shards []almondstep.ServiceName
	// merged is the helper's answer; ended says that none will come any more.
	merged *almondstep.MergedAnswer
	ended  bool
}

// pending is the number of shards that a helper may still answer.
func (h *help) pending() int {
	if h == nil || h.ended {
		return 0
	}
	return len(h.shards)
}

// included is the number of shards in the helper's answer.
func (h *help) included() int {
	if h == nil || h.merged == nil {
		return 0
	}
	return len(h.merged.Signatures)
}

// total is the number of shards of the request.
func (r *request) total() int {
	if r.help == nil {
		return len(r.shards)
	}
	return len(r.shards) + len(r.help.shards)
}

// isPart says that the request is itself a part of one that another region's daemon
// answers: anything of it is enough.
func (r *request) isPart() bool { return r.route.MinCoverage() <= 0 }

// handPart hands the shards without an upstream in this region to a daemon of the
// region where most of them have one.
func (f *Forwarder) handPart(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	if !r.gathers() || r.isPart() {
		return
	}
	region, far := f.farShards(r)
	if len(far) < leastHelped || !r.route.Allows(region) {
		return
	}
	helpers := r.directory.RegionalDelegates(region)
	to, ok := f.mates.pick(now, helpers, func(id almondstep.DaemonID) bool { return f.mates.seen(id).wayKnown(now) })
	f.measureOne(now, helpers, out)
	if !ok {
		return
	}
	route, ok := r.partRoute(now, far, f.mates.seen(to.ID).way)
	if !ok {
		return
	}
	call := f.sendGather(now, r, to, route, r.deadline.Sub(now), out)
	r.help = &help{call: call, to: to.ID, shards: far}
	r.trace.RegionalDelegate = to.ID
	r.shards = slices.DeleteFunc(r.shards, func(s shard) bool { return slices.Contains(far, s.service) })
	r.open = len(r.shards)
}

// measureOne has the way to one of the helpers measured, if some isn't known.
func (f *Forwarder) measureOne(now almondstep.Instant, helpers []almondstep.Delegate, out *[]almondstep.Effect) {
	for _, to := range helpers {
		s := f.mates.seen(to.ID)
		if s.toMeasure(now) {
			s.measuring = true
			*out = append(*out, &almondstep.MeasureRTT{To: to})
			return
		}
	}
}

// measured takes in the way to a helper.
func (f *Forwarder) measured(now almondstep.Instant, e *almondstep.RTTMeasured) {
	s := f.mates.seen(e.To)
	if e.Err != "" {
		s.measured(now, 0)
		return
	}
	s.measured(now, e.Took)
}

// farShards finds the region other than this one in which most of the shards have an
// upstream that have none here, and those shards.
func (f *Forwarder) farShards(r *request) (almondstep.RegionName, []almondstep.ServiceName) {
	byRegion := make(map[almondstep.RegionName][]almondstep.ServiceName)
	for i := range r.shards {
		s := r.shards[i].service
		upstreams := r.directory.Upstreams(s)
		if slices.ContainsFunc(upstreams, func(u *almondstep.Upstream) bool { return u.Region == f.region }) {
			continue
		}
		for region := range r.directory.RegionalDelegatesByRegion() {
			if slices.ContainsFunc(upstreams, func(u *almondstep.Upstream) bool { return u.Region == region }) {
				byRegion[region] = append(byRegion[region], s)
			}
		}
	}
	var best almondstep.RegionName
	for region, shards := range byRegion {
		most := len(byRegion[best])
		if len(shards) > most || len(shards) == most && f.prefers(r, region, best) {
			best = region
		}
	}
	return best, byRegion[best]
}

// prefers lets requests take turns between regions that are as good.
func (f *Forwarder) prefers(r *request, a, b almondstep.RegionName) bool {
	if uint64(r.id)%2 == 0 {
		return a < b
	}
	return a > b
}

// partRoute is the route of the shards that a helper answers; false if it has too
// little time. It answers with what is in early enough for its answer to come back.
func (r *request) partRoute(now almondstep.Instant, far []almondstep.ServiceName, way time.Duration) (*almondstep.Route, bool) {
	left := r.answerBy.Sub(now) - way - helpMargin
	if left < 2*way+workRoom {
		return nil, false
	}
	p := r.route.Spec()
	p.Shards = far
	p.MinCoverage = 0
	p.LatencyTarget = left + replyTime
	route, err := almondstep.NewRoute(p)
	return &route, err == nil
}

// helped takes a helper's answer in. Where it certainly hasn't run, the shards are
// asked from here.
func (f *Forwarder) helped(now almondstep.Instant, r *request, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	h := r.help
	h.ended = true
	out = f.noteEnded(now, r, "helper", h.to, e, out)
	if r.answered {
		return f.forget(r, out)
	}
	if e.HasNotRun() {
		f.takeBack(now, r, &out)
	} else if e.Reply != nil {
		h.merged = e.Reply.Merged
	}
	return f.proceed(now, r, out)
}

// takeBack asks a helper's shards from here.
func (f *Forwarder) takeBack(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	services := r.help.shards
	r.help = nil
	for _, s := range services {
		r.shards = append(r.shards, shard{service: s})
		r.open++
		f.first(now, r, len(r.shards)-1, out)
	}
}

// dropHelp gives up waiting for a helper.
func (f *Forwarder) dropHelp(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	h := r.help
	if h == nil || h.ended {
		return out
	}
	h.ended = true
	return f.giveUpCall(now, r, "helper", h.to, h.call, out)
}
