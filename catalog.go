package almondstep

import (
	"time"

	"github.com/cockroachdb/errors"
)

// CatalogConfig is the operators' text after decoding, before it is checked.
// Durations are written like "40ms".
type CatalogConfig struct {
	Schemes  []SchemeName    `json:"schemes"`
	Zones    []ZoneConfig    `json:"zones"`
	Classes  []ClassConfig   `json:"classes"`
	Tenants  []TenantConfig  `json:"tenants"`
	Services []ServiceConfig `json:"services"`
}

// ZoneConfig is one availability zone in the operators' text.
type ZoneConfig struct {
	Name   ZoneName `json:"name"`
	Region string   `json:"region"`
	// Drained takes the zone out of service.
	Drained bool `json:"out,omitempty"`
}

// ClassConfig is one class of requests in the operators' text.
type ClassConfig struct {
	Name ClassName `json:"name"`
	// Priority orders classes under overload; 0 is served first.
	Priority int `json:"priority"`
	// SoftDeadline is when an answer of at least MinCoverage is given; empty waits for full coverage.
	SoftDeadline string `json:"softDeadline,omitempty"`
	// HardDeadline is when the answer is given whatever its coverage.
	HardDeadline string `json:"hardDeadline"`
	// MinCoverage is the part of the shards, 0 to 1, that a soft deadline needs.
	MinCoverage float64 `json:"leastCoverage,omitempty"`
}

// TenantConfig is one tenant in the operators' text.
type TenantConfig struct {
	Name TenantName `json:"name"`
	// Share is the tenant's weight under overload, 1 to 1000.
	Share int `json:"share"`
	// MaxOpen bounds the tenant's open queries at one daemon.
	MaxOpen int `json:"maxOpen"`
}

// ServiceConfig is one service in the operators' text.
type ServiceConfig struct {
	Name ServiceName `json:"name"`
	// Names has the service's name in each scheme.
	Names map[SchemeName]string `json:"names"`
	// DependsOn lists the services whose records a search here also covers.
	DependsOn []ServiceName `json:"dependsOn,omitempty"`
	// Slots is the number of requests one server runs at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections one instance accepts.
	Connections int `json:"connections"`
	// ServersPerInstance shares an instance's connections.
	ServersPerInstance int `json:"serversPerInstance"`
	// DialTime is what a new connection costs.
	DialTime string `json:"dialTime"`
	// Operations lists what callers may ask besides search.
	Operations []OperationConfig `json:"operations,omitempty"`
}

// OperationConfig is an operation of a service besides search.
type OperationConfig struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
}

// Catalog is a checked operators' text. It is immutable. Package parser makes
// it and has checked everything NewCatalog relies on.
type Catalog struct {
	text     CatalogConfig
	services map[ServiceName]Service
	byName   map[SchemeName]map[string]ServiceName
	zones    map[ZoneName]ZoneConfig
	classes  map[ClassName]Class
	tenants  map[TenantName]TenantConfig
}

// Service is one service of a catalog.
type Service struct {
	text     ServiceConfig
	dialTime time.Duration
	closure  []ServiceName
}

// Class is one class of requests of a catalog.
type Class struct {
	text ClassConfig
	soft time.Duration
	hard time.Duration
}

