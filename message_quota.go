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
	ID           QueryID          `json:"id"`
	Organisation OrganisationName `json:"organisation"`
	Granted      bool             `json:"granted"`
	// Unknown is set if the request isn't granted because this daemon reaches no daemon that
	// knows whether the limit is used up.
	Unknown bool `json:"unknown,omitempty"`
	// RetryAfter is the time after which the limit is expected to allow a request again.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// By is the daemon that decided; empty if this daemon's reserve did.
	By DaemonID `json:"by,omitempty"`
}

// ReturnQuota returns what a RequestQuota was granted for a request that was then not sent.
type ReturnQuota struct {
	Organisation OrganisationName `json:"organisation"`
}

// QuotaAsk asks a lender for the quota of one request, or returns it.
type QuotaAsk struct {
	Organisation OrganisationName `json:"organisation"`
	// Return is set if the quota was granted before, and the request wasn't sent.
	Return bool `json:"return,omitempty"`
	// Redirected is set if the lender of the asking daemon's own region has refused the request.
	Redirected bool `json:"redirected,omitempty"`
}

// QuotaAnswer is a lender's answer to a QuotaAsk.
type QuotaAnswer struct {
	Granted bool `json:"granted"`
	// Unknown is set if the daemon isn't a lender of the organisation's quota.
	Unknown bool `json:"unknown,omitempty"`
	// Elsewhere is set if the request isn't granted although the organisation is below its limit
	// in all regions together, so that the lender of another region may grant it.
	Elsewhere  bool          `json:"elsewhere,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// SendQuotaAsk sends a QuotaAsk to another daemon. The outcome is returned as QuotaAnswered.
type SendQuotaAsk struct {
	Call    CallID        `json:"call"`
	To      DaemonID      `json:"to"`
	Addr    Address       `json:"addr"`
	Ask     QuotaAsk      `json:"ask"`
	Timeout time.Duration `json:"timeout"`
}

// QuotaAnswered is the outcome of a SendQuotaAsk.
type QuotaAnswered struct {
	Call CallID `json:"call"`
	// Answer is nil if there is none; Err is then the reason.
	Answer *QuotaAnswer `json:"answer,omitempty"`
	Err    string       `json:"err,omitempty"`
}

// QuotaAsked is a QuotaAsk of another daemon. It is answered by ReplyQuotaAsk.
type QuotaAsked struct {
	Call CallID   `json:"call"`
	Ask  QuotaAsk `json:"ask"`
}

// ReplyQuotaAsk answers a QuotaAsked.
type ReplyQuotaAsk struct {
	Call   CallID      `json:"call"`
	Answer QuotaAnswer `json:"answer"`
}

// OrganisationShare is a figure of one organisation: a demand in requests per second, or a
// fraction of its limit.
type OrganisationShare struct {
	Organisation OrganisationName `json:"organisation"`
	Value        float64          `json:"value"`
}

// QuotaReport is what a lender reports to the coordinator of its group.
type QuotaReport struct {
	From  DaemonID `json:"from"`
	Group int      `json:"group"`
	// Epoch and Lease identify the newest lease that the lender has received; 0 if none.
	Epoch uint64 `json:"epoch,omitempty"`
	Lease uint64 `json:"lease,omitempty"`
	// Settled is set if no earlier coordinator can still lend this lender's static fraction.
	Settled bool `json:"settled,omitempty"`
	// Fresh is set if the lender has received no lease since its process started.
	Fresh bool `json:"fresh,omitempty"`
	// Demand is the organisations' demand in requests per second, by name.
	Demand []OrganisationShare `json:"demand,omitempty"`
}

// QuotaLease grants a lender fractions of the limits of a group's organisations.
type QuotaLease struct {
	// Epoch identifies the coordinator's process, and Number the lease; it rises.
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	// Default is the fraction of the organisations that Fractions doesn't list.
	Default   float64             `json:"default"`
	Fractions []OrganisationShare `json:"fractions,omitempty"`
	// Exceeded lists the organisations whose demand is above their limit.
	Exceeded []OrganisationName `json:"exceeded,omitempty"`
	// Complete is set if the coordinator knows of all leases in use, because each lender follows
	// it or is fresh. A lender that isn't settled then uses the lease.
	Complete bool `json:"complete,omitempty"`
	// Refused is set if the daemon isn't the coordinator of the group.
	Refused bool `json:"refused,omitempty"`
}

// SendQuotaReport sends a QuotaReport to another daemon. The outcome is returned as QuotaLeased.
type SendQuotaReport struct {
	Call    CallID        `json:"call"`
	To      DaemonID      `json:"to"`
	Addr    Address       `json:"addr"`
	Report  QuotaReport   `json:"report"`
	Timeout time.Duration `json:"timeout"`
}

// QuotaLeased is the outcome of a SendQuotaReport.
type QuotaLeased struct {
	Call CallID `json:"call"`
	// Lease is nil if there is none; Err is then the reason.
	Lease *QuotaLease `json:"lease,omitempty"`
	Err   string      `json:"err,omitempty"`
}

// QuotaReported is a QuotaReport of another daemon. It is answered by ReplyQuotaReport.
type QuotaReported struct {
	Call   CallID      `json:"call"`
	Report QuotaReport `json:"report"`
}

// ReplyQuotaReport answers a QuotaReported.
type ReplyQuotaReport struct {
	Call  CallID     `json:"call"`
	Lease QuotaLease `json:"lease"`
}

// Quota implements QuotaEvent.
func (*RequestQuota) Quota() {}

// Quota implements QuotaEvent.
func (*ReturnQuota) Quota() {}

// Quota implements QuotaEvent.
func (*QuotaAnswered) Quota() {}

// Quota implements QuotaEvent.
func (*QuotaAsked) Quota() {}

// Quota implements QuotaEvent.
func (*QuotaLeased) Quota() {}

// Quota implements QuotaEvent.
func (*QuotaReported) Quota() {}

// Query returns the ID of the request the event belongs to.
func (e *QuotaDecided) Query() QueryID { return e.ID }

// Kind names the effect and event.
func (*RequestQuota) Kind() string { return "requestQuota" }

// Kind names the effect and event.
func (*QuotaDecided) Kind() string { return "quotaDecided" }

// Kind names the effect and event.
func (*ReturnQuota) Kind() string { return "returnQuota" }

// Kind names the effect.
func (*SendQuotaAsk) Kind() string { return "sendQuotaAsk" }

// Kind names the event.
func (*QuotaAnswered) Kind() string { return "quotaAnswered" }

// Kind names the event.
func (*QuotaAsked) Kind() string { return "quotaAsked" }

// Kind names the effect.
func (*ReplyQuotaAsk) Kind() string { return "replyQuotaAsk" }

// Kind names the effect.
func (*SendQuotaReport) Kind() string { return "sendQuotaReport" }

// Kind names the event.
func (*QuotaLeased) Kind() string { return "quotaLeased" }

// Kind names the event.
func (*QuotaReported) Kind() string { return "quotaReported" }

// Kind names the effect.
func (*ReplyQuotaReport) Kind() string { return "replyQuotaReport" }
