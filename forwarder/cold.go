package forwarder

import (
	"slices"

	"almondstep"
	"almondstep/ranker"
)

// takeCold reports whether an upstream isn't cold, or may be called within this daemon's share of
// the rate of calls to a cold one, from which the call is then taken. The calls to an upstream that
// isn't cold are counted too, since it may become cold at any moment.
func (f *Forwarder) takeCold(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) bool {
	service, _ := r.directory.Routes().Service(s.service)
	rate := service.ColdPerSecond
	if !f.picker.Cold(now, u) {
		f.cold.Count(now, u.ID, rate)
		return true
	}
	isFirst := func(n int) bool { return f.isFirstOf(r, n, u.ID) }
	return f.cold.Take(now, u.ID, rate, r.budgetDivisor(s.service), isFirst)
}

// isFirstOf reports whether this daemon is among the first n in the order of all daemons for an
// upstream, which is the same at each of them.
func (f *Forwarder) isFirstOf(r *request, n int, u almondstep.UpstreamID) bool {
	self, members := f.view.Self(), r.directory.Members()
	isSelf := func(m almondstep.Member) bool { return m.ID == self }
	if r.directory.Unlisted() || !slices.ContainsFunc(members, isSelf) {
		return false
	}
	ids := func(yield func(almondstep.DaemonID) bool) {
		for _, m := range members {
			if !yield(m.ID) {
				return
			}
		}
	}
	return ranker.Place(string(u), self, ids) < n
}
