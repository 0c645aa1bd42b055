package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"almondstep"
)

// Range of a service's dialTime, the time to open a connection.
const (
	minDialTime = time.Microsecond
	maxDialTime = 10 * time.Second
)

func (c *checker) checkServices() {
	c.text.Services = checkList(c, "services", c.text.Services, maxServices)
	earlier := make(map[string]string)
	for i, s := range c.text.Services {
		path := fmt.Sprintf("services/%d", i)
		c.checkNewName(path+"/name", "service", string(s.Name), earlier)
		if _, ok := c.serviceIndex[s.Name]; !ok {
			c.serviceIndex[s.Name] = i
		}
		c.checkNumber(path+"/slots", s.Slots, 1, maxSlots)
		c.checkNumber(path+"/connections", s.Connections, 1, maxConnections)
		c.checkNumber(path+"/serversPerInstance", s.ServersPerInstance, 1, maxServersPerInstance)
		c.checkDuration(path+"/dialTime", s.DialTime, minDialTime, maxDialTime)
		c.checkConnections(i)
		c.checkOperations(i)
		c.limitDependencies(i)
	}
}

// checkConnections checks that there is at least one connection for each server
// of an instance.
func (c *checker) checkConnections(i int) {
	s := c.text.Services[i]
	if s.Connections < 1 || s.Connections >= s.ServersPerInstance {
		return
	}
	c.add(fmt.Sprintf("services/%d/connections", i), "allow at least one connection per server",
		"%d connections for %d servers", s.Connections, s.ServersPerInstance)
}

func (c *checker) checkOperations(i int) {
	operations := c.text.Services[i].Operations
	path := fmt.Sprintf("services/%d/operations", i)
	if len(operations) > 0 {
		operations = checkList(c, path, operations, maxOperations)
	}
	earlier := make(map[string]string)
	for j, o := range operations {
		at := fmt.Sprintf("%s/%d/name", path, j)
		c.checkNewName(at, "operation", o.Name, earlier)
		if o.Name == searchOperation {
			c.add(at, "choose another name", "every service has the operation %q already", searchOperation)
		}
	}
}

// checkNames checks the names of all services in the schemes, and that no name refers
// to two services of a scheme.
func (c *checker) checkNames() {
	type nameKey struct {
		scheme almondstep.SchemeName
		name   string
	}
	earlier := make(map[nameKey]almondstep.ServiceName)
	for i, s := range c.text.Services {
		for _, scheme := range slices.Sorted(maps.Keys(s.Names)) {
			name := s.Names[scheme]
			path := fmt.Sprintf("services/%d/names/%s", i, scheme)
			c.checkName(path, scheme, name)
			first, taken := earlier[nameKey{scheme, name}]
			if taken {
				c.add(path, "give one of the two services another name in this scheme",
					"scheme %q calls %q already %q", scheme, first, name)
				continue
			}
			earlier[nameKey{scheme, name}] = s.Name
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
	case strings.ContainsFunc(name, forbiddenInName):
		c.add(path, "remove spaces and control characters", "the name %q contains a space or a control character", name)
	}
}

// forbiddenInName reports whether a name can't contain r. Callers of the inherited
// schemes can't send these characters either.
func forbiddenInName(r rune) bool {
	const del = 0x7f
	return r <= ' ' || r == del
}

// schemes lists the configured schemes for a remedy.
func (c *checker) schemes() string {
	names := make([]string, 0, len(c.text.Schemes))
	for _, s := range c.text.Schemes {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}
