// Package recorder records the metrics of a daemon and writes them as Prometheus
// text.
//
// It is a separate package so that nothing else depends on the metrics library.
// All metrics are in one table, from which docs/METRICS.md is generated. The number
// of label values is bounded: a tenant that is not in the configuration, or is
// over the limit, is counted as "other".
//
// For example, two complete answers of the tenant toasters, class urgent, show as
//
//	almondstep_answers_total{tenant="toasters",class="urgent",outcome="complete"} 2
package recorder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"almondstep"
)

// Recorder keeps the metrics of one daemon. It is safe for concurrent use.
type Recorder struct {
	set  *metrics.Set
	view atomic.Pointer[almondstep.View]

	callerLabels  boundedLabels
	serviceLabels boundedLabels
	kindLabels    boundedLabels
	routeLabels   boundedLabels

	callers   cache[callerKey, *callerMetrics]
	outcomes  cache[outcomeKey, *metrics.Counter]
	codes     cache[almondstep.RefusalCode, *metrics.Counter]
	upstreams cache[almondstep.ServiceName, *upstreamMetrics]
	control   cache[string, *controlMetrics]
	platform  cache[platformKey, *metrics.Counter]
	routes    cache[almondstep.RouteName, *routeMetrics]
	replies   cache[replyKey, *metrics.Counter]

	organisationLabels boundedLabels
	organisations      cache[organisationKey, *metrics.Counter]
	// admissions has the metrics of requests that waited or were refused for lack of capacity.
	admissions cache[admissionKey, *admissionMetrics]
}

type routeMetrics struct {
	seconds  *metrics.Histogram
	coverage *metrics.Histogram
	calls    *metrics.Counter
	hedges   *metrics.Counter
	retries  *metrics.Counter
	denied   *metrics.Counter
	limited  *metrics.Counter
	// delegated counts the requests that a delegate answered.
	delegated *metrics.Counter
	broken    *metrics.Counter
	exposed   *metrics.Counter
	withheld  *metrics.Counter
}

// replyKey has the labels of the counter of answers to routed requests.
type replyKey struct {
	route   almondstep.RouteName
	outcome almondstep.Outcome
	code    almondstep.RefusalCode
}

// organisationKey has the labels of the counter of an organisation's requests.
type organisationKey struct {
	organisation almondstep.OrganisationName
	code         almondstep.RefusalCode
}

// callerKey has the labels of a caller's metrics.
type callerKey struct {
	tenant almondstep.TenantName
	class  almondstep.ClassName
}

type callerMetrics struct {
	seconds  *metrics.Histogram
	coverage *metrics.Histogram
	attempts *metrics.Counter
	needed   *metrics.Counter
	extra    *metrics.Counter
}

type outcomeKey struct {
	caller  callerKey
	outcome almondstep.Outcome
}

// callResults is the number of possible results of a call to an upstream.
const callResults = int(almondstep.CallInvalidResponse) + 1

type upstreamMetrics struct {
	calls   [callResults]*metrics.Counter
	seconds *metrics.Histogram
}

type controlMetrics struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

type platformKey struct {
	kind   string
	result string
}

// Limits on the number of values of each label; further ones are counted as "other".
// The limit on pairs of tenant and class is tenantLimit * classLimit; kindLimit
// applies to control messages and platform calls together.
const (
	tenantLimit  = 64
	classLimit   = 16
	serviceLimit = 64
	kindLimit    = 32
	routeLimit   = 256

	organisationLimit = 50
)

// New returns a Recorder. The gauges of the view are 0 until ViewPublished is called.
func New() *Recorder {
	r := &Recorder{set: metrics.NewSet()}
	r.callerLabels.limit = tenantLimit * classLimit
	r.serviceLabels.limit = serviceLimit
	r.kindLabels.limit = kindLimit
	r.routeLabels.limit = routeLimit
	r.organisationLabels.limit = organisationLimit
	r.addGauges()
	return r
}

// WritePrometheus writes all metrics in Prometheus text form.
func (r *Recorder) WritePrometheus(w io.Writer) {
	r.set.WritePrometheus(w)
}

