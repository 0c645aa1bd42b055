package quarantiner

import (
	"cmp"
	"time"

	"almondstep"
)

const (
	// maxSilentOfOneAttempt bounds the silent crashes that count towards Limit as long as one
	// attempt of the request has met them all: an outage of a zone silences all upstreams that
	// one attempt has tried.
	maxSilentOfOneAttempt = 2
	// minAttempts is the number of attempts from which on that isn't bounded.
	minAttempts = 2
)

// judge quarantines the requests that are the likeliest causes of the crashes, and ends the
// quarantine of those whose crashes they explain. A silent crash has one cause, so a request
// under which many upstreams crashed explains the silent crashes that also count against
// others: those that ran beside it, or were sent to an upstream that was silent already.
//
// Example: i1, i2, i3 and i4 crashed silently under one request, and i1, i2 and i3 under
// another. Only the first one is quarantined.
func (q *Quarantine) judge(now almondstep.Instant) {
	explained := make(map[almondstep.UpstreamRun]bool)
	causes := make(map[*suspect]bool)
	for {
		found := q.likeliest(explained, causes)
		if len(found) == 0 {
			break
		}
		for _, s := range found {
			causes[s] = true
			for _, c := range s.crashes {
				explained[c.upstream] = true
			}
		}
	}
	for _, s := range q.suspects {
		switch {
		case !causes[s]:
			s.until = 0
		case s.until == 0:
			s.until = now.Add(q.Duration)
		}
	}
}

// likeliest lists the requests that aren't among causes and have the strongest claim to
// the crashes that aren't explained yet, if that reaches Limit.
func (q *Quarantine) likeliest(explained map[almondstep.UpstreamRun]bool, causes map[*suspect]bool) []*suspect {
	var found []*suspect
	var strongest claim
	for _, s := range q.suspects {
		c := s.claim(explained)
		if causes[s] || c.counted < q.Limit {
			continue
		}
		switch order := c.compare(strongest); {
		case order > 0:
			strongest, found = c, []*suspect{s}
		case order == 0:
			found = append(found, s)
		}
	}
	return found
}

// claim is how strongly a request is suspected of being the cause of crashes.
type claim struct {
	// crashes is the number of crashes, and counted that of those that count towards Limit.
	crashes int
	counted int
	// sentAgo is the sum of the times since the calls to the upstreams that fell silent. Of
	// two requests, that which was sent earlier is the likelier cause: the other one may have
	// been sent to upstreams that were silent already.
	sentAgo time.Duration
}

// compare returns whether a claim is stronger (1), weaker (-1) or as strong (0) as another.
func (c claim) compare(other claim) int {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.sentAgo, other.sentAgo))
}

// claim returns the request's claim to the crashes that aren't explained.
func (s *suspect) claim(explained map[almondstep.UpstreamRun]bool) claim {
	var total claim
	silent := 0
	for _, c := range s.crashes {
		switch {
		case !c.evidence.Silent():
			total.counted++
		case explained[c.upstream]:
			continue
		default:
			silent++
		}
		total.crashes++
		total.sentAgo += c.evidence.SentAgo
	}
	if len(s.attempts) < minAttempts {
		silent = min(silent, maxSilentOfOneAttempt)
	}
	total.counted += silent
	return total
}
