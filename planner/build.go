package planner

import "almondstep"

// build returns the plan of one version.
func build(v *almondstep.View, closure []almondstep.ServiceName, version almondstep.Version) *Plan {
	plan := &Plan{version: version, complete: true, warm: true}
	k := newRanker(v)
	placements := make([]almondstep.Placement, len(closure))
	wanted, replicas := 0, 0
	for i, s := range closure {
		placements[i] = choosePlacement(v, k, s, version)
		wanted += int(placements[i].ShardCount())
		replicas += countReplicas(placements[i])
	}
	k.reserve(replicas)
	plan.targets = make([]Target, 0, wanted)
	plan.spans = make([]span, 0, len(closure))
	for i, s := range closure {
		plan.addService(k, s, placements[i])
	}
	return plan
}

func countReplicas(p almondstep.Placement) int {
	n := 0
	for i := range p.ShardCount() {
		n += len(p.Replicas(i))
	}
	return n
}

// choosePlacement returns the placement of a service at a version that covers the
// largest part of the key space; while shards are being repartitioned there can be
// two placements. If the version has none, it returns the newest partitioning
// without any replicas.
func choosePlacement(v *almondstep.View, k *ranker, s almondstep.ServiceName, version almondstep.Version) almondstep.Placement {
	chosen, multiple := onlyPlacement(v, s, version)
	if multiple {
		chosen = largestPlacement(v, k, s, version)
	}
	if chosen.ShardCount() != 0 {
		return chosen
	}
	for _, p := range v.Placements(s) {
		if p.ShardCount() != 0 {
			return almondstep.NewPlacement(version, p.ShardCount(), nil)
		}
	}
	// The service has no placement: its whole key space is missing.
	return almondstep.NewPlacement(version, 1, nil)
}

// onlyPlacement returns the first placement at a version and whether there are
// more.
func onlyPlacement(v *almondstep.View, s almondstep.ServiceName, version almondstep.Version) (only almondstep.Placement, multiple bool) {
	for _, p := range v.Placements(s) {
		if p.Version() != version || p.ShardCount() == 0 {
			continue
		}
		if only.ShardCount() != 0 {
			return only, true
		}
		only = p
	}
	return only, false
}

// largestPlacement returns the placement of a service at a version that covers the
// largest part of the key space.
func largestPlacement(v *almondstep.View, k *ranker, s almondstep.ServiceName, version almondstep.Version) almondstep.Placement {
	var chosen almondstep.Placement
	maxCoverage := uint64(0)
	for _, p := range v.Placements(s) {
		if p.Version() != version || p.ShardCount() == 0 {
			continue
		}
		if c := coverageOf(k, s, p); chosen.ShardCount() == 0 || c > maxCoverage {
			chosen = p
			maxCoverage = c
		}
	}
	return chosen
}

// coverageOf returns the number of key hashes of the shards that have a usable
// replica.
func coverageOf(k *ranker, s almondstep.ServiceName, p almondstep.Placement) uint64 {
	coverage := uint64(0)
	for i := range p.ShardCount() {
		replicas := p.Replicas(i)
		for j := range replicas {
			if k.usable(&replicas[j]) {
				coverage += width(almondstep.NewShard(s, i, p.ShardCount()))
				break
			}
		}
	}
	return coverage
}

func (p *Plan) addService(k *ranker, s almondstep.ServiceName, placement almondstep.Placement) {
	shardCount := placement.ShardCount()
	p.spans = append(p.spans, span{service: s, shardCount: shardCount, first: len(p.targets), count: int(shardCount)})
	for i := range shardCount {
		p.addTarget(k, almondstep.NewShard(s, i, shardCount), placement.Replicas(i))
	}
}

func (p *Plan) addTarget(k *ranker, s almondstep.Shard, replicas []almondstep.Replica) {
	candidates, equals := k.rank(replicas)
	p.targets = append(p.targets, Target{shard: s, candidates: candidates, equals: equals})
	if len(candidates) == 0 {
		p.complete = false
		p.warm = false
		return
	}
	p.covered += width(s)
	if candidates[0].Temperature() != almondstep.Warm {
		p.warm = false
	}
}

// width is the number of key hashes that a shard covers.
func width(s almondstep.Shard) uint64 {
	from, to := s.Range()
	return to - from
}

// OperationPlan returns the plan of an operation on the shard of a record key: at a
// version at which the shard has a warm replica, else at one at which it has a cold
// one. Of several such versions, the one with the fewest shards in its partitioning
// is chosen, then the newest. The plan has one target, which may have no candidate.
func OperationPlan(v *almondstep.View, s almondstep.ServiceName, recordKey string) *Plan {
	var chosen *Plan
	for _, p := range v.Placements(s) {
		if p.ShardCount() == 0 {
			continue
		}
		plan := singleShardPlan(v, p.Version(), almondstep.ShardOfKey(s, recordKey, p.ShardCount()), p)
		if chosen == nil || better(plan, chosen) {
			chosen = plan
		}
	}
	if chosen == nil {
		none := almondstep.NewPlacement(0, 1, nil)
		return singleShardPlan(v, 0, almondstep.NewShard(s, 0, 1), none)
	}
	return chosen
}

func singleShardPlan(v *almondstep.View, version almondstep.Version, s almondstep.Shard, p almondstep.Placement) *Plan {
	plan := &Plan{version: version, complete: true, warm: true}
	plan.spans = []span{{service: s.Service(), shardCount: s.ShardCount(), base: s.Index(), count: 1}}
	plan.addTarget(newRanker(v), s, p.Replicas(s.Index()))
	return plan
}
