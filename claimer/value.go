package claimer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// MaxValueBytes is the size up to which claims are added to a value.
const MaxValueBytes = 512 << 10

// claimBytes bounds what one claim adds to a value: a key, a holder and their
// punctuation.
const claimBytes = maxKeyMillis + 1 + maxRandom + 16 + 6

// value is the claims of one bucket and slice, as the platform holds them:
//
//	{"slice":28888140,"claims":{"1733288400000-4f1c9a2b":"00000000000000a7"}}
type value struct {
	Slice int64 `json:"slice"`
	// Claims has the holder of each key, as 16 hexadecimal digits.
	Claims map[string]string `json:"claims"`
}

// standing is what a value says of a key.
type standing uint8

const (
	standingFree standing = iota
	standingOurs
	standingTaken
)

// decodeValue reads a value. An absent one has no claims.
func decodeValue(body []byte) (value, error) {
	v := value{}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &v); err != nil {
			return value{Claims: map[string]string{}}, errors.Mark(err, almondstep.ErrCorrupt)
		}
	}
	if v.Claims == nil {
		v.Claims = map[string]string{}
	}
	return v, nil
}

func (v value) encode() []byte {
	body, err := json.Marshal(v)
	if err != nil {
		// Strings and numbers always marshal.
		panic(err)
	}
	return body
}

// standing says whether a claim may be added, holds already, or can't. Keys of
// a slice earlier than the value's are taken: their claims may be forgotten.
func (v value) standing(c *claim) standing {
	if c.key.slice() < v.Slice {
		return standingTaken
	}
	if c.key.slice() > v.Slice {
		return standingFree
	}
	switch holder, ok := v.Claims[c.key.text]; {
	case !ok:
		return standingFree
	case holder == c.holder.String():
		return standingOurs
	default:
		return standingTaken
	}
}

// with gives the value with the claims of one slice added. Those of an earlier
// slice are dropped.
func (v value) with(slice int64, add []*claim) value {
	w := value{Slice: slice, Claims: make(map[string]string, len(v.Claims)+len(add))}
	if v.Slice == slice {
		for k, holder := range v.Claims {
			w.Claims[k] = holder
		}
	}
	for _, c := range add {
		w.Claims[c.key.text] = c.holder.String()
	}
	return w
}

// room is the number of claims that can still be added for a slice.
func (v value) room(slice int64) int {
	if v.Slice != slice {
		return MaxValueBytes / claimBytes
	}
	return max(0, MaxValueBytes/claimBytes-len(v.Claims))
}
