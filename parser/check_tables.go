package parser

import (
	"fmt"
	"time"
)

// Ranges of a class's deadlines.
const (
	leastDeadline = time.Millisecond
	mostDeadline  = time.Minute
)

func (c *checker) checkSchemes() {
	c.text.Schemes = list(c, "schemes", c.text.Schemes, maxSchemes)
	earlier := make(map[string]string)
	for i, s := range c.text.Schemes {
		c.name(fmt.Sprintf("schemes/%d", i), "scheme", string(s), earlier)
	}
}

func (c *checker) checkZones() {
	c.text.Zones = list(c, "zones", c.text.Zones, maxZones)
	earlier := make(map[string]string)
	out := 0
	for i, z := range c.text.Zones {
		path := fmt.Sprintf("zones/%d", i)
		c.name(path+"/name", "zone", string(z.Name), earlier)
		if z.Region == "" {
			c.add(path+"/region", "name the region the zone is in", "zone %q has no region", z.Name)
		}
		if z.Drained {
			out++
		}
	}
	if out > 0 && out == len(c.text.Zones) {
		c.add("zones", "leave at least one zone in service", "every zone is out")
	}
}

func (c *checker) checkClasses() {
	c.text.Classes = list(c, "classes", c.text.Classes, maxClasses)
	earlier := make(map[string]string)
	for i, t := range c.text.Classes {
		path := fmt.Sprintf("classes/%d", i)
		c.name(path+"/name", "class", string(t.Name), earlier)
		c.number(path+"/priority", t.Priority, 0, maxPriority)
		c.checkDeadlines(i)
	}
}

func (c *checker) checkDeadlines(i int) {
	path := fmt.Sprintf("classes/%d", i)
	t := c.text.Classes[i]
	hard := c.duration(path+"/hardDeadline", t.HardDeadline, leastDeadline, mostDeadline)
	if t.MinCoverage < 0 || t.MinCoverage > 1 {
		c.add(path+"/leastCoverage", "give a part from 0 to 1", "leastCoverage is %g", t.MinCoverage)
	}
	if !c.places.Has(path + "/softDeadline") {
		if t.MinCoverage > 0 {
			c.add(path+"/leastCoverage", "add a softDeadline or remove leastCoverage",
				"leastCoverage has no effect without a softDeadline")
		}
		return
	}
	soft := c.duration(path+"/softDeadline", t.SoftDeadline, leastDeadline, mostDeadline)
	if hard > 0 && soft > hard {
		c.add(path+"/softDeadline", "make it at most the hardDeadline",
			"softDeadline %s is after the hardDeadline %s", soft, hard)
	}
}

func (c *checker) checkTenants() {
	c.text.Tenants = list(c, "tenants", c.text.Tenants, maxTenants)
	earlier := make(map[string]string)
	for i, t := range c.text.Tenants {
		path := fmt.Sprintf("tenants/%d", i)
		c.name(path+"/name", "tenant", string(t.Name), earlier)
		c.number(path+"/share", t.Share, 1, maxShare)
		c.number(path+"/maxOpen", t.MaxOpen, 1, maxOpenQueries)
	}
}
