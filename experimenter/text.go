package experimenter

import (
	"encoding/json"
	"time"

	"almondstep"
)

const (
	serviceName = almondstep.ServiceName("lots")
	schemeName  = almondstep.SchemeName("plain")
	searchText  = "walnut"

	slotsPerServer       = 2
	connectionsPerServer = 12
)

// catalogConfig returns the configuration of a run, with the last zone drained or
// not.
func (s *Scenario) catalogConfig(lastZoneDrained bool) ([]byte, error) {
	t := almondstep.CatalogConfig{
		Schemes: []almondstep.SchemeName{schemeName},
		Classes: []almondstep.ClassConfig{
			{Name: "urgent", Priority: 0, SoftDeadline: "53ms", HardDeadline: "250ms", MinCoverage: 0.99},
			{Name: "routine", Priority: 1, HardDeadline: "1s"},
		},
		Tenants: []almondstep.TenantConfig{{Name: "growers", Share: 1, MaxOpen: 100_000}},
		Services: []almondstep.ServiceConfig{{
			Name:               serviceName,
			Names:              map[almondstep.SchemeName]string{schemeName: string(serviceName)},
			Slots:              slotsPerServer,
			Connections:        connectionsPerServer,
			ServersPerInstance: 1,
			DialTime:           time.Millisecond.String(),
		}},
	}
	for i := range s.config.Zones {
		t.Zones = append(t.Zones, almondstep.ZoneConfig{
			Name:    zoneName(i),
			Region:  "region",
			Drained: lastZoneDrained && i == s.config.Zones-1,
		})
	}
	return json.MarshalIndent(t, "", "  ")
}
