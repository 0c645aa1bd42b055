package experimenter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"almondstep"
	"almondstep/dialer"
	"almondstep/embedder"
	"almondstep/generator"
)

// flat runs searches under PolicyFlat: the entry VM queries one replica of each shard itself,
// within its static part of each upstream's slots, and waits for all answers. It
// has no hedges, no retries and no limits for cold upstreams.
type flat struct {
	fleet  *embedder.Fleet
	dialer *dialer.Client
	shards [][]*embedder.Upstream

	mu    sync.Mutex
	slots map[almondstep.Address]chan struct{}
	turn  uint64
}

// flatTimeout bounds a whole search; PolicyFlat has no other timeout.
const flatTimeout = time.Second

func newFlat(fleet *embedder.Fleet) *flat {
	f := &flat{fleet: fleet, dialer: &dialer.Client{}, slots: make(map[almondstep.Address]chan struct{})}
	for _, u := range fleet.Upstreams() {
		for int(u.Shard()) >= len(f.shards) {
			f.shards = append(f.shards, nil)
		}
		f.shards[u.Shard()] = append(f.shards[u.Shard()], u)
		// This process stands for all entry VMs, so it may use the sum of their parts:
		// all slots.
		f.slots[u.VM().Addr] = make(chan struct{}, slotsPerServer)
	}
	return f
}

func (f *flat) close() { f.dialer.Close() }

func (f *flat) search(ctx context.Context, k generator.Kind) *almondstep.Answer {
	ctx, cancel := context.WithTimeout(ctx, flatTimeout)
	defer cancel()
	f.mu.Lock()
	f.turn++
	turn := int(f.turn)
	f.mu.Unlock()
	results := make([]*almondstep.AttemptEnded, len(f.shards))
	version := f.shards[0][0].VM().Holdings[0].Version
	var wg sync.WaitGroup
	for i, replicas := range f.shards {
		u := replicas[turn%len(replicas)]
		wg.Go(func() { results[i] = f.queryShard(ctx, u, i, version, k, turn) })
	}
	wg.Wait()
	return f.merge(results, version)
}

func (f *flat) queryShard(ctx context.Context, u *embedder.Upstream, shard int, version almondstep.Version, k generator.Kind, turn int) *almondstep.AttemptEnded {
	addr := u.VM().Addr
	slots := f.slots[addr]
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return &almondstep.AttemptEnded{Result: almondstep.CallTimeout}
	}
	defer func() { <-slots }()
	return f.dialer.Do(ctx, &almondstep.StartAttempt{
		Addr:        addr,
		Call:        almondstep.CallID(turn),
		Shard:       almondstep.NewShard(serviceName, uint32(shard), uint32(len(f.shards))),
		Version:     version,
		Text:        k.Text,
		Limit:       resultLimit,
		Idempotent:  true,
		Timeout:     flatTimeout,
		Connections: connectionsPerServer,
	})
}

func (f *flat) merge(results []*almondstep.AttemptEnded, version almondstep.Version) *almondstep.Answer {
	a := &almondstep.Answer{Attempts: len(results), Needed: len(results)}
	a.Coverage = almondstep.Coverage{Version: version, Wanted: len(results)}
	for i, e := range results {
		if e.Result != almondstep.CallDone {
			shard := almondstep.NewShard(serviceName, uint32(i), uint32(len(results)))
			from, to := shard.Range()
			a.Coverage.Missing = append(a.Coverage.Missing, almondstep.MissingShard{
				Service: serviceName, Shard: uint32(i), Of: uint32(len(results)), From: from, To: to, Reason: almondstep.ReasonFailed,
			})
			continue
		}
		a.Coverage.Included++
		a.Total += e.Total
		a.Records = append(a.Records, e.Records...)
	}
	slices.SortFunc(a.Records, func(x, y almondstep.Record) int { return strings.Compare(x.Key, y.Key) })
	a.Records = a.Records[:min(len(a.Records), resultLimit)]
	a.Coverage.Complete = a.Coverage.Included == a.Coverage.Wanted
	a.Outcome = almondstep.OutcomePartial
	if a.Coverage.Complete {
		a.Outcome = almondstep.OutcomeComplete
	}
	return a
}
