package almondstep

import "time"

// RequestQuota asks for one request of an organisation whose rate is limited. The outcome is
// returned as QuotaDecided.
type RequestQuota struct {
	ID           QueryID          `json:"id"`
	Organisation OrganisationName `json:"organisation"`
}

// QuotaDecided is the outcome of a RequestQuota.
type QuotaDecided struct {
	ID      QueryID `json:"id"`
	Granted bool    `json:"granted"`
	// Unknown is set if the request isn't granted because this daemon reaches no daemon that
	// knows whether the limit is used up.
	Unknown bool `json:"unknown,omitempty"`
	// RetryAfter is the time after which the limit is expected to allow a request again.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// ReturnQuota returns what a RequestQuota was granted for a request that was then not sent.
type ReturnQuota struct {
	Organisation OrganisationName `json:"organisation"`
}

// Quota implements QuotaEvent.
func (*RequestQuota) Quota() {}

// Quota implements QuotaEvent.
func (*ReturnQuota) Quota() {}

// Query returns the ID of the request the event belongs to.
func (e *QuotaDecided) Query() QueryID { return e.ID }

// Kind names the effect and event.
func (*RequestQuota) Kind() string { return "requestQuota" }

// Kind names the event.
func (*QuotaDecided) Kind() string { return "quotaDecided" }

// Kind names the effect and event.
func (*ReturnQuota) Kind() string { return "returnQuota" }
