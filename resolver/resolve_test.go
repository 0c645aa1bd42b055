package resolver_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/parser"
	"almondstep/resolver"
)

// roastery returns the catalog of the example configuration.
func roastery() *almondstep.Catalog {
	body, err := os.ReadFile("../examples/roastery.jsonc")
	if err != nil {
		panic(err)
	}
	c, err := parser.Parse(body)
	if err != nil {
		panic(err)
	}
	return c
}

func ExampleResolve() {
	c := roastery()
	fmt.Println(resolver.Resolve(c, "spanish", "mesón"))
	fmt.Println(resolver.Resolve(c, "", "horno"))
	fmt.Println(resolver.Resolve(c, "", "mesón"))
	// Output:
	// dispatch-counter <nil>
	// roast-scheduler <nil>
	//  "mesón" means billing-office in ledger, dispatch-counter in spanish; give the scheme: name is used in more than one scheme
}

func ExampleWriteTree() {
	_ = resolver.WriteTree(os.Stdout, roastery(), "dispatch-counter")
	// Output:
	// dispatch-counter
	// |-- roast-scheduler
	// `-- billing-office
}

func ExampleWriteDot() {
	_ = resolver.WriteDot(os.Stdout, roastery(), "intake-desk")
	// Output:
	// digraph services {
	//   "intake-desk";
	//   "intake-desk" -> "roast-scheduler";
	//   "roast-scheduler";
	// }
}

// Every name of every scheme resolves to its service, both with the scheme and
// without, unless another scheme uses the name for another service.
func TestEveryName(t *testing.T) {
	c := roastery()
	for _, s := range c.Config().Services {
		for scheme, name := range s.Names {
			if got, err := resolver.Resolve(c, scheme, name); got != s.Name || err != nil {
				t.Errorf("%s in %s: got %q and %v, want %q", name, scheme, got, err, s.Name)
			}
			got, err := resolver.Resolve(c, "", name)
			if errors.Is(err, almondstep.ErrAmbiguousName) && name == "mesón" {
				continue
			}
			if got != s.Name || err != nil {
				t.Errorf("%s: got %q and %v, want %q", name, got, err, s.Name)
			}
		}
		if got, err := resolver.Resolve(c, "", string(s.Name)); got != s.Name || err != nil {
			t.Errorf("%s: got %q and %v, want it", s.Name, got, err)
		}
	}
}

func TestUnknownNames(t *testing.T) {
	cases := []struct {
		scheme almondstep.SchemeName
		name   string
		want   string
	}{
		{"", "hornos", `close to it: "horno"`},
		{"spanish", "facturs", `close to it: "facturas"`},
		{"spanish", "intake-desk", `scheme "spanish" has no name "intake-desk"`},
		{"latin", "horno", `scheme "latin" doesn't exist`},
		{"", "", `no service is called ""`},
	}
	for _, c := range cases {
		_, err := resolver.Resolve(roastery(), c.scheme, c.name)
		if !errors.Is(err, almondstep.ErrNotFound) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q in %q: got %v, want %s", c.name, c.scheme, err, c.want)
		}
	}
}
