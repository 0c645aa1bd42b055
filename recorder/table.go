package recorder

import "slices"

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes one metric for operators.
type Metric struct {
	Name   string
	Kind   Kind
	Unit   string
	Labels string
	// Help describes what is measured.
	Help string
	// Action describes what an operator should do about unusual values.
	Action string
}

// Names of the metrics.
const (
	answers              = "almondstep_answers_total"
	answerSeconds        = "almondstep_answer_seconds"
	answerCoverage       = "almondstep_answer_coverage_ratio"
	answerCodes          = "almondstep_answer_codes_total"
	attempts             = "almondstep_attempts_total"
	attemptsNeeded       = "almondstep_attempts_needed_total"
	attemptsExtra        = "almondstep_attempts_extra_total"
	calls                = "almondstep_upstream_calls_total"
	callSeconds          = "almondstep_upstream_call_seconds"
	controlMessages      = "almondstep_control_messages_total"
	controlBytes         = "almondstep_control_sent_bytes_total"
	platformCalls        = "almondstep_platform_calls_total"
	requests             = "almondstep_requests_total"
	requestSeconds       = "almondstep_request_seconds"
	requestCoverage      = "almondstep_request_coverage_ratio"
	requestCalls         = "almondstep_request_calls_total"
	requestExtra         = "almondstep_request_extra_calls_total"
	requestDenied        = "almondstep_request_denied_calls_total"
	requestLimited       = "almondstep_request_limited_shards_total"
	requestDelegated     = "almondstep_request_delegated_total"
	requestBroken        = "almondstep_request_disconnects_total"
	linesDropped         = "almondstep_log_lines_dropped_total"
	revision             = "almondstep_revision"
	ready                = "almondstep_ready"
	shardGatherers       = "almondstep_gatherers"
	knownDaemons         = "almondstep_known_daemons"
	quarantined          = "almondstep_quarantined_requests"
	ownedUpstreams       = "almondstep_owned_upstreams"
	grantedUpstreams     = "almondstep_granted_upstreams"
	organisationRequests = "almondstep_organisation_requests_total"
	registryEra          = "almondstep_registry_era"
	requestExposed       = "almondstep_request_exposed_calls_total"
	rollouts             = "almondstep_rollouts"
	requestWithheld      = "almondstep_request_withheld_calls_total"
	admissionWait        = "almondstep_admission_wait_seconds"
	admissionRefused     = "almondstep_admission_refusals_total"
)

// Metrics lists every metric a daemon has, in the order of the documentation.
func Metrics() []Metric {
	return slices.Concat(callerTable(), routeTable(), routeCallTable(), daemonTable(), stateTable())
}

func routeTable() []Metric {
	return []Metric{
		{
			requests, Counter, "requests", "route, outcome, code",
			"Routed requests answered, by outcome and the code that says why one isn't complete.",
			"The log line with the request's id says which shards were missing and how their last calls ended.",
		},
		{
			organisationRequests, Counter, "requests", "organisation, code",
			"Requests of the first 50 organisations seen, by the code that says why one isn't complete.",
			"rateLimited: the organisation is above its rate over all daemons. noQuota: this daemon reaches no lender of quotas; the log says which it leaves alone.",
		},
		{
			requestSeconds, Histogram, "seconds", "route",
			"Time from a routed request's arrival to its answer.",
			"Near the latency target: answers wait for stragglers. See almondstep_upstream_call_seconds.",
		},
		{
			requestCoverage, Histogram, "ratio", "route",
			"Part of a routed request's shards that its answer includes.",
			"Below 1: upstreams pause, are slow or gone, and the retry budget or the time didn't reach.",
		},
		{
			requestCalls, Counter, "calls", "route",
			"Calls sent to upstreams for routed requests.",
			"Compare with the extra calls.",
		},
		{
			requestExtra, Counter, "calls", "route, use",
			"Calls beyond the first of a shard: hedges beside a late one, retries after a failed one.",
			"Many hedges: find the slow upstreams. Many retries: find the failing ones.",
		},
		{
			requestDenied, Counter, "calls", "route",
			"Further calls that the retry budget didn't allow.",
			"Above 0: so much is failing or late that more calls would harm the service.",
		},
	}
}

// routeCallTable lists further metrics of the calls for routed requests.
func routeCallTable() []Metric {
	return []Metric{
		{
			requestLimited, Counter, "shards", "route",
			"Shards that weren't called because of the limits that their upstreams state, or the pauses that they ask for.",
			"Above 0: upstreams state fewer requests than come. The log says which (\"upstream states a limit\", \"upstream asks for a pause\").",
		},
		{
			requestDelegated, Counter, "requests", "route",
			"Routed requests whose shards another daemon queried on behalf of this one.",
			"Below the requests of a route over shards, at a daemon that isn't a gatherer: its delegates are overloaded or fail. The log says which (\"delegate overloaded\", \"delegate left alone\").",
		},
		{
			requestExposed, Counter, "calls", "route",
			"Calls to new versions whose rollout isn't completed.",
			"Rises during a rollout only. The log says in which stage it is (\"rollout in stage\").",
		},
		{
			requestBroken, Counter, "upstreams", "route",
			"Upstreams that ended the connection while they had a routed request, at most 8 a request.",
			"The log lines of these requests have a fingerprint. The same one in many lines: find out why the request crashes upstreams.",
		},
		{
			requestWithheld, Counter, "calls", "route",
			"Hedges and unneeded retries left out because the service had no capacity to spare, each time that one was due.",
			"Above 0: the service is short of capacity. See almondstep_admission_refusals_total.",
		},
		{
			admissionWait, Histogram, "seconds", "class, short",
			"Time that a request waited for capacity, by priority (0 is the highest) and by what was short: service or processor.",
			"Near a quarter of the latency target: capacity is used up. processor: the daemon's VM is too small for its share of the requests.",
		},
		{
			admissionRefused, Counter, "requests", "class, short",
			"Requests refused for lack of capacity, by priority and by what was short.",
			"Refusals of class 0: add capacity. The log says which service (\"requests wait for capacity or are refused\").",
		},
	}
}

