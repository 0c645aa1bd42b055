package planner

import "almondstep"

// Plan is a chosen version with the candidates for every wanted shard. It is
// immutable and may be shared by many queries.
type Plan struct {
	version  almondstep.Version
	complete bool
	warm     bool
	covered  uint64
	spans    []span
	targets  []Target
}

// span is where the shards of one service stand in a plan's targets.
type span struct {
	service almondstep.ServiceName
	of      uint32
	// base is the index of the first shard; it is above 0 only where a plan is
	// for one shard.
	base  uint32
	first int
	count int
}

// Target is one wanted shard and who could serve it.
type Target struct {
	shard      almondstep.Shard
	candidates []almondstep.Replica
	equals     int
}

// Version is the version every answer must be from.
func (p *Plan) Version() almondstep.Version { return p.version }

// Complete says that every wanted shard has a candidate.
func (p *Plan) Complete() bool { return p.complete }

// Targets lists the wanted shards. The caller must not change it.
func (p *Plan) Targets() []Target { return p.targets }

// Index finds a shard's place in Targets.
func (p *Plan) Index(s almondstep.Shard) (int, bool) {
	for i := range p.spans {
		sp := &p.spans[i]
		if sp.of != s.Of() || sp.service != s.Service() {
			continue
		}
		// An index below base wraps round and is out of range, too.
		offset := s.Index() - sp.base
		if offset >= uint32(sp.count) {
			return 0, false
		}
		return sp.first + int(offset), true
	}
	return 0, false
}

// SameShards says that both plans are of one version and one partitioning.
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

// Shard is the wanted shard.
func (t *Target) Shard() almondstep.Shard { return t.shard }

// Candidates lists who could serve the shard, best first. The caller must not
// change it.
func (t *Target) Candidates() []almondstep.Replica { return t.candidates }

// Choose picks one of the equally good first candidates by a hash; false if
// there is none.
func (t *Target) Choose(hash uint64) (almondstep.Replica, bool) {
	if t.equals == 0 {
		return almondstep.Replica{}, false
	}
	return t.candidates[hash%uint64(t.equals)], true
}

// Trickle picks a cold replica of a shard that has a warm one as well; false if
// there is none. A few first tries go there, since a cold upstream that gets no
// work never warms, and the warm replica covers for it.
func (t *Target) Trickle(hash uint64) (almondstep.Replica, bool) {
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
