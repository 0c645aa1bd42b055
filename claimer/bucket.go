package claimer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// FlushInterval is the minimum time between two batches of one bucket.
const FlushInterval = 100 * time.Millisecond

// claim is a pending claim.
type claim struct {
	key      Key
	holder   almondstep.QueryID
	deadline almondstep.Instant
	outcome  chan almondstep.ClaimOutcome
}

// end sends the outcome. It doesn't block, as the channel has room for one outcome.
func (c *claim) end(o almondstep.ClaimOutcome) { c.outcome <- o }

// stepKind is the kind of a step.
type stepKind uint8

const (
	// stepNone waits for claims.
	stepNone stepKind = iota
	// stepWait waits until an instant.
	stepWait
	// stepRead reads a value.
	stepRead
	// stepWrite writes a value by compare-and-swap.
	stepWrite
)

// step is the next action that a bucket requests from its driver.
type step struct {
	kind  stepKind
	until almondstep.Instant
	slot  int64
	slice int64
	base  uint64
	body  []byte
}

// valueState is the state of one of a bucket's values.
type valueState struct {
	// fresh: the value was read or written by this bucket, and no write has failed
	// since.
	fresh    bool
	revision uint64
	value    value
	// invalid: the value was found corrupt or reverted, first at invalidSince.
	invalid      bool
	invalidSince almondstep.Instant
}

// rejectInvalidFor is how long a corrupt or reverted value is rejected: until the
// keys of all claims that it may have lost have expired.
const rejectInvalidFor = Window + 2*MaxSkew

// bucket decides what to read and write for the claims of one bucket. It does
// no I/O: the driver performs each step and reports its result, one at a time.
//
// A batch reads the value, if it isn't fresh; ends the claims that the value
// decides; writes the others into it; and grants them. After a conflict with another
// daemon's write, or a lost answer, the value is read again with the next batch, and
// the holders written in it show which of the two it was.
type bucket struct {
	pending   []*claim
	values    [SliceCount]valueState
	batch     []*claim
	written   value
	nextFlush almondstep.Instant
	// reading: the present batch is reading, or has read, its value.
	reading bool
}

func (b *bucket) add(c *claim) { b.pending = append(b.pending, c) }

// next returns the next step.
func (b *bucket) next(now almondstep.Instant) step {
	b.expire(now)
	if len(b.pending) == 0 {
		return step{kind: stepNone}
	}
	if !b.reading && now < b.nextFlush {
		return step{kind: stepWait, until: b.nextFlush}
	}
	first := b.pending[0].key.slice()
	slot := first % SliceCount
	k := &b.values[slot]
	if !b.reading {
		b.nextFlush = now.Add(FlushInterval)
	}
	if !k.fresh {
		b.reading = true
		return step{kind: stepRead, slot: slot, slice: first}
	}
	b.reading = false
	b.settle(slot)
	return b.write(slot)
}

// expire ends the claims whose caller no longer waits. None of them runs.
func (b *bucket) expire(now almondstep.Instant) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if now < c.deadline {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// settle ends the pending claims that the slot's value decides.
func (b *bucket) settle(slot int64) {
	v := b.values[slot].value
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%SliceCount != slot {
			return false
		}
		switch v.status(c) {
		case statusOwn:
			c.end(almondstep.ClaimGranted)
		case statusTaken:
			c.end(almondstep.ClaimTaken)
		default:
			return false
		}
		return true
	})
}

// write makes a batch of the pending claims of one slice. Of two claims of one key
// the first goes into the batch; the other is settled by the written value.
func (b *bucket) write(slot int64) step {
	slice, found := b.latestSlice(slot)
	if !found {
		return b.nextAfterSettle()
	}
	k := b.values[slot]
	free := k.value.freeClaims(slice)
	seen := map[string]bool{}
	b.batch = b.batch[:0]
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice() != slice || seen[c.key.text] {
			return false
		}
		if len(b.batch) >= free {
			c.end(almondstep.ClaimUnavailable)
			return true
		}
		seen[c.key.text] = true
		b.batch = append(b.batch, c)
		return true
	})
	if len(b.batch) == 0 {
		return b.nextAfterSettle()
	}
	b.written = k.value.withClaims(slice, b.batch)
	return step{kind: stepWrite, slot: slot, slice: slice, base: k.revision, body: b.written.encode()}
}

// latestSlice returns the latest slice among the pending claims of a slot. Claims of
// earlier slices of the slot are refused once it is written.
func (b *bucket) latestSlice(slot int64) (int64, bool) {
	slice, found := int64(0), false
	for _, c := range b.pending {
		if c.key.slice()%SliceCount == slot && (!found || c.key.slice() > slice) {
			slice, found = c.key.slice(), true
		}
	}
	return slice, found
}

func (b *bucket) nextAfterSettle() step {
	if len(b.pending) == 0 {
		return step{kind: stepNone}
	}
	return step{kind: stepWait, until: b.nextFlush}
}

// readDone processes the result of a stepRead. If it failed, the pending claims of
// the slot end as unavailable, since they can't be decided.
func (b *bucket) readDone(now almondstep.Instant, s step, e almondstep.Entry, err error) error {
	v := value{}
	if err == nil {
		v, err = b.values[s.slot].take(now, e)
	}
	if err != nil {
		b.reading = false
		b.failPending(s.slot)
		return err
	}
	b.values[s.slot] = valueState{fresh: true, revision: e.Revision, value: v}
	return nil
}

// take decodes the platform's entry. It returns ErrStale for an earlier revision
// than was seen before and ErrCorrupt for a corrupt value: claims may be lost, so
// none is granted until their keys have expired.
func (k *valueState) take(now almondstep.Instant, e almondstep.Entry) (value, error) {
	v, err := decodeValue(e.Value)
	if err == nil && e.Revision < k.revision {
		err = errors.Wrapf(almondstep.ErrStale, "claims reverted from revision %d to %d", k.revision, e.Revision)
	}
	if err == nil {
		return v, nil
	}
	if !k.invalid {
		k.invalid, k.invalidSince = true, now
	}
	if now.Sub(k.invalidSince) <= rejectInvalidFor {
		return value{}, err
	}
	return v, nil
}

// failPending ends the pending claims of a slot as unavailable. None of them runs.
func (b *bucket) failPending(slot int64) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%SliceCount != slot {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// writeDone processes the result of a stepWrite. After a conflict or a lost answer
// the batch is pending again, and the value must be read.
func (b *bucket) writeDone(s step, revision uint64, err error) {
	k := &b.values[s.slot]
	if err != nil {
		k.fresh = false
		b.pending = append(slices.Clone(b.batch), b.pending...)
		b.batch = b.batch[:0]
		return
	}
	*k = valueState{fresh: true, revision: revision, value: b.written}
	for _, c := range b.batch {
		c.end(almondstep.ClaimGranted)
	}
	b.batch = b.batch[:0]
}
