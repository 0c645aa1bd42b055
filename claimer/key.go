// Package claimer gets the one run of a request that must not run twice.
//
// A caller's idempotency key is claimed by compare-and-swap in the platform's
// service before the request runs. The daemon that is the key's home collects
// claims and writes them in batches, so that the number of writes is bounded
// however many claims there are. The name of the claim's holder is written with
// it, so that a write whose answer was lost can be read back and told from a
// race that was lost.
//
// A key says when it was made, and is recognized for Window. The claims of one
// minute and bucket are one value; SliceCount values per bucket are used in
// turn, and a value that holds a later minute refuses the keys of the earlier
// one. So no claim is forgotten while its key can still be granted, whatever
// the daemons' clocks say.
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
	// Window is how long a key is recognized after the time it carries.
	Window = 10 * time.Minute
	// MaxSkew is how far a key's time may be ahead of the daemon's clock.
	MaxSkew = time.Minute
	// Buckets is the number of groups of keys; each has one home daemon.
	Buckets = 16
	// SliceCount is the number of values a bucket uses in turn, one a minute.
	SliceCount = 16

	sliceLength  = time.Minute
	minRandom    = 8
	maxRandom    = 40
	decimalBase  = 10
	int64Bits    = 64
	maxKeyMillis = 13
)

// ErrKeyExpired says that a key is older than Window, or from the future.
var ErrKeyExpired = errors.New("idempotency key is outside its window")

// Key is an idempotency key after it was checked. Its text is
// <unixMillis>-<random>, where random is 8 to 40 letters, digits, - or _.
type Key struct {
	text   string
	millis int64
}

// ParseKey checks the form of a key. It returns ErrInvalid if it is wrong.
func ParseKey(text string) (Key, error) {
	millis, random, found := strings.Cut(text, "-")
	if !found || len(millis) > maxKeyMillis {
		return Key{}, errors.Wrap(almondstep.ErrInvalid, "idempotency key must be <unixMillis>-<random>")
	}
	n, err := strconv.ParseInt(millis, decimalBase, int64Bits)
	if err != nil || n < 0 {
		return Key{}, errors.Wrap(almondstep.ErrInvalid, "idempotency key must begin with a time in milliseconds")
	}
	if len(random) < minRandom || len(random) > maxRandom || strings.ContainsFunc(random, notInKey) {
		return Key{}, errors.Wrapf(almondstep.ErrInvalid,
			"idempotency key must end with %d to %d letters, digits, - or _", minRandom, maxRandom)
	}
	return Key{text: text, millis: n}, nil
}

func notInKey(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return false
	default:
		return true
	}
}

// Check returns ErrKeyExpired if the key is outside its window at a time.
func (k Key) Check(now time.Time) error {
	age := now.Sub(time.UnixMilli(k.millis))
	if age > Window || age < -MaxSkew {
		return errors.Wrapf(ErrKeyExpired, "it is %s old", age.Round(time.Second))
	}
	return nil
}

// String is the key's text.
func (k Key) String() string { return k.text }

// Bucket is the key's bucket, below Buckets. The bucket's home daemon is where
// its claims are best collected; any daemon may claim any key.
func (k Key) Bucket() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.text))
	return int(h.Sum32() % Buckets)
}

// slice is the minute the key was made in.
func (k Key) slice() int64 { return k.millis / sliceLength.Milliseconds() }

// valueKey names the platform's value for a bucket and slice.
func valueKey(bucket int, slice int64) string {
	return fmt.Sprintf("almondstep/claims/%02d/%02d", bucket, slice%SliceCount)
}