func callerTable() []Metric {
	return []Metric{
		{
			answers, Counter, "answers", "tenant, class, outcome",
			"Answers given, by outcome: complete, partial, notRun, outcomeUnknown.",
			"More partial: look at the reasons in the answers' coverage. More notRun: look at almondstep_answer_codes_total. More outcomeUnknown: look for lost daemons.",
		},
		{
			answerSeconds, Histogram, "seconds", "tenant, class",
			"Time from a request's arrival to its answer.",
			"If only one service is slow, compare almondstep_upstream_call_seconds; if all are, look at overload refusals and the daemon's processor.",
		},
		{
			answerCoverage, Histogram, "ratio", "tenant, class",
			"Part of the wanted shards that an answer includes.",
			"Below 1: shards have no replica at the snapshot, or stragglers pass the deadline. See the missing shards' reasons.",
		},
		{
			answerCodes, Counter, "answers", "code",
			"Answers that were not complete, by code.",
			"overload: add daemons or lower the load. quarantined: find the request that crashes upstreams. noPlatform: look at the platform's service.",
		},
		{
			attempts, Counter, "sub-requests", "tenant, class",
			"Sub-requests sent for answered queries, hedges and retries included.",
			"Compare with almondstep_attempts_needed_total: the quotient is the extra load on upstreams.",
		},
		{
			attemptsNeeded, Counter, "sub-requests", "tenant, class",
			"Sub-requests that would have been enough without hedges and retries.",
			"See almondstep_attempts_total.",
		},
		{
			attemptsExtra, Counter, "sub-requests", "tenant, class",
			"Hedges and retries.",
			"Rises with stragglers, at most 5% of the needed ones. At the limit for long: find the slow upstreams.",
		},
	}
}

func daemonTable() []Metric {
	return []Metric{
		{
			calls, Counter, "calls", "service, result",
			"Calls from this daemon to the upstreams it owns, by how they ended.",
			"shed: the service is short of capacity. broken, refused: servers restart or crash. timeout: a silent or slow server.",
		},
		{
			callSeconds, Histogram, "seconds", "service",
			"Time of a call to an upstream, without the queue here.",
			"A step for all of a service is the service; for one daemon only, its network.",
		},
		{
			controlMessages, Counter, "messages", "kind",
			"Control messages sent to other daemons.",
			"Should not depend on the size of the fleet.",
		},
		{
			controlBytes, Counter, "bytes", "kind",
			"Bytes of control messages sent to other daemons.",
			"More than 5 KB/s for long: look for members or upstreams that come and go.",
		},
		{
			platformCalls, Counter, "calls", "kind, result",
			"Calls to the platform's service: ok, conflict, unavailable, failed.",
			"unavailable: the daemons go on with what they have; edits and idempotency keys wait for the platform.",
		},
		{
			linesDropped, Counter, "lines", "",
			"Log lines dropped because too many came, or nobody read them.",
			"Rising: the log has gaps; the next line says how many lines are missing.",
		},
	}
}

// stateTable lists the gauges, which are read from the newest view.
func stateTable() []Metric {
	return []Metric{
		{
			revision, Gauge, "revision", "",
			"Revision of the configuration in force here; 0 if none.",
			"Behind the other daemons for more than 3 s: look at whether this daemon reaches any other.",
		},
		{
			registryEra, Gauge, "restores", "",
			"How often the platform's store was restored from a copy, as of this daemon's registry cache.",
			"Lower than at the other daemons for more than 6 s: look at whether this daemon reaches any other. A rise: check that operators wrote again what they had changed.",
		},
		{
			ready, Gauge, "0 or 1", "",
			"Whether callers should be sent here.",
			"0: the readiness page says why.",
		},
		{
			shardGatherers, Gauge, "daemons", "",
			"Daemons of the fleet that query shards, for themselves and for the others; 0 before the registry is known.",
			"Different at daemons for more than some seconds: their registry caches differ, and the shares of the retry budget may exceed it.",
		},
		{
			knownDaemons, Gauge, "daemons", "",
			"Other daemons whose address is known here.",
			"A sudden drop in one zone is a partition or a loss of VMs.",
		},
		{
			rollouts, Gauge, "rollouts", "state",
			"Rollouts that this daemon knows of, by state: waiting, canary, ramp, all, completed, rolledBack.",
			"waiting for more than some seconds: no daemon leads, look at the calls to the platform. rolledBack: the log of the leader says why (\"new version is bad\").",
		},
		{
			quarantined, Gauge, "requests", "",
			"Requests refused because they crashed what ran them.",
			"Above 0: find the request in the log and report it to the service's owner.",
		},
		{
			ownedUpstreams, Gauge, "upstreams", "temperature",
			"Upstreams that this daemon alone sends work to, by what is known of them.",
			"cold after a restart or hand-over is normal for seconds; lost for long: the list shows a server that is gone.",
		},
		{
			grantedUpstreams, Gauge, "upstreams", "grant",
			"Upstreams of this daemon by how far it may use them.",
			"none for more than some seconds: a hand-over waits. warmOnly: this daemon is cut off from most of its zone.",
		},
	}
}
