package commander

import (
	"context"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/parser"
	"almondstep/resolver"
)

const resolveName = "resolve"

// resolveVerb resolves a name in a file or in the configuration in force.
type resolveVerb struct {
	Name   string                `arg:"positional,required" help:"the name a caller uses"`
	Scheme almondstep.SchemeName `arg:"--scheme" help:"the naming scheme; may be omitted if the name means the same service in all schemes that have it"`
	File   string                `arg:"--file" placeholder:"FILE" help:"the configuration file; default: the configuration in force"`
	Dot    bool                  `arg:"--dot" help:"print the dependencies as a graph for Graphviz"`
	JSON   bool                  `arg:"--json" help:"print the result as JSON"`
	platformFlag
}

func newResolve() verb { return &resolveVerb{} }

// resolveResult is the result as JSON.
type resolveResult struct {
	Service almondstep.ServiceName           `json:"service"`
	Names   map[almondstep.SchemeName]string `json:"names"`
	Covers  []almondstep.ServiceName         `json:"covers"`
}

func (v *resolveVerb) run(ctx context.Context, env *Env) error {
	catalog, err := v.catalog(ctx, env)
	if err != nil {
		return err
	}
	name, err := resolver.Resolve(catalog, v.Scheme, v.Name)
	if err != nil {
		return err
	}
	service, _ := catalog.Service(name)
	switch {
	case v.Dot:
		return resolver.WriteDot(env.Stdout, catalog, name)
	case v.JSON:
		return writeJSON(env.Stdout, resolveResult{Service: name, Names: service.Names(), Covers: service.Closure()})
	}
	return v.write(env, catalog, service)
}

// catalog reads the catalog from the file or from the platform.
func (v *resolveVerb) catalog(ctx context.Context, env *Env) (*almondstep.Catalog, error) {
	if v.File != "" {
		return readCatalog(env, v.File)
	}
	e, err := v.envelope(ctx)
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, errors.Wrap(almondstep.ErrNotFound, "no configuration has been applied yet")
	}
	return parser.Parse([]byte(e.Text))
}

func (v *resolveVerb) write(env *Env, c *almondstep.Catalog, service almondstep.Service) error {
	printf(env.Stdout, "%s means %s, which callers know as\n", v.Name, service.Name())
	table := tabwriter.NewWriter(env.Stdout, 0, 0, columnGap, ' ', 0)
	for _, scheme := range c.Schemes() {
		if name, ok := service.Names()[scheme]; ok {
			printf(table, "  %s\t%s\n", scheme, name)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printf(env.Stdout, "A search covers %d services:\n", len(service.Closure()))
	return resolver.WriteTree(env.Stdout, c, service.Name())
}
