package patcher

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"almondstep"
)

// Rebase carries the changes from base to mine over to theirs, entry by entry.
// If both sides changed the same entry in different ways it returns the
// addresses and no text. A changed entry takes the comments inside it along, an
// added one also those before it, and a removed one leaves with those before
// it. Other changes of comments and layout in mine are not carried over.
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
	changes, overlap = disjoint(changes, others)
	if len(overlap) > 0 {
		return nil, overlap, nil
	}
	merged, err = carry(changes, mine, theirs)
	if err != nil {
		return nil, nil, err
	}
	return merged, nil, verify(changes, merged, theirs)
}

// disjoint drops the changes that the others made as well and lists the
// entries that were changed in different ways.
func disjoint(changes, others []Change) (left []Change, overlap []string) {
	byAddress := make(map[string]Change, len(others))
	for _, o := range others {
		byAddress[o.address] = o
	}
	for _, c := range changes {
		o, both := byAddress[c.address]
		switch {
		case !both:
			left = append(left, c)
		case o != c:
			overlap = append(overlap, c.address)
		}
	}
	return left, overlap
}

// verify compares what the merge did with what it should have done.
func verify(changes []Change, merged, theirs []byte) error {
	done, err := Diff(theirs, merged)
	if err != nil {
		return err
	}
	left := slices.Clone(changes)
	for _, d := range done {
		at := slices.Index(left, d)
		if at < 0 {
			return errors.Wrapf(almondstep.ErrInvalid, "can't merge %s; merge it by hand", d.address)
		}
		left = slices.Delete(left, at, at+1)
	}
	if len(left) > 0 {
		return errors.Wrapf(almondstep.ErrInvalid, "can't merge %s; merge it by hand", left[0].address)
	}
	return nil
}

// carry makes the changes in theirs with the text they have in mine.
func carry(changes []Change, mine, theirs []byte) ([]byte, error) {
	from, err := parse(mine)
	if err != nil {
		return nil, err
	}
	to, err := parse(theirs)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := carryOne(c, &from, &to); err != nil {
			return nil, err
		}
	}
	return to.Pack(), nil
}

func carryOne(c Change, from, to *hujson.Value) error {
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

// place is where an entry stands in a parsed document. Outside of a list, list
// is nil.
type place struct {
	value *hujson.Value
	key   string
	list  *hujson.Array
	at    int
}

func find(root *hujson.Value, address string) place {
	object := root.Value.(*hujson.Object)
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		list, ok := m.Value.Value.(*hujson.Array)
		if !ok {
			if key == address {
				return place{value: &m.Value, key: key}
			}
			continue
		}
		if at := slices.Index(listAddresses(key, list), address); at >= 0 {
			return place{value: &list.Elements[at], key: key, list: list, at: at}
		}
	}
	return place{}
}

// insert puts an added entry behind the one it follows in its own text, or at
// the end if that one is gone.
func insert(source place, to *hujson.Value) error {
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
