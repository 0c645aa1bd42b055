// Package generator sends requests at a given average rate and reports the
// outcomes and latencies.
//
// The load is open-loop: a seeded Poisson process schedules the requests,
// whether or not earlier ones were answered, and a request's latency counts from
// its scheduled time. A stall thus counts against all requests that were due
// meanwhile (no coordinated omission).
//
//	g := &generator.Generator{Rate: 50, Duration: 10 * time.Second, Seed: 1, Kinds: kinds, Send: send}
//	report := g.Run(ctx)
package generator

import (
	"context"
	"math"
	"sync"
	"time"

	"almondstep"
)

// Kind is one kind of request of the mix.
type Kind struct {
	Tenant almondstep.TenantName
	Class  almondstep.ClassName
	Scheme almondstep.SchemeName
	Name   string
	Text   string
	// Weight is the kind's relative frequency in the mix.
	Weight int
}

// Generator is one run. Set the fields, then call Run.
type Generator struct {
	// Rate is the average number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Kinds    []Kind
	// Send sends one request and returns its answer. number is the index of the
	// request in the run, from 0.
	Send func(ctx context.Context, k Kind, number int) (*almondstep.Answer, error)
	// Observe, if set, is called with each answer.
	Observe func(k Kind, a *almondstep.Answer)
	// Progress, if set, is called every second with the number of requests sent and
	// answered.
	Progress func(sent, answered int)
}

// Run sends requests for Duration, waits for the answers and returns the report.
func (g *Generator) Run(ctx context.Context) *Report {
	r := newReport(time.Now())
	var wg sync.WaitGroup
	random := rng{almondstep.NewRandom(g.Seed)}
	due := time.Now()
	end := due.Add(g.Duration)
	stop := g.reportProgress(r)
	defer stop()
	for number := 0; ; number++ {
		due = due.Add(random.interarrival(g.Rate))
		if due.After(end) || !sleepUntil(ctx, due) {
			break
		}
		k := g.pick(&random)
		r.sent.Add(1)
		arrival := due
		wg.Go(func() { g.sendOne(ctx, r, k, number, arrival) })
	}
	wg.Wait()
	r.ended = time.Now()
	return r
}

func (g *Generator) sendOne(ctx context.Context, r *Report, k Kind, number int, due time.Time) {
	a, err := g.Send(ctx, k, number)
	r.add(k, a, err, due, time.Now())
	if g.Observe != nil && err == nil {
		g.Observe(k, a)
	}
}

// pick chooses a random kind by weight.
func (g *Generator) pick(random *rng) Kind {
	total := 0
	for _, k := range g.Kinds {
		total += k.Weight
	}
	n := int(random.Next() % uint64(total))
	for _, k := range g.Kinds {
		if n < k.Weight {
			return k
		}
		n -= k.Weight
	}
	return g.Kinds[0]
}

// reportProgress calls Progress every second until the returned function is called.
func (g *Generator) reportProgress(r *Report) (stop func()) {
	if g.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				g.Progress(int(r.sent.Load()), int(r.answered.Load()))
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// sleepUntil waits until due. It reports false if ctx has ended first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// rng generates the random choices of a run.
type rng struct{ almondstep.Random }

// interarrival returns a random time to the next arrival of a Poisson process.
func (r *rng) interarrival(perSecond float64) time.Duration {
	// A float64 holds 53 random bits exactly. u is above 0, so its logarithm is finite.
	const mantissa = 53
	u := (float64(r.Next()>>(64-mantissa)) + 1) / (1 << mantissa)
	return time.Duration(-math.Log(u) / perSecond * float64(time.Second))
}
