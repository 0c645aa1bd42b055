package admitter

import (
	"time"

	"almondstep"
)

// Ask describes a request to be admitted.
type Ask struct {
	ID almondstep.QueryID
	// Route is that of the request; Service is its service, or the first of its shards.
	Route   *almondstep.Route
	Service almondstep.ServiceName
	// Local is set if this daemon calls the upstreams itself. Otherwise only the capacity
	// of its processor counts.
	Local        bool
	Priority     int
	Organisation almondstep.OrganisationName
	// Work is the number of calls that this daemon makes for the request.
	Work int
	// ArrivedAt, AnswerBy and Deadline are those of the request; AnswerBy is the last
	// instant at which an answer has its full value.
	ArrivedAt almondstep.Instant
	AnswerBy  almondstep.Instant
	Deadline  almondstep.Instant
}

// span returns the time from the arrival of the request to the last instant at which an
// answer has its full value.
func (a *Ask) span() time.Duration { return a.AnswerBy.Sub(a.ArrivedAt) }

// Decision is what happens to a request. The zero value is Pass.
type Decision uint8

const (
	// Pass means that the request runs now.
	Pass Decision = iota
	// Wait means that the request waits.
	Wait
	// Refuse means that the request is refused and hasn't run.
	Refuse
)

// Cause is the resource that a request lacks.
type Cause string

// Causes of a wait or refusal.
const (
	CauseService   Cause = "service"
	CauseProcessor Cause = "processor"
)

// Verdict is the decision on a request.
type Verdict struct {
	Decision Decision
	// CheckAt is when to call Check for a request that waits.
	CheckAt almondstep.Instant
	// RetryAfter is the delay after which the caller of a refused request may retry.
	RetryAfter time.Duration
	// Cause is set if the request waits or is refused.
	Cause Cause
	// Displaced is the waiting request that is refused to make room for this one, with
	// DisplacedVerdict; 0 if none is.
	Displaced        almondstep.QueryID
	DisplacedVerdict *Verdict
}
