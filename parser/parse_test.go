package parser_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/decoder"
	"almondstep/parser"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"roastery", "trials"} {
		body, err := os.ReadFile("../examples/" + name + ".jsonc")
		if err != nil {
			t.Fatal(err)
		}
		catalog, err := parser.Parse(body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got, want := len(catalog.Config().Services), 4; got != want {
			t.Errorf("%s: got %d services, want %d", name, got, want)
		}
	}
}

// base is a valid configuration; each case of TestEachProblem changes one part of it.
const base = `{
"schemes": ["a", "b"],
"zones": [{"name": "z1", "region": "r"}, {"name": "z2", "region": "r"}],
"classes": [{"name": "urgent", "priority": 0, "softDeadline": "50ms", "hardDeadline": "200ms", "leastCoverage": 0.9}],
"tenants": [{"name": "t", "share": 1, "maxOpen": 10}],
"services": [
{"name": "s1", "names": {"a": "n1"}, "dependsOn": ["s2"], "slots": 2, "connections": 25, "serversPerInstance": 2, "dialTime": "6ms"},
{"name": "s2", "names": {"a": "n2"}, "dependsOn": ["s3"], "slots": 2, "connections": 25, "serversPerInstance": 2, "dialTime": "6ms"},
{"name": "s3", "names": {"b": "n1"}, "slots": 2, "connections": 25, "serversPerInstance": 2, "dialTime": "6ms", "operations": [{"name": "enterOrder", "idempotent": false}]},
]}
`