// NewCatalog indexes a text that package parser has found sound. It returns
// ErrInvalid if a duration doesn't parse or a dependency doesn't exist.
func NewCatalog(text CatalogConfig) (*Catalog, error) {
	c := &Catalog{
		text:     text,
		services: make(map[ServiceName]Service, len(text.Services)),
		byName:   make(map[SchemeName]map[string]ServiceName, len(text.Schemes)),
		zones:    make(map[ZoneName]ZoneConfig, len(text.Zones)),
		classes:  make(map[ClassName]Class, len(text.Classes)),
		tenants:  make(map[TenantName]TenantConfig, len(text.Tenants)),
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
	for _, z := range c.text.Zones {
		c.zones[z.Name] = z
	}
	for _, t := range c.text.Tenants {
		c.tenants[t.Name] = t
	}
	for _, s := range c.text.Schemes {
		c.byName[s] = make(map[string]ServiceName, len(c.text.Services))
	}
}

func (c *Catalog) indexClasses() error {
	for _, t := range c.text.Classes {
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
		c.classes[t.Name] = Class{text: t, soft: soft, hard: hard}
	}
	return nil
}

func (c *Catalog) indexServices() error {
	for _, t := range c.text.Services {
		dial, err := time.ParseDuration(t.DialTime)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "service %q: dialTime: %v", t.Name, err)
		}
		c.services[t.Name] = Service{text: t, dialTime: dial}
		for scheme, name := range t.Names {
			if c.byName[scheme] == nil {
				return errors.Wrapf(ErrInvalid, "service %q: scheme %q doesn't exist", t.Name, scheme)
			}
			c.byName[scheme][name] = t.Name
		}
	}
	for _, t := range c.text.Services {
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

// closureOf walks the dependencies breadth first, so the service itself comes
// first. A service reached twice is listed once.
func (c *Catalog) closureOf(name ServiceName) ([]ServiceName, error) {
	closure := []ServiceName{name}
	seen := map[ServiceName]bool{name: true}
	for i := 0; i < len(closure); i++ {
		for _, d := range c.services[closure[i]].text.DependsOn {
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

// Config gives the text the catalog was made from. The caller must not change it.
func (c *Catalog) Config() CatalogConfig { return c.text }

// Service finds a service by its canonical name.
func (c *Catalog) Service(name ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Lookup finds the service that scheme calls name.
func (c *Catalog) Lookup(scheme SchemeName, name string) (ServiceName, bool) {
	s, ok := c.byName[scheme][name]
	return s, ok
}

// Schemes lists the naming schemes in the order of the text.
func (c *Catalog) Schemes() []SchemeName { return c.text.Schemes }

// Zone finds an availability zone.
func (c *Catalog) Zone(name ZoneName) (ZoneConfig, bool) {
	z, ok := c.zones[name]
	return z, ok
}

// ZoneDrained says whether operators have taken the zone out. An unknown zone is
// not out.
func (c *Catalog) ZoneDrained(name ZoneName) bool { return c.zones[name].Drained }

// Class finds a class of requests.
func (c *Catalog) Class(name ClassName) (Class, bool) {
	cl, ok := c.classes[name]
	return cl, ok
}

// Tenant finds a tenant.
func (c *Catalog) Tenant(name TenantName) (TenantConfig, bool) {
	t, ok := c.tenants[name]
	return t, ok
}

// Name is the canonical name.
func (s Service) Name() ServiceName { return s.text.Name }

// Names has the service's name in each scheme. The caller must not change it.
func (s Service) Names() map[SchemeName]string { return s.text.Names }

// DependsOn lists the direct dependencies.
func (s Service) DependsOn() []ServiceName { return s.text.DependsOn }

// Closure lists the service and all it depends on, directly or not; the
// service itself comes first.
func (s Service) Closure() []ServiceName { return s.closure }

// Slots is the number of requests one server runs at a time.
func (s Service) Slots() int { return s.text.Slots }

// Connections is one server's part of its instance's connections, at least 1.
func (s Service) Connections() int {
	return max(1, s.text.Connections/max(1, s.text.ServersPerInstance))
}

// DialTime is what a new connection costs.
func (s Service) DialTime() time.Duration { return s.dialTime }

// Operation finds an operation besides search.
func (s Service) Operation(name string) (OperationConfig, bool) {
	for _, o := range s.text.Operations {
		if o.Name == name {
			return o, true
		}
	}
	return OperationConfig{}, false
}

// Name is the class's name.
func (c Class) Name() ClassName { return c.text.Name }

// Priority orders classes under overload; 0 is served first.
func (c Class) Priority() int { return c.text.Priority }

// SoftDeadline is when an answer of at least MinCoverage is given. It is the
// hard deadline where the text gives none.
func (c Class) SoftDeadline() time.Duration { return c.soft }

// HardDeadline is when the answer is given whatever its coverage.
func (c Class) HardDeadline() time.Duration { return c.hard }

// MinCoverage is the part of the shards, 0 to 1, that a soft deadline needs.
func (c Class) MinCoverage() float64 { return c.text.MinCoverage }
