package parser

import (
	"fmt"
	"strings"

	"almondstep"
	"almondstep/decoder"
)

// Limits of the operators' text.
const (
	maxServices      = 5000
	maxCovered       = 256
	maxSchemes       = 16
	maxZones         = 64
	maxClasses       = 16
	maxTenants       = 1000
	maxOperations    = 64
	maxNameBytes     = 128
	maxPriority      = 9
	maxShare         = 1000
	maxOpenQueries   = 100_000
	maxSlots         = 1024
	maxConnections   = 100_000
	maxServersInInst = 64
)

// searchOperation is what every service offers; no other may take its name.
const searchOperation = "search"

// checker collects the problems of one text.
type checker struct {
	text   almondstep.CatalogConfig
	places decoder.Places
	// seen has the place in the text of each service's first mention.
	seen map[almondstep.ServiceName]int
}

func (c *checker) check() {
	c.checkSchemes()
	c.checkZones()
	c.checkClasses()
	c.checkTenants()
	c.checkServices()
	c.checkNames()
	c.checkDependencies()
	c.checkCycles()
	c.checkCovered()
}

// add notes a problem at path.
func (c *checker) add(path, remedy, format string, args ...any) {
	c.places.At(path).Problem(fmt.Sprintf(format, args...), remedy)
}

// list checks that a table has entries and not too many of them; it gives as
// many as may be checked further, so that the work stays bounded.
func list[T any](c *checker, path string, entries []T, most int) []T {
	if len(entries) == 0 {
		c.add(path, "list at least one under "+path, "no %s", path)
	}
	if len(entries) > most {
		c.add(path, fmt.Sprintf("keep to at most %d", most), "%d %s", len(entries), path)
		return entries[:most]
	}
	return entries
}

// name checks one entry's name and that no earlier entry of the table has it.
func (c *checker) name(path, what, name string, earlier map[string]string) {
	if !c.places.Has(path) {
		c.add(path, "give it a name", "%s without a name", what)
		return
	}
	if reason := badName(name); reason != "" {
		c.add(path, "use 1 to 128 letters, digits, and any of - _ .", "%s name %q %s", what, name, reason)
		return
	}
	if first, ok := earlier[name]; ok {
		line := c.places.At(first).Line()
		c.add(path, "rename or remove one of the two", "%s %q is already on line %d", what, name, line)
		return
	}
	earlier[name] = path
}

// badName says why a name can't be used; empty if it can.
func badName(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes", len(name))
	}
	for _, r := range name {
		if !nameRune(r) {
			return fmt.Sprintf("has the character %q", r)
		}
	}
	return ""
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("-_.", r)
	}
}

// number checks a whole number's range.
func (c *checker) number(path string, n, least, most int) {
	if n >= least && n <= most && n != 0 {
		return
	}
	field := path[strings.LastIndexByte(path, '/')+1:]
	remedy := fmt.Sprintf("give a whole number from %d to %d", least, most)
	if !c.places.Has(path) {
		c.add(path, remedy, "%s is missing", field)
		return
	}
	if c.places.At(path).Kind() == decoder.KindNumber && (n < least || n > most) {
		c.add(path, remedy, "%s is %d", field, n)
	}
}
