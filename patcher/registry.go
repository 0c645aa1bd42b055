package patcher

import (
	"github.com/cockroachdb/errors"

	"almondstep"
)

// MinPatchedEntryBytes is the minimum length of a registry entry, in bytes, whose changes
// are sent as patches.
const MinPatchedEntryBytes = 4 << 10

// MakeEntryPatch returns a newer revision of a registry entry as a patch of an older one,
// or unchanged if a patch would be no shorter.
func MakeEntryPatch(old, entry almondstep.RegistryEntry) almondstep.RegistryEntry {
	patch := Make([]byte(old.Value), []byte(entry.Value))
	if patch == nil {
		return entry
	}
	entry.Base = old.Revision
	entry.Sum = fingerprint([]byte(entry.Value))
	entry.Value = string(patch)
	return entry
}

// ApplyEntries replaces the patches among entries by the values that they result in.
// bases has the entries that the patches are based on. The error is
// almondstep.ErrCorrupt if a base is missing or a patch doesn't reproduce the value.
func ApplyEntries(bases, entries []almondstep.RegistryEntry) error {
	for i := range entries {
		e := &entries[i]
		if e.Base == 0 {
			continue
		}
		old, ok := entryAt(bases, e.Key, e.Base)
		if !ok {
			return errors.Wrapf(almondstep.ErrCorrupt, "no base for a patch of %s at revision %d", e.Key, e.Base)
		}
		value, err := Apply([]byte(old.Value), []byte(e.Value))
		if err != nil {
			return err
		}
		if fingerprint(value) != e.Sum {
			return errors.Wrapf(almondstep.ErrCorrupt, "patch of %s results in a different value", e.Key)
		}
		e.Value, e.Base, e.Sum = string(value), 0, 0
	}
	return nil
}

// entryAt looks up a revision of an entry.
func entryAt(entries []almondstep.RegistryEntry, key string, revision uint64) (almondstep.RegistryEntry, bool) {
	for _, e := range entries {
		if e.Key == key && e.Revision == revision {
			return e, true
		}
	}
	return almondstep.RegistryEntry{}, false
}
