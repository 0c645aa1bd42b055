package claimer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// FlushEvery is the least time between two batches of one bucket.
const FlushEvery = 100 * time.Millisecond

// claim is one claim that waits for its outcome.
type claim struct {
	key      Key
	holder   almondstep.QueryID
	deadline almondstep.Instant
	outcome  chan almondstep.ClaimOutcome
}

// end gives the outcome. The channel has room for the only one.
func (c *claim) end(o almondstep.ClaimOutcome) { c.outcome <- o }

// stepKind says what a bucket wants done next.
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

// step is what a bucket wants done next.
type step struct {
	kind  stepKind
	until almondstep.Instant
	slot  int64
	slice int64
	base  uint64
	body  []byte
}

// known is what a bucket knows of one of its values.
type known struct {
	// fresh says that the value was read, or written by us, and no write since
	// has ended otherwise.
	fresh    bool
	revision uint64
	value    value
	// doubted says that the value was seen damaged or gone back, first at
	// doubtedSince.
	doubted      bool
	doubtedSince almondstep.Instant
}

// forgetAfter is how long a value that is damaged or went back is refused:
// until the claims it may have lost are of keys that have expired.
const forgetAfter = Window + 2*MaxSkew

// bucket decides what to read and write for the claims of one bucket. It does
// no I/O: the driver performs each step and brings back its end, one at a time.
//
// A batch is: read the value, if it isn't known; answer the claims it settles;
// write the others into it; grant them. When another daemon's write came first,
// or the answer was lost, the value is read again with the next batch, and the
// holders written in it tell which.
type bucket struct {
	pending   []*claim
	values    [SliceCount]known
	batch     []*claim
	written   value
	nextFlush almondstep.Instant
	// reading says that the present batch has read its value.
	reading bool
}

// add takes a claim in.
func (b *bucket) add(c *claim) { b.pending = append(b.pending, c) }

// next says what to do now.
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
		b.nextFlush = now.Add(FlushEvery)
	}
	if !k.fresh {
		b.reading = true
		return step{kind: stepRead, slot: slot, slice: first}
	}
	b.reading = false
	b.settle(slot)
	return b.write(slot)
}

// expire gives up the claims whose caller no longer waits. None of them runs.
func (b *bucket) expire(now almondstep.Instant) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if now < c.deadline {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// settle ends the pending claims that the slot's value already decides.
func (b *bucket) settle(slot int64) {
	v := b.values[slot].value
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%SliceCount != slot {
			return false
		}
		switch v.standing(c) {
		case standingOurs:
			c.end(almondstep.ClaimGranted)
		case standingTaken:
			c.end(almondstep.ClaimTaken)
		default:
			return false
		}
		return true
	})
}

// write puts the pending claims of one slice into a batch. Of two claims of one
// key the first goes into the batch; the other is settled by what was written.
func (b *bucket) write(slot int64) step {
	slice, found := b.latest(slot)
	if !found {
		return b.nextAfterSettle()
	}
	k := b.values[slot]
	room := k.value.room(slice)
	seen := map[string]bool{}
	b.batch = b.batch[:0]
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice() != slice || seen[c.key.text] {
			return false
		}
		if len(b.batch) >= room {
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
	b.written = k.value.with(slice, b.batch)
	return step{kind: stepWrite, slot: slot, slice: slice, base: k.revision, body: b.written.encode()}
}

// latest is the latest slice among the pending claims of a slot. Earlier ones
// of the slot are refused once it is written.
func (b *bucket) latest(slot int64) (int64, bool) {
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

// readDone brings the end of a stepRead. Without the value none of the claims
// for it can be decided.
func (b *bucket) readDone(now almondstep.Instant, s step, e almondstep.Entry, err error) error {
	v := value{}
	if err == nil {
		v, err = b.values[s.slot].take(now, e)
	}
	if err != nil {
		b.reading = false
		b.giveUp(s.slot)
		return err
	}
	b.values[s.slot] = known{fresh: true, revision: e.Revision, value: v}
	return nil
}

// take decodes what the platform shows. It returns ErrStale for an earlier
// revision than was seen before and ErrCorrupt for a damaged value: claims may
// be lost, so none is granted until their keys have expired.
func (k *known) take(now almondstep.Instant, e almondstep.Entry) (value, error) {
	v, err := decodeValue(e.Value)
	if err == nil && e.Revision < k.revision {
		err = errors.Wrapf(almondstep.ErrStale, "claims went back from revision %d to %d", k.revision, e.Revision)
	}
	if err == nil {
		return v, nil
	}
	if !k.doubted {
		k.doubted, k.doubtedSince = true, now
	}
	if now.Sub(k.doubtedSince) <= forgetAfter {
		return value{}, err
	}
	return v, nil
}

// giveUp ends the pending claims of a slot. None of them runs.
func (b *bucket) giveUp(slot int64) {
	b.pending = slices.DeleteFunc(b.pending, func(c *claim) bool {
		if c.key.slice()%SliceCount != slot {
			return false
		}
		c.end(almondstep.ClaimUnavailable)
		return true
	})
}

// writeDone brings the end of a stepWrite. After a conflict or a lost answer
// the batch goes back to the pending claims, and the value must be read.
func (b *bucket) writeDone(s step, revision uint64, err error) {
	k := &b.values[s.slot]
	if err != nil {
		k.fresh = false
		b.pending = append(slices.Clone(b.batch), b.pending...)
		b.batch = b.batch[:0]
		return
	}
	*k = known{fresh: true, revision: revision, value: b.written}
	for _, c := range b.batch {
		c.end(almondstep.ClaimGranted)
	}
	b.batch = b.batch[:0]
}
