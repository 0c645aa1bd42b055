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

// Policy is how a run answers searches.
type Policy string

const (
	// PolicyOurs is almondstep as it ships.
	PolicyOurs Policy = "almondstep"
	// PolicyNoHedge is almondstep without hedges and retries.
	PolicyNoHedge Policy = "noHedge"
	// PolicyFlat is every entry VM asking every upstream by itself, its slots
	// split evenly among the entry VMs, without hedges.
	PolicyFlat Policy = "flat"
)

const (
	// recordsPerShard is the number of records each shard has on average.
	recordsPerShard = 20
	// resultLimit bounds the records of an answer.
	resultLimit = 20
	// warmTimeout bounds the wait for full coverage before the run begins.
	warmTimeout = 30 * time.Second
	// warmAskers is how many searches of the warming are open at a time.
	warmAskers = 4
	// warmPause is the time between two searches of the warming.
	warmPause = 20 * time.Millisecond
	// warmRounds is the number of complete searches in a row that count as warm.
	warmRounds = 40
	// urgentWeight and routineWeight are the mix.
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
	// Progress, if set, gets a line a second.
	Progress io.Writer
	// Inspect, if set, is called at the end of each policy's run, while its set
	// still runs.
	Inspect func(p Policy, set *embedder.Set)
}

// Result is what one policy showed.
type Result struct {
	Policy Policy
	Report *generator.Report
	// Untrue is the number of answers that claimed what they did not include.
	Untrue int
	// PeakOverCold is the most by which a cold upstream got more than it bears.
	PeakOverCold int
	// Overruns is how often a cold upstream got more than it bears.
	Overruns int
	// Started is the number of requests that upstreams began.
	Started int
}

// run is one policy's run.
type run struct {
	exp     *Experimenter
	policy  Policy
	set     *embedder.Set
	version almondstep.Version
	base    almondstep.Revision
	clients []*requester.Client
	next    atomic.Uint64
	untrue  atomic.Int64
	flat    *flat
}

// Run runs the scenario under each policy on a fresh set with the same seed.
func (x *Experimenter) Run(ctx context.Context) ([]*Result, error) {
	var results []*Result
	for _, p := range x.Policies {
		r := &run{exp: x, policy: p, version: 1}
		result, err := r.do(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s", p)
		}
		results = append(results, result)
	}
	return results, nil
}

