package parser

import (
	"fmt"
	"strings"

	"almondstep"
	"almondstep/decoder"
)

// Limits of the configuration.
const (
	maxServices           = 5000
	maxCovered            = 256
	maxSchemes            = 16
	maxZones              = 64
	maxClasses            = 16
	maxTenants            = 1000
	maxOperations         = 64
	maxNameBytes          = 128
	maxPriority           = 9
	maxShare              = 1000
	maxOpenQueries        = 100_000
	maxSlots              = 1024
	maxConnections        = 100_000
	maxServersPerInstance = 64
)

// searchOperation is the operation that every service has; its name is reserved.
const searchOperation = "search"

// checker checks one decoded configuration. The problems that it finds are recorded in
// the decoder's document.
type checker struct {
	text      almondstep.CatalogConfig
	positions decoder.Positions
	// serviceIndex maps each name to the index of the first service that has it.
	serviceIndex map[almondstep.ServiceName]int
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

// add records a problem at path, or at the innermost value around it if the text has
// none there.
func (c *checker) add(path, remedy, format string, args ...any) {
	c.positions.At(path).AddProblem(fmt.Sprintf(format, args...), remedy)
}

// checkList checks that a table has entries and at most limit of them. It returns
// the first limit entries, which bounds the work of the further checks.
func checkList[T any](c *checker, path string, entries []T, limit int) []T {
	if len(entries) == 0 {
		c.add(path, "list at least one under "+path, "no %s", path)
	}
	if len(entries) > limit {
		c.add(path, fmt.Sprintf("keep to at most %d", limit), "%d %s", len(entries), path)
		return entries[:limit]
	}
	return entries
}

// checkNewName checks the name of an entry, and that no earlier entry of the table
// has the same. earlier maps the names so far to their paths.
func (c *checker) checkNewName(path, what, name string, earlier map[string]string) {
	if !c.positions.Has(path) {
		c.add(path, "give it a name", "%s without a name", what)
		return
	}
	if reason := nameProblem(name); reason != "" {
		c.add(path, "use 1 to 128 letters, digits, and any of - _ .", "%s name %q %s", what, name, reason)
		return
	}
	if first, ok := earlier[name]; ok {
		line := c.positions.At(first).Line()
		c.add(path, "rename or remove one of the two", "%s %q is already on line %d", what, name, line)
		return
	}
	earlier[name] = path
}

// nameProblem returns the reason why a name is invalid, or "" if it is valid.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes", len(name))
	}
	for _, r := range name {
		if !isNameRune(r) {
			return fmt.Sprintf("has the character %q", r)
		}
	}
	return ""
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("-_.", r)
	}
}

// checkNumber checks that a whole number is given and in its range. A value of another
// type is 0 here and was already reported when it was decoded.
func (c *checker) checkNumber(path string, n, lower, upper int) {
	if n >= lower && n <= upper && n != 0 {
		return
	}
	field := path[strings.LastIndexByte(path, '/')+1:]
	remedy := fmt.Sprintf("give a whole number from %d to %d", lower, upper)
	if !c.positions.Has(path) {
		c.add(path, remedy, "%s is missing", field)
		return
	}
	if c.positions.At(path).Kind() == decoder.KindNumber && (n < lower || n > upper) {
		c.add(path, remedy, "%s is %d", field, n)
	}
}
