// Package claimer claims idempotency keys, so that a request that must not run
// twice runs at most once.
//
// A caller's idempotency key is claimed by compare-and-swap in the platform's
// key-value store before the request runs. The claims of each bucket of keys are
// normally sent to one daemon, which writes them in batches, so that the number of
// writes is bounded however many claims there are. The query ID of the claim's
// holder is written with it, so that after a lost answer the value read back shows
// whether the write took effect or another request holds the key.
//
// A key contains its creation time, and is valid for Window. The claims of one
// bucket and slice (a minute of creation times) are one value; a bucket uses
// ValuesPerBucket values in rotation, and while a value has the claims of one slice,
// keys of an earlier slice count as taken. So no claim is deleted while its key can
// still be granted, whatever the daemons' clocks show.
//
//	c := &claimer.Claimer{Platform: p}
//	go c.Run(ctx)
//	switch c.Claim(ctx, &almondstep.ClaimKey{ID: id, Key: "1733288400000-4f1c9a2b", Remaining: time.Second}) {
//	case almondstep.ClaimGranted:
//		// This request, and no other with the key, may run.
//	}
package claimer

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	// Window is how long a key is valid after its creation time.
	Window = 10 * time.Minute
	// MaxSkew is how far a key's time may be ahead of the daemon's clock.
	MaxSkew = time.Minute
	// Buckets is the number of groups of keys. Normally one daemon writes the claims
	// of each.
	Buckets = 16
	// ValuesPerBucket is the number of values that a bucket uses in rotation, one
	// per minute of creation times.
	ValuesPerBucket = 16

	sliceLength     = time.Minute
	minRandomLen    = 8
	maxRandomLen    = 40
	decimalBase     = 10
	int64Bits       = 64
	maxMillisDigits = 13
)

// ErrKeyExpired is returned for a key that is older than Window, or more than
// MaxSkew in the future.
var ErrKeyExpired = errors.New("idempotency key is outside its window")

// Key is a parsed idempotency key. Its text is <unixMillis>-<random>, where random
// is 8 to 40 letters, digits, - or _.
type Key struct {
	text   string
	millis int64
}

// ParseKey parses a key. It returns ErrInvalid if the key is malformed.
func ParseKey(text string) (Key, error) {
	millis, random, found := strings.Cut(text, "-")
	if !found || len(millis) > maxMillisDigits {
		return Key{}, errors.Wrap(almondstep.ErrInvalid, "idempotency key must be <unixMillis>-<random>")
	}
	n, err := strconv.ParseInt(millis, decimalBase, int64Bits)
	if err != nil || n < 0 {
		return Key{}, errors.Wrap(almondstep.ErrInvalid, "idempotency key must begin with a time in milliseconds")
	}
	if len(random) < minRandomLen || len(random) > maxRandomLen || strings.ContainsFunc(random, isInvalidKeyRune) {
		return Key{}, errors.Wrapf(almondstep.ErrInvalid,
			"idempotency key must end with %d to %d letters, digits, - or _", minRandomLen, maxRandomLen)
	}
	return Key{text: text, millis: n}, nil
}

func isInvalidKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return false
	default:
		return true
	}
}

// Check returns ErrKeyExpired if at the time now the key is older than Window, or
// more than MaxSkew in the future.
func (k Key) Check(now time.Time) error {
	age := now.Sub(time.UnixMilli(k.millis))
	if age > Window || age < -MaxSkew {
		return errors.Wrapf(ErrKeyExpired, "it is %s old", age.Round(time.Second))
	}
	return nil
}

// String returns the key's text.
func (k Key) String() string { return k.text }

// Bucket returns the key's bucket, below Buckets. Claims are best sent to the daemon
// that writes the bucket, but any daemon may claim any key.
func (k Key) Bucket() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.text))
	return int(h.Sum32() % Buckets)
}

// slice returns the minute of the key's creation time, counted from 1970.
func (k Key) slice() int64 { return k.millis / sliceLength.Milliseconds() }

// valueKey returns the key under which the platform stores the value of a bucket and
// slice.
func valueKey(bucket int, slice int64) string {
	return fmt.Sprintf("almondstep/claims/%02d/%02d", bucket, slice%ValuesPerBucket)
}
