package forwarder

import (
	"maps"
	"slices"

	"almondstep"
	"almondstep/budgeter"
	"almondstep/ranker"
)

const (
	// A daemon stops using a new version by itself when its score of failures reaches
	// pauseScore. A failure adds 1, and any other answer takes localGoodScore back: a version
	// that fails less often than one in ten times is left to the leader, which has the counts
	// of all daemons and of the old version.
	pauseScore     = 3
	localGoodScore = 0.1
)

// rolloutSplits splits the calls of services in rollout by the version of their upstreams. It
// has no state for a service without a rollout, of which all upstreams may be called.
type rolloutSplits struct {
	share, slack float64
	seed         uint64
	services     map[almondstep.ServiceName]*rolloutSplit
}

// rolloutSplit is what this daemon may send to the new version of one service.
type rolloutSplit struct {
	rollout  *almondstep.Rollout
	stage    almondstep.RolloutStage
	exposure budgeter.Exposure
	// oldOpen counts the open calls to upstreams of other versions.
	oldOpen int
	// score is that of recent failures of the new version; paused is set once it has reached
	// pauseScore, until the next stage.
	score  float64
	paused bool
	// rolledBack and completed are the final states of the rollout.
	rolledBack, completed bool
	// hasGoodOld is set if upstreams are listed that have neither the new version nor one to avoid.
	hasGoodOld bool
}