func (r *run) do(ctx context.Context) (*Result, error) {
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.warm(ctx); err != nil {
		return nil, err
	}
	s := r.exp.Scenario
	before := r.started()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := r.events(ctx)
	g := &generator.Generator{
		Rate:     s.text.Rate,
		Duration: s.duration,
		Seed:     r.exp.Seed,
		Kinds:    kinds(),
		Send:     r.ask,
		Observe:  r.check,
		Progress: r.progress(),
	}
	report := g.Run(ctx)
	cancel()
	if err := <-failed; err != nil {
		return nil, err
	}
	if r.exp.Inspect != nil {
		r.exp.Inspect(r.policy, r.set)
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
	zones := make([]almondstep.ZoneName, s.text.Zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	r.set = &embedder.Set{
		Zones: zones,
		Shapes: []embedder.ServiceShape{{
			Service:     serviceName,
			Servers:     s.text.Shards * s.text.Replicas,
			Shards:      s.text.Shards,
			Records:     recordsPerShard * s.text.Shards,
			Slots:       slotsPerServer,
			Connections: connectionsPerServer,
			Latency:     s.latency,
		}},
		DaemonsPerZone: s.text.DaemonsPerZone,
		Seed:           r.exp.Seed,
		Logger:         r.exp.Logger,
		TuneDaemon: func(d *starter.Daemon) {
			d.NoHedge = r.policy != PolicyOurs
		},
	}
	if err := r.set.Start(ctx); err != nil {
		return err
	}
	for _, d := range r.set.Daemons() {
		r.clients = append(r.clients, &requester.Client{Base: "http://" + string(d.CallersAddress())})
	}
	if r.policy == PolicyFlat {
		r.flat = newFlat(r.set)
	}
	return r.setZoneOut(ctx, false)
}

func (r *run) stop() {
	for _, c := range r.clients {
		c.Close()
	}
	if r.flat != nil {
		r.flat.close()
	}
	r.set.Stop()
}

// setZoneOut puts a text in force that has the last zone out or not.
func (r *run) setZoneOut(ctx context.Context, out bool) error {
	text, err := r.exp.Scenario.operatorsText(out)
	if err != nil {
		return err
	}
	result, err := r.set.Apply(ctx, text, r.base, "scenario")
	if err != nil {
		return err
	}
	r.base = result.Revision
	return nil
}

// warm searches until answers are complete many times in a row and no daemon
// counts an upstream as cold any more, so that the run begins with warm
// upstreams and a digest of their latency. Upstreams that stay cold for want of
// work are left so when the time is over.
func (r *run) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var complete atomic.Int64
	var wg sync.WaitGroup
	for range warmAskers {
		wg.Go(func() { r.warmOne(ctx, &complete) })
	}
	wg.Wait()
	if n := complete.Load(); n < warmRounds {
		return errors.Newf("not warm within %s: %d complete answers in a row at the end", warmTimeout, n)
	}
	return nil
}

func (r *run) warmOne(ctx context.Context, complete *atomic.Int64) {
	k := kinds()[1]
	for ctx.Err() == nil && (complete.Load() < warmRounds || r.coldUpstreams() > 0) {
		a, err := r.ask(ctx, k, 0)
		switch {
		case ctx.Err() != nil:
		case err == nil && a.Coverage.Complete:
			complete.Add(1)
		default:
			complete.Store(0)
		}
		select {
		case <-ctx.Done():
		case <-time.After(warmPause):
		}
	}
}

// coldUpstreams counts the upstreams that their owners call cold; the naive
// policy knows none.
func (r *run) coldUpstreams() int {
	if r.flat != nil {
		return 0
	}
	cold := 0
	for _, d := range r.set.Daemons() {
		cold += d.Frontend().View().Status().Cold
	}
	return cold
}

// events makes the scenario's events happen; the channel gives the first error.
func (r *run) events(ctx context.Context) <-chan error {
	failed := make(chan error, 1)
	began := time.Now()
	go func() {
		for _, e := range r.exp.Scenario.events {
			select {
			case <-ctx.Done():
				failed <- nil
				return
			case <-time.After(time.Until(began.Add(e.at))):
			}
			if err := actions[e.what](ctx, r); err != nil && ctx.Err() == nil {
				failed <- errors.Wrapf(err, "event %s", e.what)
				return
			}
		}
		failed <- nil
	}()
	return failed
}

// ask sends a search to the daemons in turn, as a balancer would: one that is
// gone is passed over.
func (r *run) ask(ctx context.Context, k generator.Kind, _ int) (*almondstep.Answer, error) {
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

// check compares an answer with the records themselves.
func (r *run) check(_ generator.Kind, a *almondstep.Answer) {
	if a.Outcome != almondstep.OutcomeComplete && a.Outcome != almondstep.OutcomePartial {
		return
	}
	data := r.set.Data()[0]
	want, _ := data.Search(a.Coverage.Version, searchText, 0)
	for _, m := range a.Coverage.Missing {
		n, _ := data.Shard(almondstep.NewShard(m.Service, m.Shard, m.Of), a.Coverage.Version, searchText, 0)
		want -= n
	}
	if a.Total != want {
		r.untrue.Add(1)
	}
}

func (r *run) started() int {
	n := 0
	for _, u := range r.set.Upstreams() {
		n += u.Counters().Started
	}
	return n
}

func (r *run) result(report *generator.Report, before int) *Result {
	result := &Result{
		Policy:  r.policy,
		Report:  report,
		Untrue:  int(r.untrue.Load()),
		Started: r.started() - before,
	}
	for _, u := range r.set.Upstreams() {
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
