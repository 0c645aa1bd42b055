package querier_test

import (
	"fmt"
	"time"

	"almondstep"
)

// fleet describes a view for tests: which servers hold which shards, and their
// owners.
type fleet struct {
	Config      almondstep.CatalogConfig `json:"text"`
	Zone        almondstep.ZoneName      `json:"zone"`
	Servers     []server                 `json:"servers"`
	Quarantined []almondstep.Fingerprint `json:"quarantined,omitempty"`
}

// server is one upstream of a test fleet.
type server struct {
	Addr        almondstep.Address     `json:"addr"`
	Service     almondstep.ServiceName `json:"service"`
	Zone        almondstep.ZoneName    `json:"zone"`
	Owner       almondstep.DaemonID    `json:"owner"`
	Temperature string                 `json:"temperature,omitempty"`
	Holdings    []almondstep.Holding   `json:"holdings"`
}

const self = almondstep.DaemonID("entry")

// temperatures maps the names used in fleets; the empty one is warm.
var temperatures = map[string]almondstep.Temperature{
	"":        almondstep.Warm,
	"warm":    almondstep.Warm,
	"cold":    almondstep.Cold,
	"leaving": almondstep.Leaving,
	"lost":    almondstep.Lost,
}

// placementKey is one version and partitioning of one service.
type placementKey struct {
	service almondstep.ServiceName
	version almondstep.Version
	of      uint32
}

// view returns the view that the control thread would build of the fleet.
func (f *fleet) view() *almondstep.View {
	catalog, err := almondstep.NewCatalog(f.Config)
	if err != nil {
		panic(err)
	}
	peers := map[almondstep.DaemonID]almondstep.Address{}
	replicas := map[placementKey][][]almondstep.Replica{}
	var keys []placementKey
	for _, s := range f.Servers {
		if s.Owner != "" && s.Owner != self {
			peers[s.Owner] = almondstep.Address(s.Owner)
		}
		for _, h := range s.Holdings {
			k := placementKey{service: s.Service, version: h.Version, of: h.Of}
			if replicas[k] == nil {
				replicas[k] = make([][]almondstep.Replica, h.Of)
				keys = append(keys, k)
			}
			for _, shard := range h.Shards {
				replicas[k][shard] = append(replicas[k][shard], f.replica(s))
			}
		}
	}
	placements := map[almondstep.ServiceName][]almondstep.Placement{}
	for _, k := range keys {
		placements[k.service] = append(placements[k.service], almondstep.NewPlacement(k.version, k.of, replicas[k]))
	}
	quarantined := map[almondstep.Fingerprint]struct{}{}
	for _, q := range f.Quarantined {
		quarantined[q] = struct{}{}
	}
	return almondstep.NewView(almondstep.ViewSpec{
		Self:        self,
		Zone:        f.Zone,
		Revision:    1,
		Catalog:     catalog,
		Placements:  placements,
		Quarantined: quarantined,
		Peers:       peers,
	})
}

func (f *fleet) replica(s server) almondstep.Replica {
	distance := time.Millisecond
	if s.Zone != f.Zone {
		distance = 20 * time.Millisecond
	}
	return almondstep.NewReplica(s.Addr, s.Zone, s.Owner, temperatures[s.Temperature], distance)
}

// deskConfig returns a configuration with one service, two classes and two tenants.
func deskConfig() almondstep.CatalogConfig {
	return almondstep.CatalogConfig{
		Schemes: []almondstep.SchemeName{"plant"},
		Zones:   []almondstep.ZoneConfig{{Name: "a"}, {Name: "b"}},
		Classes: []almondstep.ClassConfig{
			{Name: "urgent", SoftDeadline: "40ms", HardDeadline: "200ms", MinCoverage: 0.5},
			{Name: "routine", Priority: 1, HardDeadline: "400ms"},
		},
		Tenants: []almondstep.TenantConfig{
			{Name: "growers", Share: 1, MaxOpen: 10_000},
			{Name: "kitchens", Share: 1, MaxOpen: 10_000},
		},
		Services: []almondstep.ServiceConfig{{
			Name:     "desk",
			Names:    map[almondstep.SchemeName]string{"plant": "desk"},
			DialTime: "6ms",
			Operations: []almondstep.OperationConfig{
				{Name: "enter"},
				{Name: "touch", Idempotent: true},
			},
		}},
	}
}

// deskFleet returns a fleet with copies servers for each shard of one service;
// the servers of a shard have different owners if there are enough.
func deskFleet(shards, owners, copies int) *fleet {
	f := &fleet{Config: deskConfig(), Zone: "a"}
	for c := range copies {
		for i := range shards {
			f.Servers = append(f.Servers, server{
				Addr:     almondstep.Address(fmt.Sprintf("s%d-%d", i, c)),
				Service:  "desk",
				Zone:     "a",
				Owner:    almondstep.DaemonID(fmt.Sprintf("o%d", (i+c)%owners)),
				Holdings: []almondstep.Holding{{Version: 7, Of: uint32(shards), Shards: []uint32{uint32(i)}}},
			})
		}
	}
	return f
}