// Answered records a query's outcome, time, coverage and number of sub-requests.
func (r *Recorder) Answered(t almondstep.TenantName, c almondstep.ClassName, a *almondstep.Answer) {
	k := r.caller(t, c)
	m := r.callers.get(k, r.newCaller)
	m.seconds.Update(a.Took.Seconds())
	m.attempts.Add(a.Attempts)
	m.needed.Add(a.Needed)
	m.extra.Add(max(0, a.Attempts-a.Needed))
	if a.Coverage.Wanted > 0 {
		m.coverage.Update(float64(a.Coverage.Included) / float64(a.Coverage.Wanted))
	}
	r.outcomes.get(outcomeKey{caller: k, outcome: a.Outcome}, r.newOutcome).Inc()
	if a.Code != "" {
		r.codes.get(a.Code, r.newCode).Inc()
	}
}

// caller returns the labels of a tenant and class. Names that are not in the
// configuration come from callers and are unbounded in number, so they count as
// "other"; so do all names before the first configuration and pairs over the limit.
func (r *Recorder) caller(t almondstep.TenantName, c almondstep.ClassName) callerKey {
	other := callerKey{tenant: otherLabel, class: otherLabel}
	v := r.view.Load()
	if v == nil || v.Catalog() == nil {
		return other
	}
	if _, ok := v.Catalog().Tenant(t); !ok {
		return other
	}
	if _, ok := v.Catalog().Class(c); !ok {
		return other
	}
	if !r.callerLabels.admit(string(t) + "\x00" + string(c)) {
		return other
	}
	return callerKey{tenant: t, class: c}
}

// Attempted records the result and the time of a call to an upstream.
func (r *Recorder) Attempted(s almondstep.ServiceName, result almondstep.CallResult, took time.Duration) {
	if !r.serviceLabels.admit(string(s)) {
		s = otherLabel
	}
	m := r.upstreams.get(s, r.newUpstream)
	if int(result) < callResults {
		m.calls[result].Inc()
	}
	m.seconds.Update(took.Seconds())
}

// Replied records the answer to a routed request. A request without a matching
// route, or with one over the limit, counts as "other".
func (r *Recorder) Replied(route almondstep.RouteName, reply *almondstep.Reply) {
	if route == "" || !r.routeLabels.admit(string(route)) {
		route = otherLabel
	}
	t := reply.Trace
	m := r.routes.get(route, r.newRoute)
	m.seconds.Update(t.Took.Seconds())
	m.calls.Add(t.Calls)
	m.hedges.Add(t.Hedges)
	m.retries.Add(t.Retries)
	m.denied.Add(t.Denied)
	m.limited.Add(t.Limited)
	if t.Delegate != "" {
		m.delegated.Inc()
	}
	m.exposed.Add(t.Exposed)
	m.broken.Add(len(t.Disconnected))
	m.withheld.Add(t.Withheld)
	r.recordAdmission(reply)
	if t.Shards > 0 {
		m.coverage.Update(float64(t.Included) / float64(t.Shards))
	}
	if o := t.Organisation; o != "" {
		if !r.organisationLabels.admit(string(o)) {
			o = otherLabel
		}
		r.organisations.get(organisationKey{organisation: o, code: reply.Code}, r.newOrganisation).Inc()
	}
	r.replies.get(replyKey{route: route, outcome: reply.Outcome, code: reply.Code}, r.newReply).Inc()
}

// RegisterDroppedLines registers the metric of dropped log lines. Whenever the
// metrics are written, dropped is called for their number.
func (r *Recorder) RegisterDroppedLines(dropped func() uint64) {
	r.set.NewGauge(linesDropped, func() float64 { return float64(dropped()) })
}

// ControlSent counts a control message and its bytes.
func (r *Recorder) ControlSent(kind string, bytes int) {
	if !r.kindLabels.admit(kind) {
		kind = otherLabel
	}
	m := r.control.get(kind, r.newControl)
	m.messages.Inc()
	m.bytes.Add(bytes)
}

// PlatformCalled counts a call to the platform by its result.
func (r *Recorder) PlatformCalled(kind string, err error) {
	if !r.kindLabels.admit(kind) {
		kind = otherLabel
	}
	r.platform.get(platformKey{kind: kind, result: resultOf(err)}, r.newPlatform).Inc()
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, almondstep.ErrConflict):
		return "conflict"
	case errors.Is(err, almondstep.ErrUnavailable):
		return "unavailable"
	default:
		return "failed"
	}
}

// ViewPublished stores the newest view, from which the gauges are read.
func (r *Recorder) ViewPublished(v *almondstep.View) {
	r.view.Store(v)
}
