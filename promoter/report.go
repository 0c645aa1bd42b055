package promoter

import (
	"cmp"
	"slices"

	"almondstep"
)

// ownTally is what this daemon has observed of one rollout.
type ownTally struct {
	last   almondstep.RolloutObserved
	counts map[countsKey]*almondstep.RolloutCounts
}

// countsKey identifies the answers of one version on one route.
type countsKey struct {
	route almondstep.RouteName
	fresh bool
}

// observed counts what a traffic thread has observed. A failure of the new version is reported
// at once.
func (p *Promoter) observed(now almondstep.Instant, e *almondstep.RolloutObserved, out []almondstep.Effect) []almondstep.Effect {
	t, ok := p.tallies[e.Service]
	if !ok || t.last.OrderRevision != e.OrderRevision {
		t = &ownTally{counts: make(map[countsKey]*almondstep.RolloutCounts)}
		p.tallies[e.Service] = t
	}
	t.last = *e
	if !e.Answered {
		return out
	}
	key := countsKey{e.Route, e.New}
	c, ok := t.counts[key]
	if !ok {
		c = &almondstep.RolloutCounts{Route: e.Route, New: e.New, Latencies: make([]uint64, almondstep.LatencyBuckets)}
		t.counts[key] = c
	}
	c.Answers++
	switch {
	case e.Bad:
		c.Bad++
	case !e.Cold:
		c.Latencies[almondstep.LatencyBucket(e.Took)]++
	}
	if !e.New || !e.Bad {
		return out
	}
	p.reportAt = now
	return p.report(now, out)
}

// tally returns the totals for a report.
func (t *ownTally) tally() almondstep.RolloutTally {
	r := almondstep.RolloutTally{
		Service: t.last.Service, OrderRevision: t.last.OrderRevision, Stage: t.last.Stage,
		OldOpen: t.last.OldOpen, Paused: t.last.Paused, Requests: t.last.Requests, Exposed: t.last.Exposed,
	}
	for _, c := range t.counts {
		counted := *c
		counted.Latencies = slices.Clone(c.Latencies)
		r.Counts = append(r.Counts, counted)
	}
	slices.SortFunc(r.Counts, func(a, b almondstep.RolloutCounts) int {
		if c := cmp.Compare(a.Route, b.Route); c != 0 || a.New == b.New {
			return c
		}
		if b.New {
			return -1
		}
		return 1
	})
	return r
}

// ownReport returns the tallies of the rollouts that are under way.
func (p *Promoter) ownReport() almondstep.RolloutReport {
	r := almondstep.RolloutReport{From: p.cfg.Self}
	for _, service := range p.services() {
		d := p.rollouts()[service].Current()
		if t := p.tallies[service]; t != nil && (d == nil || !d.Final()) {
			r.Tallies = append(r.Tallies, t.tally())
		}
	}
	return r
}

// report reports to the leader if that is due. The report is sent without tallies, too: its reply
// has the present decisions, and shows that the leader lives.
func (p *Promoter) report(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.reporting || now < p.reportAt || p.leader.Daemon == "" || !p.open() {
		return out
	}
	p.reportAt = now.Add(reportInterval)
	r := p.ownReport()
	if p.leads() {
		p.take(now, &r)
		return out
	}
	if p.leader.Addr == "" {
		return out
	}
	p.reporting = true
	return append(out, &almondstep.SendRolloutReport{To: p.leader, Report: r})
}

// reportEnded applies the leader's decisions, which may be ahead of the registry's updates.
func (p *Promoter) reportEnded(now almondstep.Instant, e *almondstep.RolloutReportEnded, out []almondstep.Effect) []almondstep.Effect {
	p.reporting = false
	if e.To.Revision != p.leader.Revision {
		return out
	}
	if e.Reply == nil || !e.Reply.Leads {
		if p.failingAt == 0 {
			p.failingAt = now
		}
		return out
	}
	p.failingAt = 0
	for _, d := range e.Reply.Decisions {
		if r := p.rollouts()[d.Service]; r != nil && d.Supersedes(r.Decision) {
			out = append(out, &almondstep.RolloutDecided{Decision: d})
		}
	}
	return out
}

// reportArrived stores another daemon's report, which the next tick judges, and replies with the
// present decisions.
func (p *Promoter) reportArrived(now almondstep.Instant, e *almondstep.RolloutReportArrived, out []almondstep.Effect) []almondstep.Effect {
	reply := almondstep.RolloutReply{Leads: p.leads()}
	if reply.Leads {
		p.take(now, &e.Report)
	}
	for _, service := range p.services() {
		if l := p.led[service]; reply.Leads && l != nil && l.best != nil {
			reply.Decisions = append(reply.Decisions, *l.best)
		}
	}
	return append(out, &almondstep.ReplyRolloutReport{Call: e.Call, Reply: reply})
}

// take stores the tallies of a report on present orders.
func (p *Promoter) take(now almondstep.Instant, r *almondstep.RolloutReport) {
	for _, t := range r.Tallies {
		if l := p.ledRollout(now, t.Service); l != nil && l.orderRevision == t.OrderRevision {
			l.evidence.put(now, r.From, t)
			l.unjudged = true
		}
	}
}