func TestEachProblem(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"duplicate service", `"name": "s2"`, `"name": "s1"`, `8:10: service "s1" is already on line 7`},
		{"duplicate zone", `"name": "z2"`, `"name": "z1"`, `3:51: zone "z1" is already on line 3`},
		{"name means two services", `{"a": "n2"}`, `{"a": "n1"}`, `8:31: scheme "a" calls "s1" already "n1"`},
		{"unknown scheme", `{"a": "n2"}`, `{"c": "n2"}`, `8:31: scheme "c" doesn't exist`},
		{"unknown dependency", `["s3"]`, `["s9"]`, `8:52: service "s9" doesn't exist`},
		{"self dependency", `["s3"]`, `["s2"]`, `8:52: service "s2" depends on itself`},
		{"cycle", `["s3"]`, `["s1"]`, `8:52: dependency cycle: s1 -> s2 -> s1`},
		{"no unit", `"hardDeadline": "200ms"`, `"hardDeadline": "200"`, `4:87: hardDeadline "200" is no duration`},
		{"soft after hard", `"50ms"`, `"300ms"`, `4:63: softDeadline 300ms is after the hardDeadline 200ms`},
		{"part over 1", `0.9`, `90`, `4:113: leastCoverage is 90`},
		{"share out of range", `"share": 1`, `"share": 0`, `5:36: share is 0`},
		{"missing number", `"share": 1, `, ``, `5:13: share is missing`},
		{"missing name", `"name": "t", `, ``, `5:13: tenant without a name`},
		{"unknown key", `"maxOpen"`, `"maxopen"`, `5:39: unknown key "maxopen"`},
		{"repeated key", `"share": 1,`, `"share": 1, "share": 2,`, `5:39: key "share" is given twice`},
		{"wrong type", `"share": 1,`, `"share": "1",`, `5:36: tenants/0/share: a string instead of a whole number`},
		{"wrong list", `["a", "b"]`, `"a"`, `2:12: schemes: a string instead of a list`},
		{"bad character", `"name": "t"`, `"name": "t t"`, `5:22: tenant name "t t" has the character ' '`},
		{"reserved operation", `"enterOrder"`, `"search"`, `9:137: every service has the operation "search" already`},
		{"all zones out", `"r"}, {"name": "z2", "region": "r"}`, `"r", "out": true}`, `3:10: every zone is out`},
		{"syntax", `"zones": [`, `"zones": `, `3:41: invalid character`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			broken := strings.Replace(base, c.old, c.new, 1)
			if broken == base {
				t.Fatal("the case changes nothing")
			}
			_, err := parser.Parse([]byte(broken))
			if !errors.Is(err, almondstep.ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			if got := "\n" + err.Error(); !strings.Contains(got, "\n"+c.want) {
				t.Errorf("got %s\nwant %s", got, c.want)
			}
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	r := strings.NewReplacer(`"share": 1`, `"share": 0`, `"6ms"`, `"6"`, `["s3"]`, `["s9", "s1"]`)
	_, err := parser.Parse([]byte(r.Replace(base)))
	var invalid *decoder.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	if got, want := len(invalid.Problems()), 6; got != want {
		t.Errorf("got %d problems, want %d:\n%v", got, want, err)
	}
	for _, p := range invalid.Problems() {
		if p.Line() < 1 || p.Column() < 1 || p.Reason() == "" || p.Remedy() == "" {
			t.Errorf("got %+v, want a position, a reason and a remedy", p)
		}
	}
}

// The number of services that a chain of dependencies covers is bounded, which
// bounds the cost of a search and of the check itself.
func TestTooManyCovered(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"schemes": ["a"], "zones": [{"name": "z", "region": "r"}],
"classes": [{"name": "urgent", "priority": 0, "hardDeadline": "200ms"}],
"tenants": [{"name": "t", "share": 1, "maxOpen": 10}], "services": [`)
	for i := range 300 {
		depends := fmt.Sprintf(`"dependsOn": ["s%d"], `, i+1)
		if i == 299 {
			depends = ""
		}
		fmt.Fprintf(&b, `{"name": "s%d", %s"slots": 2, "connections": 25, "serversPerInstance": 2, "dialTime": "6ms"},`+"\n", i, depends)
	}
	b.WriteString("]}")
	_, err := parser.Parse([]byte(b.String()))
	var invalid *decoder.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	if got, want := len(invalid.Problems()), 300-256; got != want {
		t.Errorf("got %d problems, want %d", got, want)
	}
}

// BenchmarkParse parses a text of about 1 MB.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString(strings.TrimSuffix(base, "]}\n"))
	for i := 0; text.Len() < 1_000_000; i++ {
		fmt.Fprintf(&text, `    {
      // %d instances.
      "name": "service-%d",
      "names": {"a": "%d", "b": "servicio-%d"},
      "dependsOn": ["s1"],
      "slots": 2,
      "connections": 25,
      "serversPerInstance": 2,
      "dialTime": "6ms",
    },
`, 20+i%7, i, 1000+i, i)
	}
	text.WriteString("]}\n")
	body := []byte(text.String())
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := parser.Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

func TestTooLong(t *testing.T) {
	body := append([]byte(base), make([]byte, decoder.MaxBytes)...)
	if _, err := parser.Parse(body); !errors.Is(err, almondstep.ErrInvalid) {
		t.Errorf("got %v, want ErrInvalid", err)
	}
}

func TestTooDeep(t *testing.T) {
	body := []byte(strings.Repeat("[", decoder.MaxBytes))
	if _, err := parser.Parse(body); !errors.Is(err, almondstep.ErrInvalid) {
		t.Errorf("got %v, want ErrInvalid", err)
	}
}

// FuzzParse checks that arbitrary bytes are either valid or every reported
// problem has a position inside the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(`{"services": [{"name": 1, "names": {"a": ["/*"]}}]} // é`))
	f.Add([]byte(`{"a": "\`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := parser.Parse(body)
		if err == nil {
			return
		}
		var invalid *decoder.InvalidError
		if !errors.As(err, &invalid) {
			t.Fatalf("got %v, want an InvalidError", err)
		}
		lines := 1 + strings.Count(string(body), "\n")
		for _, p := range invalid.Problems() {
			if p.Line() < 1 || p.Line() > lines || p.Column() < 1 {
				t.Errorf("got position %d:%d, want one inside %d lines", p.Line(), p.Column(), lines)
			}
		}
	})
}
