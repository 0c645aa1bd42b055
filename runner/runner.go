// Package runner drives the reducer and performs its effects.
//
// One thread runs the control partition and publishes views; N threads run the
// traffic partitions. A query belongs to the thread of its id, an upstream to
// the thread of its address, so the reducers share no state and need no locks.
// Blocking operations (sockets, timers, the platform) run in goroutines of their own
// and deliver their results as events.
//
//	caller --Search--> mailbox of thread id%N --Reduce--> SendWork --+
//	            ^                                                    |
//	            +---- ReplyCaller <--Reduce-- WorkAnswered <---------+
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/reducer"
)

// Runner drives one daemon's reducers. Set the fields, then call Run.
type Runner struct {
	// Self and Zone are the daemon's ID and its availability zone.
	Self almondstep.DaemonID
	Zone almondstep.ZoneName
	// Control is the control thread's reducer.
	Control *reducer.Reducer
	// Traffic has one reducer for each traffic thread, at least one.
	Traffic []*reducer.Reducer
	// Documents reads the platform's documents.
	Documents DocumentReader
	// Platform, Upstreams and Peers are the clients of the platform, of the upstreams
	// and of the other daemons.
	Platform  almondstep.Platform
	Upstreams almondstep.UpstreamClient
	Peers     almondstep.PeerClient
	// Claimer sends a claim to the daemon that writes the key's bucket; LocalClaimer claims
	// directly at the platform.
	Claimer      almondstep.Claimer
	LocalClaimer almondstep.Claimer
	Recorder     almondstep.Recorder
	Logger       hclog.Logger
	// Registry and Exchanger serve routed requests; nil if there are none.
	Registry  almondstep.Registry
	Exchanger almondstep.Exchanger
	// Quotas is the client for the quotas of organisations; nil if there are none.
	Quotas almondstep.QuotaClient
	// Delegates is the client for registry updates and delegated requests; NextQuery generates
	// the ID of a request that another daemon delegates to this one.
	Delegates almondstep.DelegateClient
	NextQuery func() almondstep.QueryID
	// RolloutRegistry and RolloutReports write the decisions on rollouts and send the reports to
	// their leader; nil if there are no rollouts.
	RolloutRegistry almondstep.RolloutRegistry
	RolloutReports  almondstep.RolloutClient

	start    time.Time
	view     atomic.Pointer[almondstep.View]
	control  *thread
	traffic  []*thread
	observed peerObservations
	calls    callWaiters
	tasks    sync.WaitGroup
	// lifetime bounds the goroutines that perform effects; Run ends it.
	lifetime lifetime
}

// lifetime holds the context in which effects run, and its cancel function.
type lifetime struct {
	ctx  func() context.Context
	stop context.CancelFunc
}

var (
	_ almondstep.Frontend             = (*Runner)(nil)
	_ almondstep.PeerServer           = (*Runner)(nil)
	_ almondstep.RegistryUpdateServer = (*Runner)(nil)

	_ almondstep.GatherServer  = (*Runner)(nil)
	_ almondstep.RolloutServer = (*Runner)(nil)
)

// Init creates the threads; call it once, before Run and before anything is
// served. The first view is unready, as there is no configuration yet.
func (r *Runner) Init(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.lifetime.ctx = func() context.Context { return ctx }
	r.lifetime.stop = cancel
	r.start = time.Now()
	r.view.Store(almondstep.NewView(almondstep.ViewSpec{
		Self:    r.Self,
		Zone:    r.Zone,
		Unready: "no configuration yet",
	}))
	r.control = newThread(r, r.Control)
	r.traffic = make([]*thread, len(r.Traffic))
	for i, t := range r.Traffic {
		r.traffic[i] = newThread(r, t)
	}
	r.observed.init()
	r.calls.init()
}

// Run runs the threads until ctx ends, then cancels the effects in progress and
// waits for their goroutines.
func (r *Runner) Run(ctx context.Context) error {
	var threads sync.WaitGroup
	for _, t := range r.traffic {
		threads.Go(t.loop)
	}
	threads.Go(r.control.loop)
	r.tick(ctx)
	r.lifetime.stop()
	for _, t := range r.traffic {
		t.close()
	}
	r.control.close()
	threads.Wait()
	r.tasks.Wait()
	return nil
}

// tick sends the control partition periodic ticks until ctx ends.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(almondstep.TickInterval)
	defer ticker.Stop()
	r.control.push(&almondstep.ControlTick{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.control.push(&almondstep.ControlTick{})
		}
	}
}

// View returns the newest view.
func (r *Runner) View() *almondstep.View { return r.view.Load() }

// Stop starts a graceful shutdown: the daemon becomes unready and transfers its
// upstreams, while requests in progress continue. Routed requests are answered within the
// given time; 0 means that it isn't limited.
func (r *Runner) Stop(within time.Duration) {
	e := &almondstep.StopRequested{}
	if within > 0 {
		e.AnswerBy = r.now().Add(within)
	}
	r.control.push(e)
}

// now returns the current instant on the process's monotonic clock.
func (r *Runner) now() almondstep.Instant {
	return almondstep.Instant(time.Since(r.start))
}

// background runs f in a goroutine that Run waits for.
func (r *Runner) background(f func(ctx context.Context)) {
	ctx := r.lifetime.ctx()
	r.tasks.Go(func() { f(ctx) })
}

// queryThread returns the thread of a query.
func (r *Runner) queryThread(id almondstep.QueryID) *thread {
	return r.traffic[uint64(id)%uint64(len(r.traffic))]
}

// upstreamThread returns the thread of an upstream.
func (r *Runner) upstreamThread(a almondstep.Address) *thread {
	return r.traffic[ThreadOf(a, len(r.traffic))]
}

// ThreadOf returns the index of the traffic thread, out of n, that an upstream
// belongs to.
func ThreadOf(a almondstep.Address, n int) int {
	return int(uint64(almondstep.KeyHash(string(a))) % uint64(n))
}

// deliver puts an event into the mailbox of the thread it belongs to.
func (r *Runner) deliver(e almondstep.Event) {
	switch e := e.(type) {
	case almondstep.QueryEvent:
		r.queryThread(e.Query()).push(e)
	case almondstep.UpstreamEvent:
		r.upstreamThread(e.Upstream()).push(e)
	case almondstep.ControlEvent, almondstep.QuotaEvent, almondstep.RolloutEvent:
		r.control.push(e)
	}
}
