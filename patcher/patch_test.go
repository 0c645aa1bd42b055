package patcher_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/patcher"
)

func ExampleMake() {
	old := []byte(`{"zones": [{"name": "a"}, {"name": "b"}, {"name": "c"}, {"name": "d"}, {"name": "e"}]}`)
	body := bytes.Replace(old, []byte(`"b"`), []byte(`"b", "out": true`), 1)
	patch := patcher.Make(old, body)
	fmt.Println(string(patch))
	got, err := patcher.Apply(old, patch)
	fmt.Println(bytes.Equal(got, body), err)
	// Output:
	// [[0,1]," {\"name\": \"b\", \"out\": true},",[2,3]]
	// true <nil>
}

// A patch reproduces the new version byte for byte, including comments and layout, and
// is at most half as long.
func TestPatchedDocumentIsIdentical(t *testing.T) {
	old, err := os.ReadFile("../examples/roastery.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	edits := map[string][2]string{
		"changed entry":   {`"share": 50`, `"share": 51`},
		"changed comment": {`// 3 servers.`, `// 4 servers, "quoted", [`},
		"removed entry":   {`    {"name": "kitchens", "share": 30, "maxOpen": 100},` + "\n", ``},
		"added entry":     {`    {"name": "kitchens"`, `    {"name": "new", "share": 1, "maxOpen": 1},` + "\n" + `    {"name": "kitchens"`},
		"changed end":     {"  ],\n}\n", "  ], // end\n}"},
	}
	for name, e := range edits {
		body := []byte(strings.Replace(string(old), e[0], e[1], 1))
		if bytes.Equal(body, old) {
			t.Fatalf("%s: the edit changes nothing", name)
		}
		patch := patcher.Make(old, body)
		got, err := patcher.Apply(old, patch)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got, want := almondstep.HashOf(got), almondstep.HashOf(body); got != want {
			t.Errorf("%s: got hash %s, want %s", name, got, want)
		}
		if got, want := len(patch), len(body)/2; got > want {
			t.Errorf("%s: got a patch of %d bytes, want at most %d", name, got, want)
		}
	}
}

// A patch that would be no shorter than the new version isn't made.
func TestNoPatchWithoutCommonSpans(t *testing.T) {
	if got := patcher.Make([]byte(`{"a": [1,2]}`), []byte(`{"b": [3,4]}`)); got != nil {
		t.Errorf("got %s, want none", got)
	}
}

// A patch that can't be decoded, or that refers to spans that don't exist, is rejected.
func TestDamagedPatchIsRefused(t *testing.T) {
	old := []byte(`{"a": [1,2,3]}`)
	for _, patch := range []string{``, `{}`, `[[0,9]]`, `[[-1,1]]`, `[[0,-1]]`, `[[9,1]]`, `[[1,9223372036854775807]]`} {
		if _, err := patcher.Apply(old, []byte(patch)); !errors.Is(err, almondstep.ErrCorrupt) {
			t.Errorf("%s: got %v, want ErrCorrupt", patch, err)
		}
	}
}

// FuzzApply checks that any patch is applied or rejected without a panic, and that a
// patch made by Make reproduces the new version.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"a": [1,2,3], "b": [{"c": "]"}]}`), []byte(`{"a": [1,4,3]}`), []byte(`[[0,2],"x"]`))
	f.Fuzz(func(t *testing.T, old, body, patch []byte) {
		_, _ = patcher.Apply(old, patch)
		made := patcher.Make(old, body)
		if made == nil {
			return
		}
		got, err := patcher.Apply(old, made)
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("got %q and %v, want %q", got, err, body)
		}
	})
}

// Entries are compared by name. Comments and the order of entries don't matter.
func TestDiffIsByEntry(t *testing.T) {
	old := []byte(`{"schemes": ["a", "b"], "zones": [{"name": "x"}, {"name": "y"}], "upstreams": [{"addr": "10.0.0.1:80", "boot": "1"}]}`)
	body := []byte(`// reordered
	{"schemes": ["b", "c"], "zones": [{"name": "y"}, /* out */ {"name": "x", "out": true}], "upstreams": [{"addr": "10.0.0.1:80", "boot": "2"}]}`)
	changes, err := patcher.Diff(old, body)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, c := range changes {
		got = append(got, string(c.Kind())+" "+c.Address())
	}
	want := "added schemes/c, changed zones/x, changed upstreams/10.0.0.1:80, removed schemes/a"
	if got := strings.Join(got, ", "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Changes of different entries are merged, with the comments of changed and added
// entries. The same change on both sides isn't a conflict.
func TestRebase(t *testing.T) {
	const base = `{
  // all zones
  "zones": [
    {"name": "a"}, // first
    {"name": "b"},
  ],
}
`
	cases := []struct{ name, mine, theirs, want string }{
		{
			"changed and added",
			strings.Replace(base, `{"name": "a"}`, `{"name": "a", "out": true /* rain */}`, 1),
			strings.Replace(base, `{"name": "b"},`, `{"name": "b"}, {"name": "c"},`, 1),
			strings.NewReplacer(`{"name": "a"}`, `{"name": "a", "out": true /* rain */}`, `{"name": "b"},`, `{"name": "b"}, {"name": "c"},`).Replace(base),
		},
		{
			"both add at the end",
			strings.Replace(base, "{\"name\": \"b\"},\n", "{\"name\": \"b\"},\n    // mine\n    {\"name\": \"m\"},\n", 1),
			strings.Replace(base, "{\"name\": \"b\"},\n", "{\"name\": \"b\"},\n    {\"name\": \"t\"},\n", 1),
			strings.Replace(base, "{\"name\": \"b\"},\n", "{\"name\": \"b\"},\n    // mine\n    {\"name\": \"m\"},\n    {\"name\": \"t\"},\n", 1),
		},
		{
			"removed and changed",
			strings.Replace(base, `{"name": "b"},`, ``, 1),
			strings.Replace(base, `"a"`, `"a", "out": true`, 1),
			"{\n  // all zones\n  \"zones\": [\n    {\"name\": \"a\", \"out\": true}\n  ],\n}\n",
		},
		{
			"the same change", strings.Replace(base, `"b"`, `"b", "out": true`, 1),
			strings.Replace(base, `"b"`, `"b", "out": true`, 1), strings.Replace(base, `"b"`, `"b", "out": true`, 1),
		},
	}
	for _, c := range cases {
		got, overlap, err := patcher.Rebase([]byte(base), []byte(c.mine), []byte(c.theirs))
		if err != nil || len(overlap) > 0 {
			t.Errorf("%s: got overlap %v and %v, want none", c.name, overlap, err)
		}
		if string(got) != c.want {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, got, c.want)
		}
	}
}

// If an entry was changed on one side and changed differently or removed on the other,
// the result is its address and no text.
func TestRebaseRefusesOverlap(t *testing.T) {
	base := `{"zones": [{"name": "a"}, {"name": "b"}]}`
	mine := `{"zones": [{"name": "a", "out": true}, {"name": "b"}]}`
	for _, theirs := range []string{`{"zones": [{"name": "b"}]}`, `{"zones": [{"name": "a", "out": false}, {"name": "b"}]}`} {
		merged, overlap, err := patcher.Rebase([]byte(base), []byte(mine), []byte(theirs))
		if err != nil || merged != nil {
			t.Errorf("got %q and %v, want neither", merged, err)
		}
		if got, want := strings.Join(overlap, ","), "zones/a"; got != want {
			t.Errorf("got overlap %q, want %q", got, want)
		}
	}
}
