package forwarder

import (
	"slices"
	"strconv"
	"time"

	"almondstep"
)

// observeLimit records the limit that an upstream states in a response, and logs when it
// begins or ceases to state one.
func (f *Forwarder) observeLimit(now almondstep.Instant, r *request, u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	switch {
	case e.Response == nil:
	case e.Limit != nil:
		if f.rates.State(now, u, *e.Limit, r.budgetDivisor(u.Service)) {
			rate := strconv.FormatFloat(*e.Limit, 'g', -1, 64) + " requests a second"
			return append(out, limitReport("upstream states a limit", u, rate))
		}
	case f.rates.Clear(now, u, now.Add(-e.Took)):
		return append(out, limitReport("upstream states no limit any more", u, ""))
	}
	return out
}

func limitReport(message string, u *almondstep.Upstream, cause string) *almondstep.Report {
	return &almondstep.Report{Level: almondstep.ReportInfo, Message: message, Subject: string(u.ID), Cause: cause}
}

// limitWait returns how long a shard that can't be called must wait until the limit of one
// of its upstreams allows a call, or its pause is over; 0 if neither is the reason.
func (f *Forwarder) limitWait(now almondstep.Instant, r *request, s *shard) time.Duration {
	least := time.Duration(0)
	for _, u := range f.upstreams(r, s.service) {
		paused := f.pauseWait(now, u)
		if !r.route.Allows(u.Region) || f.leaving.has(u) || paused == 0 && !f.rates.Limited(now, u) {
			continue
		}
		wait := max(paused+f.pauses.Spread(paused), f.rates.Wait(now, u, r.budgetDivisor(s.service)))
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// limitedShards returns the number of shards that weren't called because of limits.
func (r *request) limitedShards() int {
	n := 0
	for i := range r.shards {
		if r.shards[i].limitWait > 0 {
			n++
		}
	}
	return n
}

// minLimitedRetryAfter is the minimum delay after which a caller may retry if limits
// prevented its request.
const minLimitedRetryAfter = 50 * time.Millisecond

// refusal returns why a request that hasn't run is refused, and the delay after which its
// caller may retry. If it is limits that prevent more than the reachable shards from being
// called, that is the time until they allow enough calls.
func (r *request) refusal(reachable int) (almondstep.RefusalCode, time.Duration) {
	var waits []time.Duration
	for i := range r.shards {
		if wait := r.shards[i].limitWait; wait > 0 {
			waits = append(waits, wait)
		}
	}
	slices.Sort(waits)
	for i, wait := range waits {
		if r.covers(reachable + i + 1) {
			return almondstep.CodeLimited, max(wait, minLimitedRetryAfter)
		}
	}
	return almondstep.CodeNoReplica, noReplicaRetryAfter
}
