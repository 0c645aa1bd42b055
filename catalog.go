package almondstep

import (
	"time"

	"github.com/cockroachdb/errors"
)

// CatalogConfig is the decoded configuration before validation. Durations are
// written like "40ms".
type CatalogConfig struct {
	Schemes  []SchemeName    `json:"schemes"`
	Zones    []ZoneConfig    `json:"zones"`
	Classes  []ClassConfig   `json:"classes"`
	Tenants  []TenantConfig  `json:"tenants"`
	Services []ServiceConfig `json:"services"`
}

// ZoneConfig is one availability zone in the configuration.
type ZoneConfig struct {
	Name   ZoneName `json:"name"`
	Region string   `json:"region"`
	// Drained takes the zone out of service.
	Drained bool `json:"out,omitempty"`
}

// ClassConfig is one class of requests in the configuration.
type ClassConfig struct {
	Name ClassName `json:"name"`
	// Priority orders classes under overload; 0 is served first.
	Priority int `json:"priority"`
	// SoftDeadline is the time after which an answer of at least MinCoverage is
	// returned. If empty, the answer waits for full coverage or the hard deadline.
	SoftDeadline string `json:"softDeadline,omitempty"`
	// HardDeadline is the time after which the answer is returned whatever its
	// coverage.
	HardDeadline string `json:"hardDeadline"`
	// MinCoverage is the fraction of the shards, 0 to 1, that an answer at the soft
	// deadline needs.
	MinCoverage float64 `json:"leastCoverage,omitempty"`
}

// TenantConfig is one tenant in the configuration.
type TenantConfig struct {
	Name TenantName `json:"name"`
	// Share is the tenant's weight under overload, 1 to 1000.
	Share int `json:"share"`
	// MaxOpen is the maximum number of the tenant's open queries at one daemon.
	MaxOpen int `json:"maxOpen"`
}

// ServiceConfig is one service in the configuration.
type ServiceConfig struct {
	Name ServiceName `json:"name"`
	// Names maps each scheme to the service's name in it.
	Names map[SchemeName]string `json:"names"`
	// DependsOn lists the services whose records a search of this service also
	// covers.
	DependsOn []ServiceName `json:"dependsOn,omitempty"`
	// Slots is the maximum number of concurrent requests of one server.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections one instance accepts.
	Connections int `json:"connections"`
	// ServersPerInstance is the number of servers that share an instance's
	// connections.
	ServersPerInstance int `json:"serversPerInstance"`
	// DialTime is the time it takes to open a connection.
	DialTime string `json:"dialTime"`
	// Operations lists the operations that callers may request besides search.
	Operations []OperationConfig `json:"operations,omitempty"`
}

// OperationConfig is an operation of a service besides search.
type OperationConfig struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
}

// Catalog is the validated and indexed configuration. It is immutable. Package
// parser validates the configuration before it creates the catalog.
type Catalog struct {
	config   CatalogConfig
	services map[ServiceName]Service
	byName   map[SchemeName]map[string]ServiceName
	zones    map[ZoneName]ZoneConfig
	classes  map[ClassName]Class
	tenants  map[TenantName]TenantConfig
}

// Service is one service of a catalog.
type Service struct {
	config   ServiceConfig
	dialTime time.Duration
	closure  []ServiceName
}

// Class is one class of requests of a catalog.
type Class struct {
	config ClassConfig
	soft   time.Duration
	hard   time.Duration
}

// NewCatalog indexes a configuration that package parser has validated. It returns
// ErrInvalid if a duration doesn't parse, or a scheme or a dependency doesn't exist.
func NewCatalog(config CatalogConfig) (*Catalog, error) {
	c := &Catalog{
		config:   config,
		services: make(map[ServiceName]Service, len(config.Services)),
		byName:   make(map[SchemeName]map[string]ServiceName, len(config.Schemes)),
		zones:    make(map[ZoneName]ZoneConfig, len(config.Zones)),
		classes:  make(map[ClassName]Class, len(config.Classes)),
		tenants:  make(map[TenantName]TenantConfig, len(config.Tenants)),
	}
	c.indexTables()
	if err := c.indexClasses(); err != nil {
		return nil, err
	}
	if err := c.indexServices(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Catalog) indexTables() {
	for _, z := range c.config.Zones {
		c.zones[z.Name] = z
	}
	for _, t := range c.config.Tenants {
		c.tenants[t.Name] = t
	}
	for _, s := range c.config.Schemes {
		c.byName[s] = make(map[string]ServiceName, len(c.config.Services))
	}
}

func (c *Catalog) indexClasses() error {
	for _, t := range c.config.Classes {
		hard, err := time.ParseDuration(t.HardDeadline)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "class %q: hardDeadline: %v", t.Name, err)
		}
		soft := hard
		if t.SoftDeadline != "" {
			soft, err = time.ParseDuration(t.SoftDeadline)
			if err != nil {
				return errors.Wrapf(ErrInvalid, "class %q: softDeadline: %v", t.Name, err)
			}
		}
		c.classes[t.Name] = Class{config: t, soft: soft, hard: hard}
	}
	return nil
}

