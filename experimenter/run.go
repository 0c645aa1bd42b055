package experimenter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/embedder"
	"almondstep/generator"
	"almondstep/requester"
	"almondstep/server"
	"almondstep/starter"
)

// Policy is how a run executes searches.
type Policy string

const (
	// PolicyOurs is almondstep as it ships.
	PolicyOurs Policy = "almondstep"
	// PolicyNoHedge is almondstep without hedges and retries.
	PolicyNoHedge Policy = "noHedge"
	// PolicyFlat has every entry VM query every upstream directly, with the
	// upstream's slots split evenly among the entry VMs, without hedges.
	PolicyFlat Policy = "flat"
)

const (
	// recordsPerShard is the number of records each shard has on average.
	recordsPerShard = 20
	// resultLimit bounds the records of an answer.
	resultLimit = 20
	// warmupTimeout bounds the warm-up.
	warmupTimeout = 30 * time.Second
	// warmupConcurrency is the number of concurrent warm-up searches.
	warmupConcurrency = 4
	// warmupInterval is the time between two warm-up searches.
	warmupInterval = 20 * time.Millisecond
	// warmupSearches is the number of consecutive complete searches that the warm-up
	// needs to succeed.
	warmupSearches = 40
	// urgentWeight and routineWeight are the relative frequencies of the two classes.
	urgentWeight  = 1
	routineWeight = 3
)

// Experimenter runs one scenario under one policy after the other. Set the
// fields, then call Run.
type Experimenter struct {
	Scenario *Scenario
	Policies []Policy
	Seed     uint64
	Logger   hclog.Logger
	// Progress, if set, receives a status line every second, which overwrites the one
	// before it on a terminal.
	Progress io.Writer
	// Inspect, if set, is called at the end of each policy's run, before its fleet
	// stops.
	Inspect func(p Policy, fleet *embedder.Fleet)
}

// Result is the result of one policy.
type Result struct {
	Policy Policy
	Report *generator.Report
	// Untrue is the number of incorrect answers: those whose total doesn't match the records of the
	// shards they claim to include.
	Untrue int
	// PeakOverCold is the largest number of requests in flight above a cold upstream's
	// limit.
	PeakOverCold int
	// Overruns is how often the requests in flight exceeded a cold upstream's limit.
	Overruns int
	// Started is the number of requests that upstreams started.
	Started int
}

// run is one policy's run.
type run struct {
	exp       *Experimenter
	policy    Policy
	fleet     *embedder.Fleet
	version   almondstep.Version
	revision  almondstep.Revision
	clients   []*requester.Client
	next      atomic.Uint64
	incorrect atomic.Int64
	flat      *flat
}

// Run runs the scenario under each policy on a new fleet with the same seed.
func (x *Experimenter) Run(ctx context.Context) ([]*Result, error) {
	var results []*Result
	for _, p := range x.Policies {
		r := &run{exp: x, policy: p, version: 1}
		result, err := r.execute(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s", p)
		}
		results = append(results, result)
	}
	return results, nil
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	s := r.exp.Scenario
	before := r.startedRequests()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	eventsDone := r.runEvents(ctx)
	g := &generator.Generator{
		Rate:     s.config.Rate,
		Duration: s.duration,
		Seed:     r.exp.Seed,
		Kinds:    kinds(),
		Send:     r.search,
		Observe:  r.verifyAnswer,
		Progress: r.progress(),
	}
	report := g.Run(ctx)
	cancel()
	if err := <-eventsDone; err != nil {
		return nil, err
	}
	if r.exp.Inspect != nil {
		r.exp.Inspect(r.policy, r.fleet)
	}
	return r.result(report, before), nil
}

func kinds() []generator.Kind {
	kind := func(class almondstep.ClassName, weight int) generator.Kind {
		return generator.Kind{
			Tenant: "growers",
			Class:  class,
			Scheme: schemeName,
			Name:   string(serviceName),
			Text:   searchText,
			Weight: weight,
		}
	}
	return []generator.Kind{kind("urgent", urgentWeight), kind("routine", routineWeight)}
}

