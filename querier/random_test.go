package querier_test

import (
	"fmt"

	"almondstep"
)

// random is a small seeded random generator.
type random struct {
	state uint64
}

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return almondstep.HashUint64(r.state)
}

// intN returns a random number from 0 to n-1.
func (r *random) intN(n int) int {
	return int(r.next() % uint64(n))
}

// oneIn returns true with a probability of 1/n.
func (r *random) oneIn(n int) bool {
	return r.intN(n) == 0
}

// randomViewSets generates fleets of two services, and for each fleet a few views
// that a session may switch between: versions change, upstreams leave, become cold
// or are lost, zones are drained, owners change, a request is quarantined. All views
// of a fleet have the same partitioning; only the golden session repartition changes
// it while a query is open.
func randomViewSets() [][]*almondstep.View {
	const fleets, views = 64, 5
	r := &random{state: 42}
	all := make([][]*almondstep.View, fleets)
	for i := range all {
		base := randomFleet(r)
		for range views {
			all[i] = append(all[i], perturb(r, base).view())
		}
	}
	return all
}

// randomFleet returns a fleet of two services, one of which depends on the other.
func randomFleet(r *random) *fleet {
	f := &fleet{Config: deskConfig(), Zone: "a"}
	f.Config.Services = append(f.Config.Services, almondstep.ServiceConfig{
		Name: "store", Names: map[almondstep.SchemeName]string{"plant": "store"}, DialTime: "1ms",
	})
	f.Config.Services[0].DependsOn = []almondstep.ServiceName{"store"}
	for _, s := range []almondstep.ServiceName{"desk", "store"} {
		shards := 1 + r.intN(5)
		for c := range 1 + r.intN(3) {
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
		Zone:    []almondstep.ZoneName{"a", "b"}[r.intN(2)],
		Owner:   almondstep.DaemonID(fmt.Sprintf("o%d", r.intN(3))),
	}
	held := []uint32{uint32(i)}
	sv.Holdings = []almondstep.Holding{{Version: 7, Of: uint32(shards), Shards: held}}
	if r.oneIn(2) {
		sv.Holdings = append([]almondstep.Holding{{Version: 8, Of: uint32(shards), Shards: held}}, sv.Holdings...)
	}
	return sv
}

// perturb returns a variant of a fleet with random changes.
func perturb(r *random, base *fleet) *fleet {
	f := *base
	f.Servers = make([]server, len(base.Servers))
	copy(f.Servers, base.Servers)
	for i := range f.Servers {
		s := &f.Servers[i]
		if r.oneIn(6) {
			s.Temperature = []string{"cold", "leaving", "lost"}[r.intN(3)]
		}
		if r.oneIn(6) {
			s.Owner = []almondstep.DaemonID{"", self, "o3"}[r.intN(3)]
		}
		if r.oneIn(5) {
			h := s.Holdings[0]
			h.Version++
			s.Holdings = []almondstep.Holding{h}
		}
	}
	if r.oneIn(5) {
		f.Config.Zones = []almondstep.ZoneConfig{{Name: "a"}, {Name: "b", Drained: true}}
	}
	if r.oneIn(8) {
		f.Quarantined = []almondstep.Fingerprint{0}
	}
	return &f
}
