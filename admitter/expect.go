package admitter

import (
	"time"

	"almondstep"
)

const (
	// minSpread is the minimum range of the random part of a Retry-After.
	minSpread = 50 * time.Millisecond
	// 1/maxWaitPart of the latency target is the longest wait. Waits of up to the latest
	// start in time gave callers less (docs/design/admission.md).
	maxWaitPart = 4
	// A request is expected to take serviceTimesOne/2 service times if it is for one
	// service, and serviceTimesShards/2 if it is over shards, of which the slowest counts.
	serviceTimesOne    = 3
	serviceTimesShards = 6
)

// setStarts sets when a request must start: to be answered while the answer has its full
// value, or by its deadline if it takes longer than that in any case. takes is the time of a
// call to the fastest upstream. The request waits for a part of
// that time only, so that its caller has time for another try.
func (e *entry) setStarts(takes time.Duration) {
	wanted := takes * serviceTimesOne / 2
	if len(e.Route.Shards()) > 0 {
		wanted = takes * serviceTimesShards / 2
	}
	e.lastStart = max(e.ArrivedAt, e.Deadline.Add(-wanted))
	end := e.Deadline
	if e.ArrivedAt.Add(wanted) <= e.AnswerBy {
		end = e.AnswerBy
	}
	e.latestStart = min(end.Add(-wanted), e.ArrivedAt.Add(e.span()/maxWaitPart))
}

// expect returns whether a request can be expected to start in time. If it has capacity
// now, those before it in the order lack another one, so that it isn't refused.
func (g *Gate) expect(now almondstep.Instant, e *entry, o outlook) Verdict {
	blocked := g.processor.wait(e.Work)
	room := max(o.wait, blocked)
	v := Verdict{Decision: Wait, Cause: CauseService, CheckAt: now.Add(max(minCheck, room))}
	if blocked > o.wait {
		v.Cause = CauseProcessor
	}
	if room == 0 && now < e.lastStart {
		return v
	}
	interval := max(o.interval, e.lane.interval, g.processorInterval(e.Work))
	turn := room + time.Duration(e.lane.ahead(e))*interval
	if now.Add(turn) > e.latestStart {
		v.Decision = Refuse
		v.RetryAfter = g.spread(turn)
		return v
	}
	v.CheckAt = min(v.CheckAt, max(e.latestStart, now.Add(minCheck)))
	return v
}

// processorInterval returns the time in which the processor ends so many calls, if it is
// short of capacity; otherwise 0.
func (g *Gate) processorInterval(work int) time.Duration {
	if g.processor.limit == 0 {
		return 0
	}
	return g.processor.interval * time.Duration(work)
}

// spread returns the Retry-After for a turn that is expected after the given time, with a
// random part that spreads the retries of refused clients.
func (g *Gate) spread(turn time.Duration) time.Duration {
	turn = max(minCheck, turn)
	return turn + time.Duration(g.random.Next()%uint64(max(turn, minSpread)))
}