func (r *run) start(ctx context.Context) error {
	s := r.exp.Scenario
	zones := make([]almondstep.ZoneName, s.config.Zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	r.fleet = &embedder.Fleet{
		Zones: zones,
		Shapes: []embedder.ServiceShape{{
			Service:     serviceName,
			Servers:     s.config.Shards * s.config.Replicas,
			Shards:      s.config.Shards,
			Records:     recordsPerShard * s.config.Shards,
			Slots:       slotsPerServer,
			Connections: connectionsPerServer,
			Latency:     s.latency,
		}},
		DaemonsPerZone: s.config.DaemonsPerZone,
		Seed:           r.exp.Seed,
		Logger:         r.exp.Logger,
		TuneDaemon: func(d *starter.Daemon) {
			d.NoHedge = r.policy != PolicyOurs
		},
	}
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	for _, d := range r.fleet.Daemons() {
		r.clients = append(r.clients, &requester.Client{Base: "http://" + string(d.CallersAddress())})
	}
	if r.policy == PolicyFlat {
		r.flat = newFlat(r.fleet)
	}
	return r.setLastZoneDrained(ctx, false)
}

func (r *run) stop() {
	for _, c := range r.clients {
		c.Close()
	}
	if r.flat != nil {
		r.flat.close()
	}
	r.fleet.Stop()
}

// setLastZoneDrained applies a configuration with the last zone drained or not.
func (r *run) setLastZoneDrained(ctx context.Context, drained bool) error {
	text, err := r.exp.Scenario.catalogConfig(drained)
	if err != nil {
		return err
	}
	result, err := r.fleet.Apply(ctx, text, r.revision, "scenario")
	if err != nil {
		return err
	}
	r.revision = result.Revision
	return nil
}

// warmUp searches until enough consecutive answers are complete and no daemon
// counts an upstream as cold, so that the run begins with warm upstreams and a
// digest of their latency. Upstreams still cold at the timeout, for lack of
// requests, stay cold.
func (r *run) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	var complete atomic.Int64
	var wg sync.WaitGroup
	for range warmupConcurrency {
		wg.Go(func() { r.warmUpWorker(ctx, &complete) })
	}
	wg.Wait()
	if n := complete.Load(); n < warmupSearches {
		return errors.Newf("the warm-up didn't succeed within %s: got %d consecutive complete answers at its end", warmupTimeout, n)
	}
	return nil
}

func (r *run) warmUpWorker(ctx context.Context, complete *atomic.Int64) {
	k := kinds()[1]
	for ctx.Err() == nil && (complete.Load() < warmupSearches || r.coldUpstreams() > 0) {
		a, err := r.search(ctx, k, 0)
		switch {
		case ctx.Err() != nil:
		case err == nil && a.Coverage.Complete:
			complete.Add(1)
		default:
			complete.Store(0)
		}
		select {
		case <-ctx.Done():
		case <-time.After(warmupInterval):
		}
	}
}

// coldUpstreams counts the upstreams that their owners consider cold. PolicyFlat has
// no owners, so the count is 0.
func (r *run) coldUpstreams() int {
	if r.flat != nil {
		return 0
	}
	cold := 0
	for _, d := range r.fleet.Daemons() {
		cold += d.Frontend().View().Status().Cold
	}
	return cold
}

// runEvents runs the scenario's events in the background. The channel receives the
// first error, or nil once all events have run or ctx has ended.
func (r *run) runEvents(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	began := time.Now()
	go func() {
		for _, e := range r.exp.Scenario.events {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-time.After(time.Until(began.Add(e.at))):
			}
			if err := actions[e.action](ctx, r); err != nil && ctx.Err() == nil {
				done <- errors.Wrapf(err, "event %s", e.action)
				return
			}
		}
		done <- nil
	}()
	return done
}

// search sends a search to the daemons in turn, like a load balancer, and skips
// daemons that return an error.
func (r *run) search(ctx context.Context, k generator.Kind, _ int) (*almondstep.Answer, error) {
	if r.flat != nil {
		return r.flat.search(ctx, k), nil
	}
	var err error
	for range r.clients {
		c := r.clients[r.next.Add(1)%uint64(len(r.clients))]
		var a *almondstep.Answer
		a, err = c.Search(ctx, &server.SearchRequest{
			Scheme: k.Scheme,
			Name:   k.Name,
			Tenant: k.Tenant,
			Class:  k.Class,
			Text:   k.Text,
			Limit:  resultLimit,
		})
		if err == nil {
			return a, nil
		}
	}
	return nil, err
}

// verifyAnswer compares an answer's total with the records of the shards that it
// claims to include, and counts a mismatch.
func (r *run) verifyAnswer(_ generator.Kind, a *almondstep.Answer) {
	if a.Outcome != almondstep.OutcomeComplete && a.Outcome != almondstep.OutcomePartial {
		return
	}
	data := r.fleet.Data()[0]
	want, _ := data.Search(a.Coverage.Version, searchText, 0)
	for _, m := range a.Coverage.Missing {
		n, _ := data.Shard(almondstep.NewShard(m.Service, m.Shard, m.Of), a.Coverage.Version, searchText, 0)
		want -= n
	}
	if a.Total != want {
		r.incorrect.Add(1)
	}
}

// startedRequests counts the requests that the upstreams have started.
func (r *run) startedRequests() int {
	n := 0
	for _, u := range r.fleet.Upstreams() {
		n += u.Counters().Started
	}
	return n
}

func (r *run) result(report *generator.Report, before int) *Result {
	result := &Result{
		Policy:  r.policy,
		Report:  report,
		Untrue:  int(r.incorrect.Load()),
		Started: r.startedRequests() - before,
	}
	for _, u := range r.fleet.Upstreams() {
		c := u.Counters()
		result.Overruns += c.Overruns
		result.PeakOverCold = max(result.PeakOverCold, c.PeakOverCold)
	}
	return result
}

func (r *run) progress() func(sent, answered int) {
	if r.exp.Progress == nil {
		return nil
	}
	return func(sent, answered int) {
		_, _ = fmt.Fprintf(r.exp.Progress, "\r%s: %d sent, %d answered ", r.policy, sent, answered)
	}
}
