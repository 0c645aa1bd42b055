package querier_test

import (
	"fmt"

	"almondstep"
)

// random is a small seeded generator.
type random struct {
	state uint64
}

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return almondstep.Mix(r.state)
}

// below draws a number from 0 to n-1.
func (r *random) below(n int) int {
	return int(r.next() % uint64(n))
}

// oneIn is true once in n draws.
func (r *random) oneIn(n int) bool {
	return r.below(n) == 0
}

// randomWorlds makes fleets of two services, and for each a few views that a
// session may move among: versions and partitionings come and go, upstreams
// leave, zones go out, owners change, a request is quarantined.
func randomWorlds() [][]*almondstep.View {
	const worlds, views = 64, 5
	r := &random{state: 42}
	all := make([][]*almondstep.View, worlds)
	for i := range all {
		base := randomFleet(r)
		for range views {
			all[i] = append(all[i], disturb(r, base).view())
		}
	}
	return all
}

func randomFleet(r *random) *fleet {
	f := &fleet{Text: deskText(), Zone: "a"}
	f.Text.Services = append(f.Text.Services, almondstep.ServiceConfig{
		Name: "store", Names: map[almondstep.SchemeName]string{"plant": "store"}, DialTime: "1ms",
	})
	f.Text.Services[0].DependsOn = []almondstep.ServiceName{"store"}
	for _, s := range []almondstep.ServiceName{"desk", "store"} {
		shards := 1 + r.below(5)
		for c := range 1 + r.below(3) {
			for i := range shards {
				f.Servers = append(f.Servers, randomServer(r, s, c, i, shards))
			}
		}
	}
	return f
}

func randomServer(r *random, s almondstep.ServiceName, c, i, shards int) server {
	sv := server{
		Addr:    almondstep.Address(fmt.Sprintf("%s%d-%d", s, i, c)),
		Service: s,
		Zone:    []almondstep.ZoneName{"a", "b"}[r.below(2)],
		Owner:   almondstep.DaemonID(fmt.Sprintf("o%d", r.below(3))),
	}
	held := []uint32{uint32(i)}
	sv.Holdings = []almondstep.Holding{{Version: 7, Of: uint32(shards), Shards: held}}
	if r.oneIn(2) {
		sv.Holdings = append([]almondstep.Holding{{Version: 8, Of: uint32(shards), Shards: held}}, sv.Holdings...)
	}
	return sv
}

// disturb gives the same fleet at another moment.
func disturb(r *random, base *fleet) *fleet {
	f := *base
	f.Servers = make([]server, len(base.Servers))
	copy(f.Servers, base.Servers)
	for i := range f.Servers {
		s := &f.Servers[i]
		if r.oneIn(6) {
			s.Temperature = []string{"cold", "leaving", "lost"}[r.below(3)]
		}
		if r.oneIn(6) {
			s.Owner = []almondstep.DaemonID{"", self, "o3"}[r.below(3)]
		}
		if r.oneIn(5) {
			h := s.Holdings[0]
			h.Version++
			s.Holdings = []almondstep.Holding{h}
		}
	}
	if r.oneIn(5) {
		f.Text.Zones = []almondstep.ZoneConfig{{Name: "a"}, {Name: "b", Drained: true}}
	}
	if r.oneIn(8) {
		f.Quarantined = []almondstep.Fingerprint{0}
	}
	return &f
}
