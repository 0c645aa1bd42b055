package patcher

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"almondstep"
)

// Rebase applies to theirs, entry by entry, the changes that lead from base to mine. If
// both sides changed the same entry in different ways, it returns the addresses of such
// entries and no text. A changed entry has the comments inside it from mine; an added
// one also those before it; and a removed one is removed with those before it. Other
// changes of comments and layout in mine are not applied.
//
//	base    {"zones": [{"name": "a"}, {"name": "b"}]}
//	mine    {"zones": [{"name": "a", "out": true}, {"name": "b"}]}
//	theirs  {"zones": [{"name": "a"}, {"name": "b"}, {"name": "c"}]}
//	merged  {"zones": [{"name": "a", "out": true}, {"name": "b"}, {"name": "c"}]}
func Rebase(base, mine, theirs []byte) (merged []byte, overlap []string, err error) {
	changes, err := Diff(base, mine)
	if err != nil {
		return nil, nil, err
	}
	others, err := Diff(base, theirs)
	if err != nil {
		return nil, nil, err
	}
	changes, overlap = withoutOverlap(changes, others)
	if len(overlap) > 0 {
		return nil, overlap, nil
	}
	merged, err = applyChanges(changes, mine, theirs)
	if err != nil {
		return nil, nil, err
	}
	return merged, nil, verify(changes, merged, theirs)
}

// withoutOverlap returns the changes that aren't among others, and the addresses of
// the entries that were changed in different ways.
func withoutOverlap(changes, others []Change) (remaining []Change, overlap []string) {
	byAddress := make(map[string]Change, len(others))
	for _, o := range others {
		byAddress[o.address] = o
	}
	for _, c := range changes {
		o, both := byAddress[c.address]
		switch {
		case !both:
			remaining = append(remaining, c)
		case o != c:
			overlap = append(overlap, c.address)
		}
	}
	return remaining, overlap
}

// verify checks that merged differs from theirs by exactly the given changes.
func verify(changes []Change, merged, theirs []byte) error {
	made, err := Diff(theirs, merged)
	if err != nil {
		return err
	}
	missing := slices.Clone(changes)
	for _, d := range made {
		at := slices.Index(missing, d)
		if at < 0 {
			return errors.Wrapf(almondstep.ErrInvalid, "can't merge %s; merge it by hand", d.address)
		}
		missing = slices.Delete(missing, at, at+1)
	}
	if len(missing) > 0 {
		return errors.Wrapf(almondstep.ErrInvalid, "can't merge %s; merge it by hand", missing[0].address)
	}
	return nil
}

// applyChanges applies the changes to theirs, with the text of the entries from mine.
func applyChanges(changes []Change, mine, theirs []byte) ([]byte, error) {
	from, err := parse(mine)
	if err != nil {
		return nil, err
	}
	to, err := parse(theirs)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := applyChange(c, &from, &to); err != nil {
			return nil, err
		}
	}
	return to.Pack(), nil
}

// applyChange applies one change to the document to, with the entry's text in from.
func applyChange(c Change, from, to *hujson.Value) error {
	source, target := find(from, c.address), find(to, c.address)
	switch {
	case c.kind == Changed && source.value != nil && target.value != nil:
		target.value.Value = source.value.Value
	case c.kind == Removed && target.list != nil:
		target.list.Elements = slices.Delete(target.list.Elements, target.at, target.at+1)
	case c.kind == Added && source.list != nil:
		return insert(source, to)
	default:
		return errors.Wrapf(almondstep.ErrInvalid, "can't merge %s; merge it by hand", c.address)
	}
	return nil
}

// location is the position of an entry in a parsed document: its value, the key of its
// list or member in the outermost object, and, for an entry of a list, the list and the
// index in it. It is the zero location if there is no such entry.
type location struct {
	value *hujson.Value
	key   string
	list  *hujson.Array
	at    int
}

// find returns the location of the entry with the given address.
func find(root *hujson.Value, address string) location {
	object := root.Value.(*hujson.Object)
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		list, ok := m.Value.Value.(*hujson.Array)
		if !ok {
			if key == address {
				return location{value: &m.Value, key: key}
			}
			continue
		}
		if at := slices.Index(listAddresses(key, list), address); at >= 0 {
			return location{value: &list.Elements[at], key: key, list: list, at: at}
		}
	}
	return location{}
}

// insert adds an entry to the target: after the entry that precedes it in the source,
// first if none does, or at the end if the target has no such entry.
func insert(source location, to *hujson.Value) error {
	member := to.Find("/" + source.key)
	if member == nil {
		return errors.Wrapf(almondstep.ErrInvalid, "can't merge into %s, which is gone; merge it by hand", source.key)
	}
	list, ok := member.Value.(*hujson.Array)
	if !ok {
		return errors.Wrapf(almondstep.ErrInvalid, "can't merge into %s; merge it by hand", source.key)
	}
	at := len(list.Elements)
	if source.at == 0 {
		at = 0
	} else {
		before := listAddresses(source.key, source.list)[source.at-1]
		if i := slices.Index(listAddresses(source.key, list), before); i >= 0 {
			at = i + 1
		}
	}
	added := source.value.Clone()
	if n := len(list.Elements); at == n && n > 0 {
		// The trailing comma belongs to the last element.
		added.AfterExtra = list.Elements[n-1].AfterExtra
		list.Elements[n-1].AfterExtra = nil
	}
	list.Elements = slices.Insert(list.Elements, at, added)
	return nil
}
