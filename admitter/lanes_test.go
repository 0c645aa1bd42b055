package admitter_test

import (
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/admitter"
)

// While the processor is saturated and as many requests wait as may, an urgent request for another
// service would otherwise be refused in favour of the least urgent over shards, and wait until
// the first of these has capacity although its own few calls do.
func TestUrgentIsNotBlockedByAnotherService(t *testing.T) {
	d, routes := directory(t, slices.Repeat([]int{80}, 10)...)
	g, now := admitter.NewGate(1), almondstep.Instant(time.Second)
	g.UpdateDirectory(d)
	for id := range 10 {
		g.Offer(now, ask(id, routes[0], now))
	}
	for range 2 {
		now = now.Add(100 * tick)
		g.Lagged(now, 100*tick)
	}
	for id := range 256 {
		g.Offer(now, ask(100+id, routes[2], now))
	}
	if got, want := g.Waiting(), 256; got != want {
		t.Fatalf("got %d waiting, want %d", got, want)
	}
	g.Next(now)
	now = now.Add(25 * tick)
	single := newRoute(t, almondstep.RouteSpec{
		Host: "h", Prefix: "/", Timeout: deadline, LatencyTarget: target, Targets: []almondstep.RouteTarget{{Service: "other", Weight: 1}},
	})
	urgent := ask(999, single, now)
	urgent.Service = "other"
	if v := g.Offer(now, urgent); v.Decision != admitter.Wait || v.Displaced == 0 {
		t.Errorf("got %+v, want the urgent request to wait in place of another", v)
	}
	g.Ended(now, 20)
	if got, _ := g.Next(now); got != 999 {
		t.Errorf("got request %d started, want the urgent one", got)
	}
	if got, ok := g.Next(now); ok {
		t.Errorf("got request %d started, want none beyond the capacity of the processor", got)
	}
}
