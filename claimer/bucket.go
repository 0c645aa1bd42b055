package claimer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// FlushInterval is the minimum time between two batches of one bucket.
const FlushInterval = 100 * time.Millisecond

// claim is one call of Claim.
type claim struct {
	key      Key
	holder   almondstep.QueryID
	deadline almondstep.Instant
	outcome  chan almondstep.ClaimOutcome
}

// end sends the outcome. It doesn't block, since the channel's buffer has room for
// one outcome and a claim ends once.
func (c *claim) end(o almondstep.ClaimOutcome) { c.outcome <- o }

// stepKind is the kind of a step.
type stepKind uint8

const (
	// stepNone waits for a claim.
	stepNone stepKind = iota
	// stepWait waits for a claim or until an instant.
	stepWait
	// stepRead reads a value.
	stepRead
	// stepWrite writes a value by compare-and-swap.
	stepWrite
)

// step is the next action that a bucket requests from its driver.
type step struct {
	kind stepKind
	// until is the end of a stepWait.
	until almondstep.Instant
	// valueIndex is the value's index in bucket.values, slice the slice for which it
	// is read or written.
	valueIndex int64
	slice      int64
	// base is the revision on which a stepWrite is based, body the new value.
	base uint64
	body []byte
}

// valueState is the state of one of a bucket's values.
type valueState struct {
	// fresh is set once this bucket has read or written the value, until a write
	// fails.
	fresh    bool
	revision uint64
	value    value
	// invalid is set while the value is rejected as corrupt or reverted; that was
	// first found at invalidSince.
	invalid      bool
	invalidSince almondstep.Instant
}

// rejectInvalidFor is how long a corrupt or reverted value is rejected: until the
// keys of all claims that may be missing in it have expired.
const rejectInvalidFor = Window + 2*MaxSkew

// bucket decides what to read and write for the claims of one bucket. It does
// no I/O: the driver performs each step and reports its result, one at a time.
//
// For each batch of claims the value is read, if it isn't fresh; the claims that the
// value decides end; the others are written into it and then granted. After a
// conflict with another daemon's write, or a lost answer, the value is read again
// with the next batch, and the holders written in it show which of the two happened.
type bucket struct {
	pending []*claim
	values  [ValuesPerBucket]valueState
	// batch has the claims of the write in progress, and written is the value that
	// it writes.
	batch   []*claim
	written value
	// nextFlush is the earliest time of the next batch.
	nextFlush almondstep.Instant
	// reading is set from the start of a batch's read until its claims are settled or
	// the read fails. Meanwhile nextFlush doesn't delay the batch.
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
	valueIndex := first % ValuesPerBucket
	k := &b.values[valueIndex]
	if !b.reading {
		b.nextFlush = now.Add(FlushInterval)
	}
	if !k.fresh {
		b.reading = true
		return step{kind: stepRead, valueIndex: valueIndex, slice: first}
	}
	b.reading = false
	b.settle(valueIndex)
	return b.write(valueIndex)
}

// expire ends the pending claims whose deadline has passed as unavailable, so their
// requests don't run.
func (b *bucket) expire(now almondstep.Instant) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if now < c.deadline {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// settle ends the pending claims that the value at the index decides.
func (b *bucket) settle(valueIndex int64) {
	v := b.values[valueIndex].value
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%ValuesPerBucket != valueIndex {
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

// write makes a batch of the pending claims of one slice and returns the step that
// writes it. Of two claims of one key the first goes into the batch; the other is
// decided by the written value. Claims for which the value has no room end as
// unavailable.
func (b *bucket) write(valueIndex int64) step {
	slice, found := b.latestSlice(valueIndex)
	if !found {
		return b.nextAfterSettle()
	}
	k := b.values[valueIndex]
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
	return step{kind: stepWrite, valueIndex: valueIndex, slice: slice, base: k.revision, body: b.written.encode()}
}

// latestSlice returns the latest slice among the pending claims of a value. Claims of
// earlier slices count as taken once it is written.
func (b *bucket) latestSlice(valueIndex int64) (int64, bool) {
	slice, found := int64(0), false
	for _, c := range b.pending {
		if c.key.slice()%ValuesPerBucket == valueIndex && (!found || c.key.slice() > slice) {
			slice, found = c.key.slice(), true
		}
	}
	return slice, found
}

// nextAfterSettle returns the next step if there is nothing to write.
func (b *bucket) nextAfterSettle() step {
	if len(b.pending) == 0 {
		return step{kind: stepNone}
	}
	return step{kind: stepWait, until: b.nextFlush}
}

// readDone processes the result of a stepRead and returns the error of a failed or
// rejected one. Then the value's pending claims end as unavailable, since they can't
// be decided.
func (b *bucket) readDone(now almondstep.Instant, s step, e almondstep.Entry, err error) error {
	v := value{}
	if err == nil {
		v, err = b.values[s.valueIndex].decodeEntry(now, e)
	}
	if err != nil {
		b.reading = false
		b.failPending(s.valueIndex)
		return err
	}
	b.values[s.valueIndex] = valueState{fresh: true, revision: e.Revision, value: v}
	return nil
}

// decodeEntry decodes an entry read from the platform. It returns ErrStale if the
// revision is earlier than one read or written before, and ErrCorrupt for a corrupt
// value: claims may be missing, so none is granted until rejectInvalidFor has passed.
// Then it accepts the reverted value, or a corrupt one as a value without claims.
func (k *valueState) decodeEntry(now almondstep.Instant, e almondstep.Entry) (value, error) {
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

// failPending ends the pending claims of a value as unavailable, so their requests
// don't run.
func (b *bucket) failPending(valueIndex int64) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%ValuesPerBucket != valueIndex {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// writeDone processes the result of a stepWrite. After a conflict or a lost answer
// the batch is pending again, and the value must be read.
func (b *bucket) writeDone(s step, revision uint64, err error) {
	k := &b.values[s.valueIndex]
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
