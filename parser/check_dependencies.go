package parser

import (
	"fmt"
	"slices"
	"strings"

	"almondstep"
)

func (c *checker) boundDependencies(i int) {
	s := &c.text.Services[i]
	if len(s.DependsOn) > 0 {
		s.DependsOn = list(c, fmt.Sprintf("services/%d/dependsOn", i), s.DependsOn, maxServices)
	}
}

func (c *checker) checkDependencies() {
	for i, s := range c.text.Services {
		for j, d := range s.DependsOn {
			path := fmt.Sprintf("services/%d/dependsOn/%d", i, j)
			_, known := c.seen[d]
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

// mark is how far the walk has come with a service.
type mark uint8

const (
	unseen mark = iota
	// open services are on the path from the walk's start.
	open
	// done services lead to no cycle that hasn't been reported.
	done
)

// walker looks for cycles depth first, in the order of the text, so that the
// same text always gives the same report.
type walker struct {
	checker *checker
	marks   []mark
	path    []int
}

func (c *checker) checkCycles() {
	w := &walker{checker: c, marks: make([]mark, len(c.text.Services))}
	for i := range c.text.Services {
		if w.marks[i] == unseen {
			w.visit(i)
		}
	}
}

func (w *walker) visit(i int) {
	w.marks[i] = open
	w.path = append(w.path, i)
	service := w.checker.text.Services[i]
	for j, d := range service.DependsOn {
		next, known := w.checker.seen[d]
		switch {
		case !known || d == service.Name:
			// Reported by checkDependencies.
		case w.marks[next] == unseen:
			w.visit(next)
		case w.marks[next] == open:
			w.report(next, fmt.Sprintf("services/%d/dependsOn/%d", i, j))
		}
	}
	w.path = w.path[:len(w.path)-1]
	w.marks[i] = done
}

// report prints the cycle that the dependency at place closes.
func (w *walker) report(start int, place string) {
	var names []string
	for _, i := range w.path[slices.Index(w.path, start):] {
		names = append(names, string(w.name(i)))
	}
	names = append(names, string(w.name(start)))
	w.checker.add(place, "remove one of these dependencies",
		"dependency cycle: %s", strings.Join(names, " -> "))
}

func (w *walker) name(i int) almondstep.ServiceName { return w.checker.text.Services[i].Name }

// checkCovered bounds the services one search covers.
func (c *checker) checkCovered() {
	for i := range c.text.Services {
		if n := c.covered(i); n > maxCovered {
			c.add(fmt.Sprintf("services/%d/dependsOn", i), fmt.Sprintf("keep to at most %d", maxCovered),
				"a search covers more than %d services", maxCovered)
		}
	}
}

// covered counts a service and all it depends on, and stops above maxCovered.
func (c *checker) covered(i int) int {
	reached := map[int]bool{i: true}
	queue := []int{i}
	for len(queue) > 0 && len(reached) <= maxCovered {
		service := c.text.Services[queue[0]]
		queue = queue[1:]
		for _, d := range service.DependsOn {
			next, known := c.seen[d]
			if known && !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(reached)
}
