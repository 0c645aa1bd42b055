package loader

import (
	"fmt"
	"io"
	"strings"
)

// Print writes a commented file of all settings with their defaults, or an
// example for a required one. The file can be loaded unchanged.
func Print(w io.Writer) error {
	var b strings.Builder
	b.WriteString("// Settings of almondstepd: JSON with comments.\n{\n")
	for i, r := range Table() {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "  // %s\n  // %s\n", r.help, r.constraints())
		fmt.Fprintf(&b, "  %q: %s,\n", r.key, r.defaultJSON)
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// constraints returns the comment line with unit, range and whether the setting is
// required.
func (r Row) constraints() string {
	parts := []string{"Unit: " + r.unit}
	if span := r.Range(); span != "any" {
		parts = append(parts, "range: "+span)
	}
	if r.required {
		parts = append(parts, "required")
	}
	return strings.Join(parts, "; ") + "."
}
