package embedder

import (
	"time"

	"almondstep"
)

// StopUpstreams permanently stops the upstreams that which selects, like failed VMs, and
// returns how many. The platform's list still contains them.
func (s *Fleet) StopUpstreams(which func(u *Upstream) bool) int {
	n := 0
	for _, u := range s.upstreams {
		if which(u) {
			u.Close()
			n++
		}
	}
	return n
}

// Restart restarts the upstreams that which selects and returns how many. They refuse
// connections for downtime and are cold after it.
func (s *Fleet) Restart(downtime time.Duration, which func(u *Upstream) bool) int {
	n := 0
	for _, u := range s.upstreams {
		if which(u) {
			u.Restart(downtime)
			n++
		}
	}
	return n
}

// Roll adds a newer version to the one that the upstreams serve, to a part of the
// upstreams at a time, and then removes the older version in the same way. It updates
// the platform's list after each part. With split above 1, the newer version has
// split shards for each shard of the start, so that the records are repartitioned.
// Roll returns after about the duration over.
func (s *Fleet) Roll(to almondstep.Version, split uint32, over time.Duration) {
	const listSteps = 8
	phases := []func(u *Upstream) []almondstep.Holding{
		func(u *Upstream) []almondstep.Holding {
			return append([]almondstep.Holding{u.holdingAt(to, split)}, u.vm.Holdings...)
		},
		func(u *Upstream) []almondstep.Holding {
			return []almondstep.Holding{u.holdingAt(to, split)}
		},
	}
	interval := over / time.Duration(len(phases)*listSteps)
	for _, phase := range phases {
		for step := range listSteps {
			for i := step; i < len(s.upstreams); i += listSteps {
				u := s.upstreams[i]
				u.vm.Holdings = phase(u)
				u.SetHoldings(u.vm.Holdings)
			}
			s.PublishList()
			time.Sleep(interval)
		}
	}
}

// holdingAt returns the holding of the upstream at a version in which each shard
// of the start is split into split shards.
//
// Example: shard 3 of 20, split in 2, is shards 6 and 7 of 40.
func (u *Upstream) holdingAt(version almondstep.Version, split uint32) almondstep.Holding {
	h := almondstep.Holding{Version: version, Of: u.of * split}
	for i := range split {
		h.Shards = append(h.Shards, u.shard*split+i)
	}
	return h
}
