// Package runner drives the reducer and performs its effects.
//
// One thread runs the control partition and publishes views; N threads run the
// traffic partitions. A query belongs to the thread of its id, an upstream to
// the thread of its address, so no state is shared and nothing is locked while
// deciding. Whatever waits (sockets, timers, the platform) waits in a goroutine
// of its own and comes back as an event.
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
	// Self and Zone are the daemon's own.
	Self almondstep.DaemonID
	Zone almondstep.ZoneName
	// Control is the control thread's reducer.
	Control *reducer.Reducer
	// Traffic has one reducer for each traffic thread, at least one.
	Traffic []*reducer.Reducer
	// Documents reads the platform's documents.
	Documents DocumentReader
	// Platform, Upstreams, Peers and Claimer are the outside.
	Platform  almondstep.Platform
	Upstreams almondstep.UpstreamClient
	Peers     almondstep.PeerClient
	// Claimer finds the key's home; Claims claims at the platform from here.
	Claimer  almondstep.Claimer
	Claims   almondstep.Claimer
	Recorder almondstep.Recorder
	Logger   hclog.Logger
	// Registry and Exchanger serve routed requests; nil if there are none.
	Registry  almondstep.Registry
	Exchanger almondstep.Exchanger
	// Mates talks to the other daemons of the zone; NextQuery draws the id of a
	// request that one of them hands over.
	Mates     almondstep.DelegateClient
	NextQuery func() almondstep.QueryID

	start   time.Time
	view    atomic.Pointer[almondstep.View]
	control *thread
	traffic []*thread
	heard   peerEvidence
	calls   callWaiters
	tasks   sync.WaitGroup
	// life ends when Run does; every goroutine of an effect hangs on it.
	life lifetime
}

// lifetime is the span in which effects may start.
type lifetime struct {
	ctx  func() context.Context
	stop context.CancelFunc
}

var (
	_ almondstep.Frontend             = (*Runner)(nil)
	_ almondstep.PeerServer           = (*Runner)(nil)
	_ almondstep.RegistryUpdateServer = (*Runner)(nil)

	_ almondstep.GatherServer = (*Runner)(nil)
)

// Init makes the threads; call it once, before Run and before anything is
// served. The first view says that there is no configuration yet.
func (r *Runner) Init(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.life.ctx = func() context.Context { return ctx }
	r.life.stop = cancel
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
	r.heard.init()
	r.calls.init()
}

// Run drives the threads until ctx ends, then waits for the goroutines of the
// effects under way.
func (r *Runner) Run(ctx context.Context) error {
	var threads sync.WaitGroup
	for _, t := range r.traffic {
		threads.Go(t.loop)
	}
	threads.Go(r.control.loop)
	r.tick(ctx)
	r.life.stop()
	for _, t := range r.traffic {
		t.close()
	}
	r.control.close()
	threads.Wait()
	r.tasks.Wait()
	return nil
}

// tick moves the control partition's clock until ctx ends.
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

// View is the newest view.
func (r *Runner) View() *almondstep.View { return r.view.Load() }

// Stop starts a graceful shutdown: the daemon goes unready and hands its
// upstreams over, while requests under way go on.
func (r *Runner) Stop() {
	r.control.push(&almondstep.StopRequested{})
}

// now is the present instant on the process's monotonic clock.
func (r *Runner) now() almondstep.Instant {
	return almondstep.Instant(time.Since(r.start))
}

// background runs f in a goroutine that Run waits for.
func (r *Runner) background(f func(ctx context.Context)) {
	ctx := r.life.ctx()
	r.tasks.Go(func() { f(ctx) })
}

// queryThread finds the thread of a query.
func (r *Runner) queryThread(id almondstep.QueryID) *thread {
	return r.traffic[uint64(id)%uint64(len(r.traffic))]
}

// upstreamThread finds the thread of an upstream.
func (r *Runner) upstreamThread(a almondstep.Address) *thread {
	return r.traffic[ThreadOf(a, len(r.traffic))]
}

// ThreadOf says which of n traffic threads an upstream belongs to, from 0.
func ThreadOf(a almondstep.Address, n int) int {
	return int(uint64(almondstep.KeyHash(string(a))) % uint64(n))
}

// route puts an event into the mailbox of the thread it belongs to.
func (r *Runner) route(e almondstep.Event) {
	switch e := e.(type) {
	case almondstep.QueryEvent:
		r.queryThread(e.Query()).push(e)
	case almondstep.UpstreamEvent:
		r.upstreamThread(e.Upstream()).push(e)
	case almondstep.ControlEvent:
		r.control.push(e)
	}
}
