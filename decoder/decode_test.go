package decoder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/decoder"
)

func ExampleDocument_Decode() {
	doc, err := decoder.Parse([]byte(`{"slots": "two", "conections": 25}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	var service struct {
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
	}
	doc.Decode(&service)
	fmt.Println(doc.Err(""))
	// Output:
	// 1:11: slots: a string instead of a whole number: write a whole number here
	// 1:18: unknown key "conections": remove it or correct it; known here: connections, slots
}

// Brackets, quotes and commas in strings and comments are skipped.
func ExampleStructuralBytes() {
	for i, c := range decoder.StructuralBytes([]byte(`{"a,[": [1, "\"]"], /* } */ "b": 2 // ]`)) {
		fmt.Printf("%d%c ", i, c)
	}
	// Output: 0{ 8[ 10, 17] 18,
}

func TestColumnsCountCharacters(t *testing.T) {
	doc, err := decoder.Parse([]byte("{\n  \"ñandú\": \"é\", \"x\": 1,\n}"))
	if err != nil {
		t.Fatal(err)
	}
	var none struct{}
	doc.Decode(&none)
	got := doc.Err("f.jsonc").Error()
	for _, want := range []string{"f.jsonc:2:3: unknown key \"ñandú\"", "f.jsonc:2:17: unknown key \"x\""} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// An escaped key equals the same key without escapes.
func TestEscapedKey(t *testing.T) {
	doc, err := decoder.Parse([]byte(`{"\u0061": {"b\u0062": 7}}`))
	if err != nil {
		t.Fatal(err)
	}
	var v struct {
		A struct {
			BB int `json:"bb"`
		} `json:"a"`
	}
	positions := doc.Decode(&v)
	if got, want := v.A.BB, 7; got != want || doc.Err("") != nil {
		t.Errorf("got %d and %v, want %d", got, doc.Err(""), want)
	}
	if !positions.Has("a/bb") || positions.Has("a/b") {
		t.Errorf("got %v and %v, want a position only for a/bb", positions.Has("a/bb"), positions.Has("a/b"))
	}
}

func TestWholeNumbersOnly(t *testing.T) {
	for _, number := range []string{"1.5", "1e3", "99999999999999999999", "null", "true"} {
		doc, err := decoder.Parse([]byte(`{"n": ` + number + `}`))
		if err != nil {
			t.Fatal(err)
		}
		var v struct {
			N int `json:"n"`
		}
		doc.Decode(&v)
		if err := doc.Err(""); !errors.Is(err, almondstep.ErrInvalid) {
			t.Errorf("%s: got %v and %d, want ErrInvalid", number, err, v.N)
		}
	}
}
