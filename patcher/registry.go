package patcher

import (
	"github.com/cockroachdb/errors"

	"almondstep"
)

// LongEntry is the length, in bytes, from which on a change of a registry's entry is
// told as a patch.
const LongEntry = 4 << 10

// MakeEntry gives a newer edition of a registry's entry as a patch of an older one,
// or as it is if a patch would be no shorter.
func MakeEntry(old, entry almondstep.RegistryEntry) almondstep.RegistryEntry {
	patch := Make([]byte(old.Value), []byte(entry.Value))
	if patch == nil {
		return entry
	}
	entry.Base = old.Revision
	entry.Sum = fingerprint([]byte(entry.Value))
	entry.Value = string(patch)
	return entry
}

// ApplyEntries puts whole values in place of the patches among entries. The held
// ones are what the patches were made from. The error is almondstep.ErrCorrupt if
// a patch doesn't give what it should.
func ApplyEntries(held, entries []almondstep.RegistryEntry) error {
	for i := range entries {
		e := &entries[i]
		if e.Base == 0 {
			continue
		}
		old, ok := edition(held, e.Key, e.Base)
		if !ok {
			return errors.Wrapf(almondstep.ErrCorrupt, "a patch of %s at %d, which isn't held", e.Key, e.Base)
		}
		value, err := Apply([]byte(old.Value), []byte(e.Value))
		if err != nil {
			return err
		}
		if fingerprint(value) != e.Sum {
			return errors.Wrapf(almondstep.ErrCorrupt, "a patch of %s gives another text", e.Key)
		}
		e.Value, e.Base, e.Sum = string(value), 0, 0
	}
	return nil
}

func edition(held []almondstep.RegistryEntry, key string, revision uint64) (almondstep.RegistryEntry, bool) {
	for _, h := range held {
		if h.Key == key && h.Revision == revision {
			return h, true
		}
	}
	return almondstep.RegistryEntry{}, false
}
