package forwarder

import (
	"time"

	"almondstep"
)

const (
	// answerMemory is how long it is remembered that an upstream has answered a request, and
	// maxRecentAnswers bounds the requests that are remembered.
	answerMemory     = time.Minute
	maxRecentAnswers = 8192
)

// recentAnswers remembers which requests upstreams have answered recently. Such a request
// isn't why an upstream falls silent: one that crashes upstreams is never answered. The zero
// value is empty.
type recentAnswers struct {
	// answeredAt has the last answer of each request; queue lists the requests in the order of
	// their first answers, from next on in a ring.
	answeredAt map[almondstep.Fingerprint]almondstep.Instant
	queue      []almondstep.Fingerprint
	next       int
}

// add records that an upstream has answered a request now.
func (a *recentAnswers) add(now almondstep.Instant, f almondstep.Fingerprint) {
	if a.answeredAt == nil {
		a.answeredAt = make(map[almondstep.Fingerprint]almondstep.Instant)
	}
	_, known := a.answeredAt[f]
	a.answeredAt[f] = now
	switch {
	case known:
	case len(a.queue) < maxRecentAnswers:
		a.queue = append(a.queue, f)
	default:
		delete(a.answeredAt, a.queue[a.next])
		a.queue[a.next] = f
		a.next = (a.next + 1) % maxRecentAnswers
	}
}

// before returns the time between the last answer to a request and a later instant; 0 if no
// answer is remembered.
func (a *recentAnswers) before(at almondstep.Instant, f almondstep.Fingerprint) time.Duration {
	answeredAt, known := a.answeredAt[f]
	if !known {
		return 0
	}
	return max(1, at.Sub(answeredAt))
}

// since reports whether an upstream has answered a request at an instant or later.
func (a *recentAnswers) since(at almondstep.Instant, f almondstep.Fingerprint) bool {
	answeredAt, known := a.answeredAt[f]
	return known && answeredAt >= at
}

// has reports whether an upstream has answered a request within answerMemory.
func (a *recentAnswers) has(now almondstep.Instant, f almondstep.Fingerprint) bool {
	return a.since(now.Add(-answerMemory), f)
}
