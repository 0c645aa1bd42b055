package allocator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"almondstep"
)

const (
	// reportInterval is the time between two reports; ticks make it up to one tick longer.
	reportInterval = 250 * time.Millisecond
	// firstReportInterval is that time as long as a lender has no lease.
	firstReportInterval = 100 * time.Millisecond
	// reportTimeout bounds a report: a round trip between regions takes 40 ms.
	reportTimeout = 300 * time.Millisecond
	// maxReportFailures is the number of failed reports in a row after which a lender reports to
	// the next coordinator, and probeInterval that at which it tries an earlier one again.
	maxReportFailures = 2
	probeInterval     = 5 * time.Second
	// maxReported bounds the organisations in a report; those with the highest demand are listed.
	maxReported = 512
	// minDemand is the demand below which an organisation isn't reported, in requests per second.
	minDemand = 0.01
)

// reporting is the state of a holder's reports.
type reporting struct {
	nextAt almondstep.Instant
	open   bool
	// place is the index of the coordinator, owner the daemon whose epoch the holder has.
	place    int
	owner    almondstep.DaemonID
	failures int
	probeAt  almondstep.Instant
	probes   int
}

// pendingReport is a report that isn't answered yet.
type pendingReport struct {
	group   int
	place   int
	to      almondstep.DaemonID
	sent    almondstep.Instant
	settled bool
	probe   bool
}

// reportDemand sends the demand of a group to its coordinator, if that is due.
func (a *Allocator) reportDemand(now almondstep.Instant, n int, out []almondstep.Effect) []almondstep.Effect {
	h, places := a.holders[n], a.fleet.groups[n].places
	r := &h.reporting
	r.place %= len(places)
	if r.place > 0 && now >= r.probeAt {
		r.probeAt = now.Add(probeInterval)
		r.probes++
		out = a.sendReport(now, n, r.probes%r.place, true, out)
	}
	if r.open || now < r.nextAt {
		return out
	}
	r.nextAt = now.Add(reportInterval)
	if h.fractions == nil {
		r.nextAt = now.Add(firstReportInterval)
	}
	return a.sendReport(now, n, r.place, false, out)
}

// sendReport sends a report to the lender of a place, which acts as the coordinator.
func (a *Allocator) sendReport(now almondstep.Instant, n, place int, probe bool, out []almondstep.Effect) []almondstep.Effect {
	h := a.holders[n]
	to := a.fleet.groups[n].places[place].lender
	report := almondstep.QuotaReport{
		From: a.cfg.Self, Group: n, Settled: h.settled(now), Fresh: h.initial && h.fractions == nil, Demand: a.demand(now, h),
	}
	if h.epoch != 0 && h.reporting.owner == to.ID {
		report.Epoch, report.Lease = h.epoch, h.number
		h.quietUntil = max(h.quietUntil, now.Add(quietTime))
	}
	p := pendingReport{group: n, place: place, to: to.ID, sent: now, settled: report.Settled, probe: probe}
	if to.ID == a.cfg.Self {
		lease := a.lease(now, &report)
		return a.applyLease(now, p, &lease, out)
	}
	call := a.nextCall()
	a.reports[call] = p
	h.reporting.open = h.reporting.open || !probe
	return append(out, &almondstep.SendQuotaReport{Call: call, To: to.ID, Addr: to.Addr, Report: report, Timeout: reportTimeout})
}

// demand lists the organisations that were asked for recently.
func (a *Allocator) demand(now almondstep.Instant, h *holder) []almondstep.OrganisationShare {
	var list []almondstep.OrganisationShare
	for _, o := range slices.Sorted(maps.Keys(h.buckets)) {
		if d := h.buckets[o].decayed(now, a.limits[o]); d >= minDemand && !a.limits[o].single {
			list = append(list, almondstep.OrganisationShare{Organisation: o, Value: d})
		}
	}
	if len(list) > maxReported {
		slices.SortStableFunc(list, func(x, y almondstep.OrganisationShare) int { return cmp.Compare(y.Value, x.Value) })
		list = list[:maxReported]
	}
	return list
}

// leased processes the outcome of a report.
func (a *Allocator) leased(now almondstep.Instant, e *almondstep.QuotaLeased, out []almondstep.Effect) []almondstep.Effect {
	p, ok := a.reports[e.Call]
	if !ok {
		return out
	}
	delete(a.reports, e.Call)
	h := a.holders[p.group]
	if h == nil {
		return out
	}
	if !p.probe {
		h.reporting.open = false
	}
	if e.Lease != nil && !e.Lease.Refused {
		return a.applyLease(now, p, e.Lease, out)
	}
	if p.probe || p.place != h.reporting.place {
		return out
	}
	h.reporting.failures++
	if h.reporting.failures < maxReportFailures || p.group >= len(a.fleet.groups) {
		return out
	}
	h.reporting.failures = 0
	h.reporting.place = (p.place + 1) % len(a.fleet.groups[p.group].places)
	h.reporting.probeAt = now.Add(probeInterval)
	return append(out, a.report("quota coordinator "+string(p.to)+" doesn't answer; reporting to the next", p.group, e.Err))
}

// applyLease takes over a lease of a coordinator. An earlier coordinator that answers a probe
// gets the reports again.
func (a *Allocator) applyLease(now almondstep.Instant, p pendingReport, l *almondstep.QuotaLease, out []almondstep.Effect) []almondstep.Effect {
	h := a.holders[p.group]
	if p.probe {
		h.reporting.place = p.place
		h.reporting.nextAt = now
		return out
	}
	h.reporting.failures = 0
	if h.reporting.owner != p.to {
		h.epoch, h.number = 0, 0
	}
	changed := h.accept(p.sent, p.settled, l)
	h.reporting.owner = p.to
	a.refillAll(now)
	if changed {
		out = append(out, a.report("leases quotas from "+string(p.to), p.group, ""))
	}
	return out
}

// report returns a log line on a group of organisations.
func (a *Allocator) report(message string, group int, cause string) *almondstep.Report {
	return &almondstep.Report{Level: almondstep.ReportInfo, Message: message, Subject: "quota group " + strconv.Itoa(group), Cause: cause}
}
