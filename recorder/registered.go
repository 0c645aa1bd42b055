package recorder

import (
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"almondstep"
)

// The functions below register the metrics of a label value when it is first used.

// labeled returns a metric's name with its labels, given as alternating names and
// values.
func labeled(name string, pairs ...string) string {
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i < len(pairs); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(pairs[i])
		b.WriteByte('=')
		b.WriteString(strconv.Quote(pairs[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}

func (r *Recorder) newCaller(k callerKey) *callerMetrics {
	pairs := []string{"tenant", string(k.tenant), "class", string(k.class)}
	return &callerMetrics{
		seconds:  r.set.GetOrCreateHistogram(labeled(answerSeconds, pairs...)),
		coverage: r.set.GetOrCreateHistogram(labeled(answerCoverage, pairs...)),
		attempts: r.set.GetOrCreateCounter(labeled(attempts, pairs...)),
		needed:   r.set.GetOrCreateCounter(labeled(attemptsNeeded, pairs...)),
		extra:    r.set.GetOrCreateCounter(labeled(attemptsExtra, pairs...)),
	}
}

func (r *Recorder) newOutcome(k outcomeKey) *metrics.Counter {
	return r.set.GetOrCreateCounter(labeled(answers,
		"tenant", string(k.caller.tenant), "class", string(k.caller.class), "outcome", string(k.outcome)))
}

func (r *Recorder) newCode(c almondstep.RefusalCode) *metrics.Counter {
	return r.set.GetOrCreateCounter(labeled(answerCodes, "code", string(c)))
}

func (r *Recorder) newUpstream(s almondstep.ServiceName) *upstreamMetrics {
	m := &upstreamMetrics{
		seconds: r.set.GetOrCreateHistogram(labeled(callSeconds, "service", string(s))),
	}
	for i := range m.calls {
		result := almondstep.CallResult(i).String()
		m.calls[i] = r.set.GetOrCreateCounter(labeled(calls, "service", string(s), "result", result))
	}
	return m
}

func (r *Recorder) newControl(kind string) *controlMetrics {
	return &controlMetrics{
		messages: r.set.GetOrCreateCounter(labeled(controlMessages, "kind", kind)),
		bytes:    r.set.GetOrCreateCounter(labeled(controlBytes, "kind", kind)),
	}
}

func (r *Recorder) newPlatform(k platformKey) *metrics.Counter {
	return r.set.GetOrCreateCounter(labeled(platformCalls, "kind", k.kind, "result", k.result))
}

func (r *Recorder) newRoute(route almondstep.RouteName) *routeMetrics {
	label := []string{"route", string(route)}
	return &routeMetrics{
		seconds:   r.set.GetOrCreateHistogram(labeled(requestSeconds, label...)),
		coverage:  r.set.GetOrCreateHistogram(labeled(requestCoverage, label...)),
		calls:     r.set.GetOrCreateCounter(labeled(requestCalls, label...)),
		hedges:    r.set.GetOrCreateCounter(labeled(requestExtra, "route", string(route), "use", "hedge")),
		retries:   r.set.GetOrCreateCounter(labeled(requestExtra, "route", string(route), "use", "retry")),
		denied:    r.set.GetOrCreateCounter(labeled(requestDenied, label...)),
		delegated: r.set.GetOrCreateCounter(labeled(requestDelegated, label...)),
		limited:   r.set.GetOrCreateCounter(labeled(requestLimited, label...)),
		broken:    r.set.GetOrCreateCounter(labeled(requestBroken, label...)),
		exposed:   r.set.GetOrCreateCounter(labeled(requestExposed, label...)),
		withheld:  r.set.GetOrCreateCounter(labeled(requestWithheld, label...)),
	}
}

func (r *Recorder) newReply(k replyKey) *metrics.Counter {
	return r.set.GetOrCreateCounter(labeled(requests,
		"route", string(k.route), "outcome", string(k.outcome), "code", string(k.code)))
}

func (r *Recorder) newOrganisation(k organisationKey) *metrics.Counter {
	return r.set.GetOrCreateCounter(labeled(organisationRequests,
		"organisation", string(k.organisation), "code", string(k.code)))
}
