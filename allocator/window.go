package allocator

import (
	"time"

	"almondstep"
)

// windowSlots is the number of slots into which a window is divided. One more slot of grants is
// counted, so that a sum covers every window that ends in the newest slot.
const windowSlots = 50

// window holds what was granted from a bucket, and what its fractions of the limit allowed, in the
// last window. While the fractions stay, what all buckets grant in a window is at most the limit of
// a window, since the fractions sum to at most 1. When a fraction moves, what its former holder has
// granted stays in the window: the surplus covers that (minWindowedSurplus).
type window struct {
	length  time.Duration
	updated almondstep.Instant
	granted [windowSlots + 1]float64
	allowed [windowSlots + 1]float64
}

func (w *window) slot() time.Duration { return w.length / windowSlots }

// index returns the position of the slot of an instant.
func (w *window) index(at almondstep.Instant) int {
	return int(int64(time.Duration(at)/w.slot()) % (windowSlots + 1))
}

// advance adds what is allowed since the last call, at rate requests per second, and clears the
// slots that have left the window.
func (w *window) advance(now almondstep.Instant, rate float64) {
	if now.Sub(w.updated) > w.length+w.slot() {
		w.granted, w.allowed = [windowSlots + 1]float64{}, [windowSlots + 1]float64{}
		w.updated = now.Add(-w.length - w.slot())
	}
	for {
		i := w.index(w.updated)
		end := almondstep.Instant((time.Duration(w.updated)/w.slot() + 1) * w.slot())
		until := min(end, now)
		w.allowed[i] += rate * until.Sub(w.updated).Seconds()
		w.updated = max(w.updated, until)
		if end > now {
			return
		}
		next := w.index(end)
		w.granted[next], w.allowed[next] = 0, 0
	}
}

// fill sets what is allowed to that of a whole window at rate requests per second.
func (w *window) fill(rate float64) {
	for i := range w.allowed {
		w.allowed[i] = rate * w.slot().Seconds()
	}
}

// allow adds to what is allowed in the newest slot.
func (w *window) allow(requests float64) { w.allowed[w.index(w.updated)] += requests }

// grant counts requests that were granted, or with a negative number returned.
func (w *window) grant(requests float64) {
	i := w.index(w.updated)
	w.granted[i] = max(0, w.granted[i]+requests)
}

// wait returns the time until one more request may be granted: until enough of those in the
// oldest slots have left the window. It is 0 if one may now.
func (w *window) wait() time.Duration {
	oldest := (w.index(w.updated) + 1) % (windowSlots + 1)
	excess := 1 - wholeTolerance
	for i := range w.granted {
		excess += w.granted[i]
		if i != oldest {
			excess -= w.allowed[i]
		}
	}
	slots := 0
	for excess > 0 && slots <= windowSlots {
		excess -= w.granted[(oldest+slots)%(windowSlots+1)]
		slots++
	}
	return time.Duration(slots) * w.slot()
}
