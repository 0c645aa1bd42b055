package storer

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// eraHeader counts how often the store was restored from a copy.
const eraHeader = "Store-Era"

// Era returns the era of the store that sent the answer; 0 if the answer states none. A
// malformed era is ErrUnavailable, since nothing of such an answer can be ordered.
func (a Answer) Era() (uint64, error) {
	values := a.Header.Values(eraHeader)
	if len(values) == 0 {
		return 0, nil
	}
	era, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || len(values) > 1 || era > almondstep.MaxRegistryEra {
		return 0, errors.Wrapf(almondstep.ErrUnavailable, "the store answered with the invalid era %.100q", values)
	}
	return era, nil
}