// update follows the rollouts of a new directory, and reports the counts of those whose stage
// has changed.
func (l *rolloutSplits) update(d *almondstep.Directory, out []almondstep.Effect) []almondstep.Effect {
	for service := range l.services {
		if r := d.Rollouts()[service]; r == nil || !restricts(d, r) {
			delete(l.services, service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(d.Rollouts())) {
		r := d.Rollouts()[service]
		if !restricts(d, r) {
			continue
		}
		if l.services == nil {
			l.services = make(map[almondstep.ServiceName]*rolloutSplit)
		}
		s, known := l.services[service]
		if !known || s.rollout.Version() != r.Version() || s.rolledBack && s.rollout.OrderRevision != r.OrderRevision {
			s = l.newSplit(service, s)
			s.rollout = r
			l.services[service] = s
		}
		s.hasGoodOld = lists(d, service, func(v almondstep.UpstreamVersion) bool { return v != r.Version() && !r.Avoids(v) })
		if s.follow(r) {
			out = append(out, s.observation())
		}
	}
	return out
}

// restricts reports whether the versions of a service's upstreams matter. Those of a rollout whose
// order was withdrawn do only while there are others.
func restricts(d *almondstep.Directory, r *almondstep.Rollout) bool {
	isOld := func(v almondstep.UpstreamVersion) bool { return v != r.Version() }
	return r.Restricts() && (r.Order != nil || lists(d, r.Service, isOld))
}

// lists reports whether the directory lists an upstream of a service with such a version.
func lists(d *almondstep.Directory, service almondstep.ServiceName, is func(almondstep.UpstreamVersion) bool) bool {
	return slices.ContainsFunc(d.Upstreams(service), func(u *almondstep.Upstream) bool { return is(u.Version) })
}

// newSplit returns the split of a new rollout; before is that of an earlier one, or nil.
func (l *rolloutSplits) newSplit(service almondstep.ServiceName, before *rolloutSplit) *rolloutSplit {
	const fractionBits = 53
	phase := float64(almondstep.HashUint64(l.seed^ranker.Hash(string(service)))>>(64-fractionBits)) / (1 << fractionBits)
	s := &rolloutSplit{exposure: budgeter.Exposure{Bound: l.share, Phase: phase}}
	if before != nil {
		s.oldOpen = before.oldOpen
	}
	return s
}

// follow applies the newest state of the rollout, and reports whether the stage has changed.
func (s *rolloutSplit) follow(r *almondstep.Rollout) bool {
	stage, completed := almondstep.RolloutStage(0), false
	if d := r.Current(); d != nil {
		stage, completed = d.Stage, d.State == almondstep.RolloutCompleted
		s.rolledBack = d.State == almondstep.RolloutRolledBack
	}
	s.rollout = r
	if stage == s.stage && completed == s.completed && r.Share() == s.exposure.Share() {
		return false
	}
	s.stage, s.completed, s.score, s.paused = stage, completed, 0, false
	s.exposure.SetShare(r.Share())
	return true
}

// observation returns an event with the present counts and without an answer.
func (s *rolloutSplit) observation() *almondstep.RolloutObserved {
	return &almondstep.RolloutObserved{
		Service:       s.rollout.Service,
		OrderRevision: s.rollout.OrderRevision,
		Stage:         s.stage,
		OldOpen:       s.oldOpen,
		Paused:        s.paused,
		Requests:      s.exposure.Requests(),
		Exposed:       s.exposure.Exposed(),
	}
}

// countRequest counts a request of a service.
func (l *rolloutSplits) countRequest(service almondstep.ServiceName) {
	if s, ok := l.services[service]; ok {
		s.exposure.CountRequest()
	}
}

// isNew reports whether an upstream has the version that its service's rollout is about.
func (l *rolloutSplits) isNew(u *almondstep.Upstream) bool {
	s, ok := l.services[u.Service]
	return ok && u.Version == s.rollout.Version()
}

// allNew reports whether all calls must go to the new version. The pause of a daemon ends with
// the rollout's completion, since the old upstreams stop then.
func (s *rolloutSplit) allNew() bool { return s.exposure.Share() >= 1 && !s.paused }

// prefersNew reports whether a call belongs to the new version's share. Until all do, only first
// calls go there: a hedge or a retry goes to the old version, which is known to be good.
func (l *rolloutSplits) prefersNew(r *request, service almondstep.ServiceName, kind budgeter.CallKind) bool {
	s, ok := l.services[service]
	switch {
	case !ok || s.paused:
		return false
	case s.allNew():
		return true
	}
	return kind == budgeter.First && s.exposure.Allows(l.slack/2/float64(r.budgetDivisor(service)))
}

// mayCall reports whether an upstream may be called, by its version.
func (l *rolloutSplits) mayCall(r *request, u *almondstep.Upstream, kind budgeter.CallKind) bool {
	s, ok := l.services[u.Service]
	if !ok {
		return true
	}
	if u.Version == s.rollout.Version() {
		return l.prefersNew(r, u.Service, kind)
	}
	return !s.allNew() && (!s.hasGoodOld || !s.rollout.Avoids(u.Version))
}

// sent counts a call to an upstream, and reports whether the call goes to a new version whose
// rollout isn't completed.
func (l *rolloutSplits) sent(u *almondstep.Upstream) bool {
	s, ok := l.services[u.Service]
	switch {
	case !ok:
		return false
	case l.isNew(u):
		s.exposure.Take()
		return !s.completed
	default:
		s.oldOpen++
		return false
	}
}

// ended counts the end of a call, passes it to the control thread, and stops the use of the new
// version here if that fails.
func (l *rolloutSplits) ended(r *request, c *call, e *almondstep.CallEnded, cold bool, out []almondstep.Effect) []almondstep.Effect {
	s, ok := l.services[c.upstream.Service]
	if !ok {
		return out
	}
	isNew := l.isNew(c.upstream)
	if !isNew {
		s.oldOpen -= min(s.oldOpen, 1)
	} else if e.Result == almondstep.CallRefused {
		s.exposure.Refund()
	}
	bad := isFailure(e)
	if isNew && !e.Result.NotRun() {
		out = s.scoreAnswer(bad, out)
	}
	if s.completed || s.rolledBack {
		return out
	}
	o := s.observation()
	o.Answered = !e.Result.NotRun()
	o.Route, o.New, o.Bad, o.Took, o.Cold = r.route.Name(), isNew, bad, e.Took, cold
	return append(out, o)
}

// firstServerError is the lowest status by which an upstream says that it has failed. A lower
// one may be the right answer to the request.
const firstServerError = 500

// isFailure reports whether a call's result is a failure of its upstream.
func isFailure(e *almondstep.CallEnded) bool {
	switch e.Result {
	case almondstep.CallRejected:
		return e.Response == nil || e.Response.Status >= firstServerError
	case almondstep.CallBroken, almondstep.CallTimeout, almondstep.CallInvalidResponse:
		return true
	default:
		return false
	}
}

// scoreAnswer counts an answer of the new version for the decision to stop using it here.
func (s *rolloutSplit) scoreAnswer(bad bool, out []almondstep.Effect) []almondstep.Effect {
	d := s.rollout.Current()
	if !bad {
		s.score = max(0, s.score-localGoodScore)
		return out
	}
	s.score++
	if s.paused || s.score < pauseScore || d == nil || d.Final() {
		return out
	}
	s.paused = true
	return append(out, &almondstep.Report{
		Level:   almondstep.ReportWarn,
		Message: "new version fails; this daemon stops using it until the rollout's next stage",
		Subject: string(s.rollout.Service),
		Cause:   "version " + string(s.rollout.Version()),
		Version: s.rollout.OrderRevision,
	})
}