func (c *Catalog) indexServices() error {
	for _, t := range c.config.Services {
		dial, err := time.ParseDuration(t.DialTime)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "service %q: dialTime: %v", t.Name, err)
		}
		c.services[t.Name] = Service{config: t, dialTime: dial}
		for scheme, name := range t.Names {
			if c.byName[scheme] == nil {
				return errors.Wrapf(ErrInvalid, "service %q: scheme %q doesn't exist", t.Name, scheme)
			}
			c.byName[scheme][name] = t.Name
		}
	}
	for _, t := range c.config.Services {
		closure, err := c.closureOf(t.Name)
		if err != nil {
			return err
		}
		s := c.services[t.Name]
		s.closure = closure
		c.services[t.Name] = s
	}
	return nil
}

// closureOf returns the service and its transitive dependencies in breadth-first
// order, each of them once.
func (c *Catalog) closureOf(name ServiceName) ([]ServiceName, error) {
	closure := []ServiceName{name}
	seen := map[ServiceName]bool{name: true}
	for i := 0; i < len(closure); i++ {
		for _, d := range c.services[closure[i]].config.DependsOn {
			if _, ok := c.services[d]; !ok {
				return nil, errors.Wrapf(ErrInvalid, "service %q depends on %q, which doesn't exist", closure[i], d)
			}
			if !seen[d] {
				seen[d] = true
				closure = append(closure, d)
			}
		}
	}
	return closure, nil
}

// Config returns the configuration the catalog was created from. The caller must
// not change it.
func (c *Catalog) Config() CatalogConfig { return c.config }

// Service looks up a service by its canonical name.
func (c *Catalog) Service(name ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Lookup returns the canonical name of the service that is called name in scheme.
func (c *Catalog) Lookup(scheme SchemeName, name string) (ServiceName, bool) {
	s, ok := c.byName[scheme][name]
	return s, ok
}

// Schemes lists the naming schemes in the order of the configuration. The caller
// must not change it.
func (c *Catalog) Schemes() []SchemeName { return c.config.Schemes }

// Zone looks up an availability zone.
func (c *Catalog) Zone(name ZoneName) (ZoneConfig, bool) {
	z, ok := c.zones[name]
	return z, ok
}

// ZoneDrained reports whether operators have drained the zone. It is false for an
// unknown zone.
func (c *Catalog) ZoneDrained(name ZoneName) bool { return c.zones[name].Drained }

// Class looks up a class of requests.
func (c *Catalog) Class(name ClassName) (Class, bool) {
	cl, ok := c.classes[name]
	return cl, ok
}

// Tenant looks up a tenant.
func (c *Catalog) Tenant(name TenantName) (TenantConfig, bool) {
	t, ok := c.tenants[name]
	return t, ok
}

// Name is the service's canonical name.
func (s Service) Name() ServiceName { return s.config.Name }

// Names maps each scheme to the service's name in it. The caller must not change it.
func (s Service) Names() map[SchemeName]string { return s.config.Names }

// DependsOn lists the service's direct dependencies.
func (s Service) DependsOn() []ServiceName { return s.config.DependsOn }

// Closure lists the service and its transitive dependencies; the service itself
// comes first.
func (s Service) Closure() []ServiceName { return s.closure }

// Slots is the maximum number of concurrent requests of one server.
func (s Service) Slots() int { return s.config.Slots }

// Connections is one server's share of its instance's connections, at least 1.
func (s Service) Connections() int {
	return max(1, s.config.Connections/max(1, s.config.ServersPerInstance))
}

// DialTime is the time it takes to open a connection.
func (s Service) DialTime() time.Duration { return s.dialTime }

// Operation looks up an operation other than search.
func (s Service) Operation(name string) (OperationConfig, bool) {
	for _, o := range s.config.Operations {
		if o.Name == name {
			return o, true
		}
	}
	return OperationConfig{}, false
}

// Name is the class's name.
func (c Class) Name() ClassName { return c.config.Name }

// Priority orders classes under overload; 0 is served first.
func (c Class) Priority() int { return c.config.Priority }

// SoftDeadline is the time after which an answer of at least MinCoverage is
// returned. It is the hard deadline if the configuration sets none.
func (c Class) SoftDeadline() time.Duration { return c.soft }

// HardDeadline is the time after which the answer is returned whatever its
// coverage.
func (c Class) HardDeadline() time.Duration { return c.hard }

// MinCoverage is the fraction of the shards, 0 to 1, that an answer at the soft
// deadline needs.
func (c Class) MinCoverage() float64 { return c.config.MinCoverage }
