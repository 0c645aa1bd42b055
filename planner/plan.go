package planner

import "almondstep"

// Plan is a chosen version with the candidates for every wanted shard. It is
// immutable and may be shared by many queries.
type Plan struct {
	version  almondstep.Version
	complete bool
	// warm is set if every wanted shard has a warm candidate.
	warm bool
	// covered is the number of key hashes of the shards that have a candidate, over
	// all services.
	covered uint64
	spans   []span
	targets []Target
}

// span is the range of one service's shards in a plan's targets.
type span struct {
	service almondstep.ServiceName
	// shardCount is the number of shards in the service's partitioning.
	shardCount uint32
	// base is the index of the first shard; it is above 0 only in a plan for a
	// single shard.
	base uint32
	// first is the index in Plan.targets of the first shard, count the number of shards.
	first int
	count int
}

// Target is one wanted shard and the replicas that can serve it.
type Target struct {
	shard      almondstep.Shard
	candidates []almondstep.Replica
	// equals is the number of candidates as good as the first, including it.
	equals int
}

// Version returns the version that every answer must be from.
func (p *Plan) Version() almondstep.Version { return p.version }

// Complete reports whether every wanted shard has a candidate.
func (p *Plan) Complete() bool { return p.complete }

// Targets returns the wanted shards. The caller must not change the slice.
func (p *Plan) Targets() []Target { return p.targets }

// Index returns a shard's index in Targets.
func (p *Plan) Index(s almondstep.Shard) (int, bool) {
	for i := range p.spans {
		sp := &p.spans[i]
		if sp.shardCount != s.ShardCount() || sp.service != s.Service() {
			continue
		}
		// An index below base wraps around and is out of range, too.
		offset := s.Index() - sp.base
		if offset >= uint32(sp.count) {
			return 0, false
		}
		return sp.first + int(offset), true
	}
	return 0, false
}

// SameShards reports whether both plans have the same version and partitioning.
func (p *Plan) SameShards(other *Plan) bool {
	if p.version != other.version || len(p.spans) != len(other.spans) {
		return false
	}
	for i := range p.spans {
		if p.spans[i] != other.spans[i] {
			return false
		}
	}
	return true
}

// Shard returns the wanted shard.
func (t *Target) Shard() almondstep.Shard { return t.shard }

// Candidates returns the replicas that can serve the shard, best first. The caller
// must not change the slice.
func (t *Target) Candidates() []almondstep.Replica { return t.candidates }

// Choose returns one of the equally good first candidates, selected by a hash;
// false if there is none.
func (t *Target) Choose(hash uint64) (almondstep.Replica, bool) {
	if t.equals == 0 {
		return almondstep.Replica{}, false
	}
	return t.candidates[hash%uint64(t.equals)], true
}

// ColdReplica returns a cold replica of a shard that has a warm one as well; false if
// there is none. A few first attempts go there as warm-up traffic, since a cold
// upstream that gets no work never warms up; hedges go to warm replicas only.
func (t *Target) ColdReplica(hash uint64) (almondstep.Replica, bool) {
	if len(t.candidates) == 0 || t.candidates[0].Temperature() != almondstep.Warm {
		return almondstep.Replica{}, false
	}
	cold := len(t.candidates)
	for cold > 0 && t.candidates[cold-1].Temperature() == almondstep.Cold {
		cold--
	}
	n := uint64(len(t.candidates) - cold)
	if n == 0 {
		return almondstep.Replica{}, false
	}
	return t.candidates[cold+int(hash%n)], true
}
