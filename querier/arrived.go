package querier

import (
	"time"

	"almondstep"
	"almondstep/admitter"
	"almondstep/planner"
)

// maxLimit bounds the merged records of one answer.
const maxLimit = 10_000

func (q *Queries) searchArrived(e *almondstep.SearchArrived) {
	a := ask{text: e.Text, limit: min(max(1, e.Limit), maxLimit), fingerprint: e.Fingerprint}
	caller := caller{scheme: e.Scheme, name: e.Name, tenant: e.Tenant, class: e.Class, deadline: e.Deadline}
	qu := q.admit(e.ID, &a, caller)
	if qu == nil {
		return
	}
	q.setPlan(qu, q.planner.Search(q.view, a.service))
	if qu.missing == len(qu.shards) {
		q.finishNotRun(qu, almondstep.CodeNoReplica)
		return
	}
	q.setDeadlines(qu)
	q.start(qu)
}

func (q *Queries) runArrived(e *almondstep.RunArrived) {
	a := ask{text: e.Body, limit: maxLimit, operation: e.Operation, fingerprint: e.Fingerprint}
	caller := caller{scheme: e.Scheme, name: e.Name, tenant: e.Tenant, class: e.Class, deadline: e.Deadline}
	qu := q.admit(e.ID, &a, caller)
	if qu == nil {
		return
	}
	q.setPlan(qu, planner.Run(q.view, a.service.Name(), e.RecordKey))
	if qu.missing == len(qu.shards) {
		q.finishNotRun(qu, almondstep.CodeNoReplica)
		return
	}
	q.setDeadlines(qu)
	if e.Key == "" || !qu.ask.once {
		q.start(qu)
		return
	}
	qu.stage = stageClaim
	q.emit(&almondstep.ClaimKey{
		ID:          qu.id,
		Key:         e.Key,
		Fingerprint: e.Fingerprint,
		Remaining:   qu.hard.Sub(q.now),
	})
}

// caller is what a caller says of itself and of the service it wants.
type caller struct {
	scheme   almondstep.SchemeName
	name     string
	tenant   almondstep.TenantName
	class    almondstep.ClassName
	deadline time.Duration
}

// admit checks a request against the catalog and takes it in; nil if it was
// refused. Nothing has begun then.
func (q *Queries) admit(id almondstep.QueryID, a *ask, c caller) *query {
	if q.open[id] != nil {
		q.counters.Repeated++
		return nil
	}
	if code := q.check(a, c); code != "" {
		q.refuse(id, code)
		return nil
	}
	remaining := a.class.HardDeadline()
	if c.deadline > 0 {
		remaining = min(remaining, c.deadline)
	}
	code, ok := q.admitter.Admit(q.view.Catalog(), admitter.Request{
		Tenant:    a.tenant,
		Priority:  a.class.Priority(),
		Remaining: remaining,
		Typical:   q.digestOf(a.service.Name()).Typical(),
	})
	if !ok {
		q.refuse(id, code)
		return nil
	}
	q.counters.Admitted++
	qu := q.add(id)
	qu.ask = *a
	qu.hard = q.now.Add(remaining)
	qu.soft = q.now.Add(min(remaining, a.class.SoftDeadline()))
	qu.records.Reset(a.limit)
	return qu
}

// check fills in what the catalog says, or says why the request is refused.
func (q *Queries) check(a *ask, c caller) almondstep.RefusalCode {
	catalog := q.view.Catalog()
	if catalog == nil {
		return almondstep.CodeNoConfiguration
	}
	name, code := resolve(catalog, c.scheme, c.name)
	if code != "" {
		return code
	}
	var ok bool
	if a.service, ok = catalog.Service(name); !ok {
		return almondstep.CodeUnknownName
	}
	if a.tenant, ok = catalog.Tenant(c.tenant); !ok {
		return almondstep.CodeUnknownTenant
	}
	if a.class, ok = catalog.Class(c.class); !ok {
		return almondstep.CodeUnknownClass
	}
	if a.operation != "" {
		operation, ok := a.service.Operation(a.operation)
		if !ok {
			return almondstep.CodeUnknownOp
		}
		a.once = !operation.Idempotent
	}
	if q.view.Quarantined(a.fingerprint) || q.reputations.quarantined(a.fingerprint, q.now) {
		return almondstep.CodeQuarantined
	}
	return ""
}

// resolve finds the service a caller means. Without a scheme, a name that
// means different services in two schemes is refused.
func resolve(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.ServiceName, almondstep.RefusalCode) {
	if scheme != "" {
		if s, ok := c.Lookup(scheme, name); ok {
			return s, ""
		}
		return "", almondstep.CodeUnknownName
	}
	var found almondstep.ServiceName
	for _, each := range c.Schemes() {
		s, ok := c.Lookup(each, name)
		if !ok {
			continue
		}
		if found != "" && found != s {
			return "", almondstep.CodeAmbiguousName
		}
		found = s
	}
	if found == "" {
		return "", almondstep.CodeUnknownName
	}
	return found, ""
}

// setPlan begins a query's shards anew.
func (q *Queries) setPlan(qu *query, p *planner.Plan) {
	qu.plan = p
	targets := p.Targets()
	if cap(qu.shards) < len(targets) {
		qu.shards = make([]shard, len(targets))
	}
	qu.shards = qu.shards[:len(targets)]
	clear(qu.shards)
	for i := range targets {
		if len(targets[i].Candidates()) == 0 {
			q.giveUp(qu, i, almondstep.ReasonNoReplica)
		}
	}
}

// setDeadlines asks for the query's two timers.
func (q *Queries) setDeadlines(qu *query) {
	if qu.soft < qu.hard {
		q.setTimer(qu, almondstep.TimerSoft, qu.soft)
	}
	q.setTimer(qu, almondstep.TimerHard, qu.hard)
}

// add makes an open query.
func (q *Queries) add(id almondstep.QueryID) *query {
	var qu *query
	if n := len(q.idle); n > 0 {
		qu = q.idle[n-1]
		q.idle = q.idle[:n-1]
	} else {
		qu = &query{}
	}
	qu.id = id
	qu.arrived = q.now
	qu.place = len(q.listed)
	q.listed = append(q.listed, qu)
	q.open[id] = qu
	return qu
}

// remove forgets a query that has ended.
func (q *Queries) remove(qu *query) {
	q.admitter.Release(qu.ask.tenant.Name)
	delete(q.open, qu.id)
	last := len(q.listed) - 1
	q.listed[qu.place] = q.listed[last]
	q.listed[qu.place].place = qu.place
	q.listed[last] = nil
	q.listed = q.listed[:last]
	if len(q.idle) < maxIdle {
		qu.reset()
		q.idle = append(q.idle, qu)
	}
}
