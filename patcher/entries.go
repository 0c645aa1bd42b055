package patcher

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"almondstep"
)

// Entry is one element of a list in the outermost object, or one of the
// object's other members. Examples of addresses are services/intake-desk,
// upstreams/10.0.0.1:80, schemes/dns and revision.
type Entry struct {
	address string
	text    string
	line    int
}

// Address is the list's key and the entry's name, or the member's key.
func (e Entry) Address() string { return e.address }

// Text is the entry as JSON without comments or blanks.
func (e Entry) Text() string { return e.text }

// Line is the line number at which the entry begins, from 1.
func (e Entry) Line() int { return e.line }

// nameKeys are the JSON pointers of the members that may hold an entry's name, in order
// of precedence.
var nameKeys = []string{"/name", "/addr", "/id"}

// Entries lists a document's entries in the order of the text.
func Entries(body []byte) ([]Entry, error) {
	root, err := parse(body)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	line, at := 1, 0
	err = eachEntry(&root, func(address string, v *hujson.Value) error {
		minimal := hujson.Value{Value: v.Clone().Value}
		minimal.Minimize()
		for ; at < v.StartOffset; at++ {
			if body[at] == '\n' {
				line++
			}
		}
		entries = append(entries, Entry{address: address, text: minimal.String(), line: line})
		return nil
	})
	return entries, err
}

// parse parses a document, which must be an object.
func parse(body []byte) (hujson.Value, error) {
	root, err := hujson.Parse(body)
	if err != nil {
		return root, errors.Wrapf(almondstep.ErrInvalid, "%v", err)
	}
	if _, ok := root.Value.(*hujson.Object); !ok {
		return root, errors.Wrap(almondstep.ErrInvalid, "the document is not an object")
	}
	return root, nil
}

// eachEntry calls visit with each entry of a parsed document.
func eachEntry(root *hujson.Value, visit func(address string, v *hujson.Value) error) error {
	object := root.Value.(*hujson.Object)
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		list, ok := m.Value.Value.(*hujson.Array)
		if !ok {
			if err := visit(key, &m.Value); err != nil {
				return err
			}
			continue
		}
		addresses := listAddresses(key, list)
		for j := range list.Elements {
			if err := visit(addresses[j], &list.Elements[j]); err != nil {
				return err
			}
		}
	}
	return nil
}

// listAddresses returns the addresses of a list's entries. The second and further ones
// of the same address get a number, such as schemes/dns#2.
func listAddresses(key string, list *hujson.Array) []string {
	addresses := make([]string, len(list.Elements))
	seen := make(map[string]int, len(list.Elements))
	for i := range list.Elements {
		address := key + "/" + nameOf(&list.Elements[i], i)
		seen[address]++
		if n := seen[address]; n > 1 {
			address = fmt.Sprintf("%s#%d", address, n)
		}
		addresses[i] = address
	}
	return addresses
}

// nameOf returns an entry's name, or its index if it has none. A string or number in
// the list is its own name.
func nameOf(v *hujson.Value, index int) string {
	if literal, ok := v.Value.(hujson.Literal); ok {
		return literal.String()
	}
	for _, key := range nameKeys {
		if found := v.Find(key); found != nil {
			if literal, ok := found.Value.(hujson.Literal); ok {
				return literal.String()
			}
		}
	}
	return fmt.Sprintf("%d", index)
}
