package querier

import (
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/admitter"
	"almondstep/planner"
	"almondstep/resolver"
)

// maxLimit bounds the merged records of one answer.
const maxLimit = 10_000

func (q *Queries) searchArrived(e *almondstep.SearchArrived) {
	a := request{text: e.Text, limit: min(max(1, e.Limit), maxLimit), fingerprint: e.Fingerprint}
	caller := caller{scheme: e.Scheme, name: e.Name, tenant: e.Tenant, class: e.Class, deadline: e.Deadline}
	qu := q.admit(e.ID, &a, caller)
	if qu == nil {
		return
	}
	q.setPlan(qu, q.planner.SearchPlan(q.view, a.service))
	if qu.missing == len(qu.shards) {
		q.finishNotRun(qu, almondstep.CodeNoReplica)
		return
	}
	q.setDeadlines(qu)
	q.start(qu)
}

func (q *Queries) runArrived(e *almondstep.RunArrived) {
	a := request{text: e.Body, limit: maxLimit, operation: e.Operation, fingerprint: e.Fingerprint}
	caller := caller{scheme: e.Scheme, name: e.Name, tenant: e.Tenant, class: e.Class, deadline: e.Deadline}
	qu := q.admit(e.ID, &a, caller)
	if qu == nil {
		return
	}
	q.setPlan(qu, planner.OperationPlan(q.view, a.service.Name(), e.RecordKey))
	if qu.missing == len(qu.shards) {
		q.finishNotRun(qu, almondstep.CodeNoReplica)
		return
	}
	q.setDeadlines(qu)
	if e.Key == "" || !qu.request.atMostOnce {
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

// caller holds the fields of a request that name its service, tenant and class,
// and the time that the caller allows; 0 if it sets no deadline.
type caller struct {
	scheme   almondstep.SchemeName
	name     string
	tenant   almondstep.TenantName
	class    almondstep.ClassName
	deadline time.Duration
}

// refusal is the reason why a request is not admitted; an empty message stands
// for the default message of the code.
type refusal struct {
	code    almondstep.RefusalCode
	message string
}

// admit checks a request against the catalog and admits it. It returns nil if
// the request was refused, in which case nothing has run, or if a query with the
// same ID is open.
func (q *Queries) admit(id almondstep.QueryID, a *request, c caller) *query {
	if q.open[id] != nil {
		q.counters.Repeated++
		return nil
	}
	if r := q.check(a, c); r.code != "" {
		q.refuse(id, r)
		return nil
	}
	remaining := a.class.HardDeadline()
	if c.deadline > 0 {
		remaining = min(remaining, c.deadline)
	}
	code, ok := q.admitter.Admit(q.view.Catalog(), admitter.Request{
		Service:        a.service.Name(),
		Tenant:         a.tenant,
		Priority:       a.class.Priority(),
		Remaining:      remaining,
		TypicalLatency: q.digestOf(a.service.Name()).Typical(),
	})
	if !ok {
		q.refuse(id, refusal{code: code})
		return nil
	}
	q.counters.Admitted++
	qu := q.add(id)
	qu.request = *a
	qu.hard = q.now.Add(remaining)
	qu.soft = q.now.Add(min(remaining, a.class.SoftDeadline()))
	qu.records.Reset(a.limit)
	return qu
}

// check fills in the request from the catalog, or returns why it is refused.
func (q *Queries) check(a *request, c caller) refusal {
	catalog := q.view.Catalog()
	if catalog == nil {
		return refusal{code: almondstep.CodeNoConfiguration}
	}
	service, r := resolve(catalog, c.scheme, c.name)
	if r.code != "" {
		return r
	}
	a.service = service
	var ok bool
	if a.tenant, ok = catalog.Tenant(c.tenant); !ok {
		return refusal{code: almondstep.CodeUnknownTenant}
	}
	if a.class, ok = catalog.Class(c.class); !ok {
		return refusal{code: almondstep.CodeUnknownClass}
	}
	if a.operation != "" {
		operation, ok := a.service.Operation(a.operation)
		if !ok {
			return refusal{code: almondstep.CodeUnknownOp}
		}
		a.atMostOnce = !operation.Idempotent
	}
	if q.view.Quarantined(a.fingerprint) || q.reputations.quarantined(a.fingerprint, q.now) {
		return refusal{code: almondstep.CodeQuarantined}
	}
	return refusal{}
}

// resolve returns the service a name refers to. Without a scheme, a name that
// refers to different services in two schemes is refused; the message names both.
func resolve(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.Service, refusal) {
	canonical, err := resolver.Resolve(c, scheme, name)
	if errors.Is(err, almondstep.ErrAmbiguousName) {
		return almondstep.Service{}, refusal{code: almondstep.CodeAmbiguousName, message: err.Error()}
	}
	if err != nil {
		return almondstep.Service{}, refusal{code: almondstep.CodeUnknownName, message: err.Error()}
	}
	s, _ := c.Service(canonical)
	return s, refusal{}
}

// setPlan sets a query's plan and resets its shards. Those without a candidate
// are missing.
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
			q.markMissing(qu, i, almondstep.ReasonNoReplica)
		}
	}
}

// setDeadlines sets the timers of the query's deadlines. A soft deadline that isn't
// before the hard one needs none.
func (q *Queries) setDeadlines(qu *query) {
	if qu.soft < qu.hard {
		q.setTimer(qu, almondstep.TimerSoft, qu.soft)
	}
	q.setTimer(qu, almondstep.TimerHard, qu.hard)
}

// add adds an open query.
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
	qu.listIndex = len(q.openList)
	q.openList = append(q.openList, qu)
	q.open[id] = qu
	return qu
}

// remove removes a query that has ended.
func (q *Queries) remove(qu *query) {
	q.admitter.Release(qu.request.service.Name(), qu.request.tenant.Name, qu.shedAboveThreshold())
	delete(q.open, qu.id)
	last := len(q.openList) - 1
	q.openList[qu.listIndex] = q.openList[last]
	q.openList[qu.listIndex].listIndex = qu.listIndex
	q.openList[last] = nil
	q.openList = q.openList[:last]
	if len(q.idle) < maxIdle {
		qu.reset()
		q.idle = append(q.idle, qu)
	}
}
