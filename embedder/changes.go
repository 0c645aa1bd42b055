package embedder

import (
	"time"

	"almondstep"
)

// Lose ends upstreams for good, as VMs that fail do. The platform's list goes
// on showing them.
func (s *Set) Lose(which func(u *Upstream) bool) int {
	n := 0
	for _, u := range s.upstreams {
		if which(u) {
			u.Close()
			n++
		}
	}
	return n
}

// Restart starts upstreams anew; they refuse connections for downtime and are
// cold after it.
func (s *Set) Restart(downtime time.Duration, which func(u *Upstream) bool) int {
	n := 0
	for _, u := range s.upstreams {
		if which(u) {
			u.Restart(downtime)
			n++
		}
	}
	return n
}

// Roll gives upstreams a newer version beside the one they serve, one upstream
// after the other, and then takes the older one away. With split above 1, the
// newer version has each shard cut in split parts, so that the records are
// repartitioned. The platform's list is brought up to date in a few steps.
func (s *Set) Roll(to almondstep.Version, split uint32, over time.Duration) {
	const listSteps = 8
	phases := []func(u *Upstream) []almondstep.Holding{
		func(u *Upstream) []almondstep.Holding {
			return append([]almondstep.Holding{u.holdingAt(to, split)}, u.vm.Holdings...)
		},
		func(u *Upstream) []almondstep.Holding {
			return []almondstep.Holding{u.holdingAt(to, split)}
		},
	}
	pause := over / time.Duration(len(phases)*listSteps)
	for _, phase := range phases {
		for step := range listSteps {
			for i := step; i < len(s.upstreams); i += listSteps {
				u := s.upstreams[i]
				u.vm.Holdings = phase(u)
				u.SetHoldings(u.vm.Holdings)
			}
			s.List()
			time.Sleep(pause)
		}
	}
}

// holdingAt is what the upstream serves at a version whose shards are cut in
// split parts.
//
// Example: shard 3 of 20 cut in 2 parts is shards 6 and 7 of 40.
func (u *Upstream) holdingAt(version almondstep.Version, split uint32) almondstep.Holding {
	h := almondstep.Holding{Version: version, Of: u.of * split}
	for i := range split {
		h.Shards = append(h.Shards, u.shard*split+i)
	}
	return h
}
