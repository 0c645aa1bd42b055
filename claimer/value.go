package claimer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 512 << 10

// maxClaimBytes bounds the bytes that one claim adds to a value: the key, the holder
// (16 bytes), and four quotes, a colon and a comma.
const maxClaimBytes = maxMillisDigits + 1 + maxRandomLen + 16 + 6

// value has the claims of one bucket and slice, as the platform stores them:
//
//	{"slice":28888140,"claims":{"1733288400000-4f1c9a2b":"00000000000000a7"}}
type value struct {
	Slice int64 `json:"slice"`
	// Claims maps each key to its holder, as 16 hexadecimal digits.
	Claims map[string]string `json:"claims"`
}

// claimStatus is the status of a claim according to a value.
type claimStatus uint8

const (
	statusFree claimStatus = iota
	statusOwn
	statusTaken
)

// decodeValue decodes a value. An empty body is a value without claims.
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
		// A struct of strings and numbers can always be encoded.
		panic(err)
	}
	return body
}

// status returns whether a claim's key is free, held by the claim itself, or taken.
// Keys of a slice earlier than the value's count as taken, since their claims may
// already be deleted.
func (v value) status(c *claim) claimStatus {
	if c.key.slice() < v.Slice {
		return statusTaken
	}
	if c.key.slice() > v.Slice {
		return statusFree
	}
	switch holder, ok := v.Claims[c.key.text]; {
	case !ok:
		return statusFree
	case holder == c.holder.String():
		return statusOwn
	default:
		return statusTaken
	}
}

// withClaims returns the value with claims of one slice added. If the value is of
// another slice, its own claims are dropped.
func (v value) withClaims(slice int64, added []*claim) value {
	w := value{Slice: slice, Claims: make(map[string]string, len(v.Claims)+len(added))}
	if v.Slice == slice {
		for k, holder := range v.Claims {
			w.Claims[k] = holder
		}
	}
	for _, c := range added {
		w.Claims[c.key.text] = c.holder.String()
	}
	return w
}

// freeClaims returns the number of claims of a slice that can be added to the value.
func (v value) freeClaims(slice int64) int {
	if v.Slice != slice {
		return MaxValueBytes / maxClaimBytes
	}
	return max(0, MaxValueBytes/maxClaimBytes-len(v.Claims))
}
