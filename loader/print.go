package loader

import (
	"fmt"
	"io"
	"strings"
)

// Print writes a commented file of all settings with their defaults; a
// required one has an example. The file can be loaded as it is.
func Print(w io.Writer) error {
	var b strings.Builder
	b.WriteString("// Settings of almondstepd: JSON with comments.\n{\n")
	for i, r := range Table() {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "  // %s\n  // %s\n", r.help, r.form())
		fmt.Fprintf(&b, "  %q: %s,\n", r.key, r.fallback)
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// form is the line of unit and range.
func (r Row) form() string {
	parts := []string{"Unit: " + r.unit}
	if span := r.Range(); span != "any" {
		parts = append(parts, "range: "+span)
	}
	if r.required {
		parts = append(parts, "required")
	}
	return strings.Join(parts, "; ") + "."
}
