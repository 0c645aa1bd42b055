package parser

import (
	"fmt"
	"slices"
	"strings"

	"almondstep"
)

// limitDependencies reports too long a list of dependencies and shortens it, so that
// the further checks are bounded.
func (c *checker) limitDependencies(i int) {
	s := &c.text.Services[i]
	if len(s.DependsOn) > 0 {
		s.DependsOn = checkList(c, fmt.Sprintf("services/%d/dependsOn", i), s.DependsOn, maxServices)
	}
}

func (c *checker) checkDependencies() {
	for i, s := range c.text.Services {
		for j, d := range s.DependsOn {
			path := fmt.Sprintf("services/%d/dependsOn/%d", i, j)
			_, known := c.serviceIndex[d]
			switch {
			case d == s.Name:
				c.add(path, "remove the entry", "service %q depends on itself", d)
			case !known:
				c.add(path, "add the service or correct the name", "service %q doesn't exist", d)
			case slices.Index(s.DependsOn, d) < j:
				c.add(path, "remove one of the two", "service %q is listed twice", d)
			}
		}
	}
}

// visitState is the state of a service in the depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	// onPath services are on the path from the start of the search.
	onPath
	// done services have been visited with all their dependencies.
	done
)

// cycleFinder searches for cycles depth-first in the order of the text, so that the
// same text always yields the same report. It reports at least one cycle if there are
// any; further cycles through the same services may show only once that is removed.
type cycleFinder struct {
	checker *checker
	states  []visitState
	path    []int
}

func (c *checker) checkCycles() {
	w := &cycleFinder{checker: c, states: make([]visitState, len(c.text.Services))}
	for i := range c.text.Services {
		if w.states[i] == unvisited {
			w.visit(i)
		}
	}
}

func (w *cycleFinder) visit(i int) {
	w.states[i] = onPath
	w.path = append(w.path, i)
	service := w.checker.text.Services[i]
	for j, d := range service.DependsOn {
		next, known := w.checker.serviceIndex[d]
		switch {
		case !known || d == service.Name:
			// Reported by checkDependencies.
		case w.states[next] == unvisited:
			w.visit(next)
		case w.states[next] == onPath:
			w.report(next, fmt.Sprintf("services/%d/dependsOn/%d", i, j))
		}
	}
	w.path = w.path[:len(w.path)-1]
	w.states[i] = done
}

// report adds a problem for the cycle from the service start back to itself. at is
// the path of the dependency that closes the cycle.
func (w *cycleFinder) report(start int, at string) {
	var names []string
	for _, i := range w.path[slices.Index(w.path, start):] {
		names = append(names, string(w.name(i)))
	}
	names = append(names, string(w.name(start)))
	w.checker.add(at, "remove one of these dependencies",
		"dependency cycle: %s", strings.Join(names, " -> "))
}

func (w *cycleFinder) name(i int) almondstep.ServiceName { return w.checker.text.Services[i].Name }

// checkCovered bounds the number of services that one search covers.
func (c *checker) checkCovered() {
	for i := range c.text.Services {
		if n := c.countCovered(i); n > maxCovered {
			c.add(fmt.Sprintf("services/%d/dependsOn", i), fmt.Sprintf("keep to at most %d", maxCovered),
				"a search covers more than %d services", maxCovered)
		}
	}
}

// countCovered counts a service and its transitive dependencies, and stops above
// maxCovered.
func (c *checker) countCovered(i int) int {
	reached := map[int]bool{i: true}
	queue := []int{i}
	for len(queue) > 0 && len(reached) <= maxCovered {
		service := c.text.Services[queue[0]]
		queue = queue[1:]
		for _, d := range service.DependsOn {
			next, known := c.serviceIndex[d]
			if known && !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(reached)
}
