package parser

import (
	"fmt"
	"time"
)

// Range of a class's deadlines.
const (
	minDeadline = time.Millisecond
	maxDeadline = time.Minute
)

func (c *checker) checkSchemes() {
	c.text.Schemes = checkList(c, "schemes", c.text.Schemes, maxSchemes)
	earlier := make(map[string]string)
	for i, s := range c.text.Schemes {
		c.checkNewName(fmt.Sprintf("schemes/%d", i), "scheme", string(s), earlier)
	}
}

func (c *checker) checkZones() {
	c.text.Zones = checkList(c, "zones", c.text.Zones, maxZones)
	earlier := make(map[string]string)
	drained := 0
	for i, z := range c.text.Zones {
		path := fmt.Sprintf("zones/%d", i)
		c.checkNewName(path+"/name", "zone", string(z.Name), earlier)
		if z.Region == "" {
			c.add(path+"/region", "name the region the zone is in", "zone %q has no region", z.Name)
		}
		if z.Drained {
			drained++
		}
	}
	if drained > 0 && drained == len(c.text.Zones) {
		c.add("zones", "leave at least one zone in service", "every zone is out")
	}
}

func (c *checker) checkClasses() {
	c.text.Classes = checkList(c, "classes", c.text.Classes, maxClasses)
	earlier := make(map[string]string)
	for i, t := range c.text.Classes {
		path := fmt.Sprintf("classes/%d", i)
		c.checkNewName(path+"/name", "class", string(t.Name), earlier)
		c.checkNumber(path+"/priority", t.Priority, 0, maxPriority)
		c.checkDeadlines(i)
	}
}

func (c *checker) checkDeadlines(i int) {
	path := fmt.Sprintf("classes/%d", i)
	t := c.text.Classes[i]
	hard := c.checkDuration(path+"/hardDeadline", t.HardDeadline, minDeadline, maxDeadline)
	if t.MinCoverage < 0 || t.MinCoverage > 1 {
		c.add(path+"/leastCoverage", "give a fraction from 0 to 1", "leastCoverage is %g", t.MinCoverage)
	}
	if !c.positions.Has(path + "/softDeadline") {
		if t.MinCoverage > 0 {
			c.add(path+"/leastCoverage", "add a softDeadline or remove leastCoverage",
				"leastCoverage has no effect without a softDeadline")
		}
		return
	}
	soft := c.checkDuration(path+"/softDeadline", t.SoftDeadline, minDeadline, maxDeadline)
	if hard > 0 && soft > hard {
		c.add(path+"/softDeadline", "make it at most the hardDeadline",
			"softDeadline %s is after the hardDeadline %s", soft, hard)
	}
}

func (c *checker) checkTenants() {
	c.text.Tenants = checkList(c, "tenants", c.text.Tenants, maxTenants)
	earlier := make(map[string]string)
	for i, t := range c.text.Tenants {
		path := fmt.Sprintf("tenants/%d", i)
		c.checkNewName(path+"/name", "tenant", string(t.Name), earlier)
		c.checkNumber(path+"/share", t.Share, 1, maxShare)
		c.checkNumber(path+"/maxOpen", t.MaxOpen, 1, maxOpenQueries)
	}
}
