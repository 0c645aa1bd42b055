package resolver

import (
	"fmt"
	"io"
	"strings"

	"almondstep"
)

// WriteTree writes a service and its transitive dependencies as a tree. A
// service that was written before is followed by "(above)" instead of its
// dependencies.
//
//	intake-desk
//	`-- roast-scheduler
func WriteTree(w io.Writer, c *almondstep.Catalog, service almondstep.ServiceName) error {
	var b strings.Builder
	t := tree{catalog: c, out: &b, drawn: make(map[almondstep.ServiceName]bool)}
	t.draw(service, "", "")
	_, err := io.WriteString(w, b.String())
	return err
}

// tree writes one tree. drawn has the services that were written already.
type tree struct {
	catalog *almondstep.Catalog
	out     *strings.Builder
	drawn   map[almondstep.ServiceName]bool
}

// draw writes a service on a line that begins with branch, and its dependencies on
// lines that begin with indent.
func (t *tree) draw(name almondstep.ServiceName, branch, indent string) {
	s, _ := t.catalog.Service(name)
	again := t.drawn[name] && len(s.DependsOn()) > 0
	t.drawn[name] = true
	t.out.WriteString(branch + string(name))
	if again {
		t.out.WriteString(" (above)\n")
		return
	}
	t.out.WriteString("\n")
	for i, d := range s.DependsOn() {
		if i == len(s.DependsOn())-1 {
			t.draw(d, indent+"`-- ", indent+"    ")
			continue
		}
		t.draw(d, indent+"|-- ", indent+"|   ")
	}
}

// WriteDot writes a service and its transitive dependencies as a graph in Graphviz's
// DOT language.
func WriteDot(w io.Writer, c *almondstep.Catalog, service almondstep.ServiceName) error {
	var b strings.Builder
	b.WriteString("digraph services {\n")
	s, _ := c.Service(service)
	for _, name := range s.Closure() {
		fmt.Fprintf(&b, "  %q;\n", name)
		each, _ := c.Service(name)
		for _, d := range each.DependsOn() {
			fmt.Fprintf(&b, "  %q -> %q;\n", name, d)
		}
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}
