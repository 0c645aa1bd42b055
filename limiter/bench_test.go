package limiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// BenchmarkItem runs one item at one of 10,000 upstreams: its arrival, start
// and end.
func BenchmarkItem(b *testing.B) {
	const upstreams = 10_000
	u := limiter.New(limiter.Config{})
	owned := map[almondstep.Address]almondstep.OwnedUpstream{}
	addrs := make([]almondstep.Address, upstreams)
	for i := range addrs {
		v := vm("boot1")
		v.Addr = almondstep.Address(fmt.Sprintf("10.0.%d.%d:80", i/256, i%256))
		addrs[i] = v.Addr
		owned[v.Addr] = almondstep.NewOwnedUpstream(v, 2, 25, almondstep.GrantFull, almondstep.Warm)
	}
	view := almondstep.NewView(almondstep.ViewSpec{Self: "d1", Owned: owned})
	work := &almondstep.Work{Attempt: 1, Version: 7, Remaining: time.Second}
	arrived := &almondstep.ItemArrived{Work: work}
	ended := &almondstep.AttemptEnded{Boot: "boot1", Took: time.Millisecond, Version: 7}
	out := make([]almondstep.Effect, 0, 16)
	now := almondstep.Instant(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		work.Query = almondstep.QueryID(i)
		arrived.Item = almondstep.Item{Shard: almondstep.NewShard("intake-desk", 3, 20), Upstream: addrs[i%upstreams]}
		arrived.Deadline = now.Add(time.Second)
		out = u.Reduce(now, view, arrived, out[:0])
		ended.Addr = arrived.Item.Upstream
		ended.Call = out[0].(*almondstep.StartAttempt).Call
		out = u.Reduce(now, view, ended, out[:0])
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/event")
}

// BenchmarkQueuedItem runs one item at an upstream with a queue of a thousand.
func BenchmarkQueuedItem(b *testing.B) {
	const waiting = 1000
	u := limiter.New(limiter.Config{})
	view := viewOf(vm("boot1"), almondstep.GrantFull, almondstep.Cold)
	ended := &almondstep.AttemptEnded{Addr: addr, Boot: "boot1", Took: time.Microsecond, Version: 7}
	out := make([]almondstep.Effect, 0, 16)
	call := almondstep.CallID(0)
	works := make([]almondstep.Work, waiting)
	arrive := func(i int) {
		w := &works[i%waiting]
		*w = almondstep.Work{Query: almondstep.QueryID(i), Attempt: 1, Version: 7, Remaining: time.Hour}
		e := almondstep.ItemArrived{Item: item(), Work: w, Deadline: almondstep.Instant(time.Hour) + almondstep.Instant(i)}
		out = u.Reduce(0, view, &e, out[:0])
	}
	for i := range waiting - 1 {
		arrive(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		arrive(waiting - 1 + i)
		call++
		ended.Call = call
		out = u.Reduce(0, view, ended, out[:0])
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/event")
}

// BenchmarkUpstreamState reports the memory of the state of one upstream that
// has run an item, as B/upstream.
func BenchmarkUpstreamState(b *testing.B) {
	const upstreams = 10_000
	var before, after runtime.MemStats
	for range b.N {
		owned := map[almondstep.Address]almondstep.OwnedUpstream{}
		var addrs []almondstep.Address
		for i := range upstreams {
			v := vm("boot1")
			v.Addr = almondstep.Address(fmt.Sprintf("10.0.%d.%d:80", i/256, i%256))
			addrs = append(addrs, v.Addr)
			owned[v.Addr] = almondstep.NewOwnedUpstream(v, 2, 25, almondstep.GrantFull, almondstep.Warm)
		}
		view := almondstep.NewView(almondstep.ViewSpec{Self: "d1", Owned: owned})
		runtime.GC()
		runtime.ReadMemStats(&before)
		u := limiter.New(limiter.Config{})
		for i, a := range addrs {
			w := &almondstep.Work{Query: almondstep.QueryID(i), Attempt: 1, Version: 7, Remaining: time.Second}
			it := almondstep.Item{Shard: almondstep.NewShard("intake-desk", 3, 20), Upstream: a}
			out := u.Reduce(0, view, &almondstep.ItemArrived{Item: it, Work: w, Deadline: almondstep.Instant(time.Second)}, nil)
			u.Reduce(0, view, &almondstep.AttemptEnded{Addr: a, Call: started(out)[0].Call, Boot: "boot1", Version: 7}, nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/upstreams, "B/upstream")
		runtime.KeepAlive(u)
	}
}
