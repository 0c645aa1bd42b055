package allocator

import (
	"slices"
	"time"

	"almondstep"
	"almondstep/ranker"
)

const (
	// askTimeout is how long a lender of the same region may take to answer, and farAskTimeout
	// one of another region, to which a round trip takes 40 ms.
	askTimeout    = 40 * time.Millisecond
	farAskTimeout = 120 * time.Millisecond
	// minBackoff and maxBackoff bound how long a lender that didn't answer isn't asked; the time
	// doubles with each failure in a row.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
)

// pendingAsk is a request for quota that a lender hasn't decided yet.
type pendingAsk struct {
	id           almondstep.QueryID
	organisation almondstep.OrganisationName
	to           almondstep.DaemonID
	sent         almondstep.Instant
	// tried lists the lenders that didn't answer.
	tried []almondstep.DaemonID
	// refusal is the decision of this region's lender if the lender of another region may grant
	// the request; otherwise nil.
	refusal *almondstep.QuotaDecided
	// isReturn is set if the quota is returned, so that nobody waits for the answer.
	isReturn bool
}

// backoff is the time during which a lender isn't asked.
type backoff struct {
	until almondstep.Instant
	last  time.Duration
}

// decide asks the next lender for a request's quota, or decides without one.
func (a *Allocator) decide(now almondstep.Instant, p *pendingAsk, out []almondstep.Effect) []almondstep.Effect {
	decided := &almondstep.QuotaDecided{ID: p.id, Organisation: p.organisation}
	if _, limited := a.limits[p.organisation]; !limited && a.fleet != nil {
		// The limit was removed while the request waited.
		decided.Granted = true
		return append(out, decided)
	}
	to, ok := a.lenderFor(now, p)
	switch {
	case ok && to.ID == a.cfg.Self:
		return a.decidedBy(now, p, to.ID, a.lend(now, p.message()), out)
	case ok:
		return a.ask(now, p, to, out)
	case p.refusal != nil:
		return append(out, p.refusal)
	}
	if a.takeReserve(now, p.organisation) {
		decided.Granted = true
		return append(out, decided)
	}
	decided.Unknown, decided.RetryAfter = true, unknownRetryAfter
	return append(out, decided)
}

// message returns what a lender is asked.
func (p *pendingAsk) message() almondstep.QuotaAsk {
	return almondstep.QuotaAsk{Organisation: p.organisation, Return: p.isReturn, Redirected: p.refusal != nil}
}

// decidedBy passes on a lender's decision. If the lender of another region may grant what this one
// refuses, that is asked too.
func (a *Allocator) decidedBy(now almondstep.Instant, p *pendingAsk, lender almondstep.DaemonID, answer almondstep.QuotaAnswer, out []almondstep.Effect) []almondstep.Effect {
	decided := &almondstep.QuotaDecided{
		ID: p.id, Organisation: p.organisation, By: lender,
		Granted: answer.Granted, Unknown: answer.Unknown, RetryAfter: answer.RetryAfter,
	}
	switch {
	case answer.Elsewhere:
		p.refusal = decided
	case p.refusal == nil || answer.Granted:
		return append(out, decided)
	}
	p.tried = append(p.tried, lender)
	return a.decide(now, p, out)
}

// ask sends an ask to another daemon.
func (a *Allocator) ask(now almondstep.Instant, p *pendingAsk, to almondstep.Member, out []almondstep.Effect) []almondstep.Effect {
	p.to, p.sent = to.ID, now
	call := a.nextCall()
	a.asks[call] = p
	timeout := askTimeout
	if to.Region != a.fleet.region {
		timeout = farAskTimeout
	}
	return append(out, &almondstep.SendQuotaAsk{Call: call, To: to.ID, Addr: to.Addr, Ask: p.message(), Timeout: timeout})
}

// lenderFor returns the lender to ask next for an organisation's quota: the lender of this region,
// its deputy, or the coordinator if one bucket serves all regions. After a refusal, those of other
// regions follow. Those in backoff aren't asked.
func (a *Allocator) lenderFor(now almondstep.Instant, p *pendingAsk) (almondstep.Member, bool) {
	if a.fleet == nil {
		return almondstep.Member{}, false
	}
	n := a.fleet.groupOf(p.organisation)
	own := a.fleet.placeIn(n)
	candidates := []almondstep.Member{own.lender, own.deputy}
	switch {
	case a.limits[p.organisation].single:
		candidates = []almondstep.Member{a.fleet.groups[n].coordinator()}
	case p.refusal != nil:
		candidates = a.fleet.groups[n].lenders()
	}
	for _, m := range candidates {
		if m.ID != "" && !slices.Contains(p.tried, m.ID) && now >= a.backoffs[m.ID].until {
			return m, true
		}
	}
	return almondstep.Member{}, false
}

// answered processes the outcome of an ask. If there is no answer, the next lender is asked.
func (a *Allocator) answered(now almondstep.Instant, e *almondstep.QuotaAnswered, out []almondstep.Effect) []almondstep.Effect {
	p, ok := a.asks[e.Call]
	if !ok {
		return out
	}
	delete(a.asks, e.Call)
	failed := e.Answer == nil || e.Answer.Unknown
	if !failed {
		delete(a.backoffs, p.to)
	} else if b := a.backoffs[p.to]; p.sent >= b.until {
		// Asks that were sent before the backoff began don't extend it.
		wait := min(max(minBackoff, 2*b.last), maxBackoff)
		a.backoffs[p.to] = backoff{until: now.Add(wait), last: wait}
		out = append(out, a.report("quota lender "+string(p.to)+" left alone for "+wait.String(), a.fleet.groupOf(p.organisation), e.Err))
	}
	switch {
	case p.isReturn:
		return out
	case !failed:
		return a.decidedBy(now, p, p.to, *e.Answer, out)
	}
	p.tried = append(p.tried, p.to)
	return a.decide(now, p, out)
}

// giveBack returns the quota of a request that wasn't sent. If no lender is reached, it is lost.
func (a *Allocator) giveBack(now almondstep.Instant, o almondstep.OrganisationName, out []almondstep.Effect) []almondstep.Effect {
	if _, limited := a.limits[o]; !limited {
		return out
	}
	p := &pendingAsk{organisation: o, isReturn: true}
	to, ok := a.lenderFor(now, p)
	switch {
	case !ok:
		return out
	case to.ID == a.cfg.Self:
		a.lend(now, p.message())
		return out
	}
	return a.ask(now, p, to, out)
}

// takeReserve takes one request from this daemon's own reserve. The reserve of all daemons is
// divided into whole requests in any window. A daemon that has just started may have used its part
// before.
func (a *Allocator) takeReserve(now almondstep.Instant, o almondstep.OrganisationName) bool {
	if a.fleet == nil || now.Sub(a.startedAt) < a.cfg.Window {
		return false
	}
	used := slices.DeleteFunc(a.reserves[o], func(at almondstep.Instant) bool { return now.Sub(at) >= a.cfg.Window })
	ok := len(used) < a.reserve(o)
	if ok {
		used = append(used, now)
	}
	a.reserves[o] = used
	return ok
}

// reserve returns the number of requests in this daemon's reserve of an organisation.
func (a *Allocator) reserve(o almondstep.OrganisationName) int {
	total, daemons := int(a.limits[o].reserve), len(a.fleet.ids)
	rank, ok := slices.BinarySearch(a.fleet.ids, a.cfg.Self)
	if !ok {
		return 0
	}
	n := total / daemons
	if (rank+int(ranker.Hash(string(o))%uint64(daemons)))%daemons < total%daemons {
		n++
	}
	return n
}
