package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"almondstep"
)

// Range of what a new connection costs.
const (
	leastDialTime = time.Microsecond
	mostDialTime  = 10 * time.Second
)

func (c *checker) checkServices() {
	c.text.Services = list(c, "services", c.text.Services, maxServices)
	earlier := make(map[string]string)
	for i, s := range c.text.Services {
		path := fmt.Sprintf("services/%d", i)
		c.name(path+"/name", "service", string(s.Name), earlier)
		if _, ok := c.seen[s.Name]; !ok {
			c.seen[s.Name] = i
		}
		c.number(path+"/slots", s.Slots, 1, maxSlots)
		c.number(path+"/connections", s.Connections, 1, maxConnections)
		c.number(path+"/serversPerInstance", s.ServersPerInstance, 1, maxServersInInst)
		c.duration(path+"/dialTime", s.DialTime, leastDialTime, mostDialTime)
		c.checkConnections(i)
		c.checkOperations(i)
		c.boundDependencies(i)
	}
}

// checkConnections sees to it that each server of an instance has a connection.
func (c *checker) checkConnections(i int) {
	s := c.text.Services[i]
	if s.Connections < 1 || s.Connections >= s.ServersPerInstance {
		return
	}
	c.add(fmt.Sprintf("services/%d/connections", i), "allow at least one connection a server",
		"%d connections for %d servers", s.Connections, s.ServersPerInstance)
}

func (c *checker) checkOperations(i int) {
	operations := c.text.Services[i].Operations
	path := fmt.Sprintf("services/%d/operations", i)
	if len(operations) > 0 {
		operations = list(c, path, operations, maxOperations)
	}
	earlier := make(map[string]string)
	for j, o := range operations {
		at := fmt.Sprintf("%s/%d/name", path, j)
		c.name(at, "operation", o.Name, earlier)
		if o.Name == searchOperation {
			c.add(at, "choose another name", "every service has the operation %q already", searchOperation)
		}
	}
}

// checkNames sees to it that a name means one service in each scheme.
func (c *checker) checkNames() {
	type use struct {
		scheme almondstep.SchemeName
		name   string
	}
	earlier := make(map[use]almondstep.ServiceName)
	for i, s := range c.text.Services {
		for _, scheme := range slices.Sorted(maps.Keys(s.Names)) {
			name := s.Names[scheme]
			path := fmt.Sprintf("services/%d/names/%s", i, scheme)
			c.checkName(path, scheme, name)
			first, taken := earlier[use{scheme, name}]
			if taken {
				c.add(path, "give one of the two services another name in this scheme",
					"scheme %q calls %q already %q", scheme, first, name)
				continue
			}
			earlier[use{scheme, name}] = s.Name
		}
	}
}

func (c *checker) checkName(path string, scheme almondstep.SchemeName, name string) {
	if !slices.Contains(c.text.Schemes, scheme) {
		c.add(path, "list it under schemes or use one of: "+c.schemes(), "scheme %q doesn't exist", scheme)
	}
	switch {
	case name == "":
		c.add(path, "write the name or remove the scheme", "the name is empty")
	case len(name) > maxNameBytes:
		c.add(path, fmt.Sprintf("shorten it to %d bytes", maxNameBytes), "the name has %d bytes", len(name))
	case strings.ContainsFunc(name, notInName):
		c.add(path, "remove spaces and control characters", "the name %q can't be asked for", name)
	}
}

// notInName finds what callers of the inherited schemes can't send either.
func notInName(r rune) bool {
	const del = 0x7f
	return r <= ' ' || r == del
}

func (c *checker) schemes() string {
	names := make([]string, 0, len(c.text.Schemes))
	for _, s := range c.text.Schemes {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}
