package loader_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"almondstep/loader"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	page      = "../docs/CONFIGURATION.md"
	pageStart = "<!-- settings: written by `go test ./loader -update` -->\n"
	pageEnd   = "<!-- end of settings -->"
)

// TestGoldenPage checks that the table in docs/CONFIGURATION.md matches the settings.
func TestGoldenPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Setting | Unit | Range | Default | Help |\n|---|---|---|---|---|\n")
	for _, r := range loader.Table() {
		defaultValue := "`" + r.Default() + "`"
		if r.Required() {
			defaultValue = "none; such as " + defaultValue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.Key(), r.Unit(), r.Range(), defaultValue, r.Help())
	}
	body, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(body), pageStart)
	got, after, found := strings.Cut(rest, pageEnd)
	if !found {
		t.Fatalf("got no start and end markers in %s, want both", page)
	}
	if *update {
		body := before + pageStart + b.String() + pageEnd + after
		if err := os.WriteFile(page, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := b.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
