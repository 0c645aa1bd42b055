package patcher

// ChangeKind is the way in which an entry changed.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the change of one entry between two versions.
type Change struct {
	address string
	kind    ChangeKind
	before  string
	after   string
}

// Address identifies the entry, for example services/intake-desk.
func (c Change) Address() string { return c.address }

// Kind is the way in which the entry changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Before is the entry in the old version, as JSON; empty if it was added.
func (c Change) Before() string { return c.before }

// After is the entry in the new version, as JSON; empty if it was removed.
func (c Change) After() string { return c.after }

// Diff lists the entries that differ, in the order of the new version and with the
// removed ones last. Comments, layout and the order of entries are ignored. An empty
// text has no entries.
func Diff(old, body []byte) ([]Change, error) {
	before, err := entriesOrNone(old)
	if err != nil {
		return nil, err
	}
	after, err := entriesOrNone(body)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]string, len(before))
	for _, e := range before {
		texts[e.address] = e.text
	}
	var changes []Change
	for _, e := range after {
		text, ok := texts[e.address]
		delete(texts, e.address)
		switch {
		case !ok:
			changes = append(changes, Change{address: e.address, kind: Added, after: e.text})
		case text != e.text:
			changes = append(changes, Change{address: e.address, kind: Changed, before: text, after: e.text})
		}
	}
	for _, e := range before {
		if text, removed := texts[e.address]; removed {
			changes = append(changes, Change{address: e.address, kind: Removed, before: text})
		}
	}
	return changes, nil
}

// entriesOrNone lists the entries of a document, none if it is empty.
func entriesOrNone(body []byte) ([]Entry, error) {
	if len(body) == 0 {
		return nil, nil
	}
	return Entries(body)
}
