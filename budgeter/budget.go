package budgeter

import (
	"time"

	"almondstep"
)

// CallKind is the kind of an extra call.
type CallKind uint8

const (
	// Retry follows a failed call.
	Retry CallKind = iota
	// Hedge duplicates a call that is still pending.
	Hedge
)

const (
	// slots is the number of slots in a window. One more slot is counted, so that
	// a sum covers every window that ends in the newest slot.
	slots = 40
	// usablePerMille is the part of the limit that is used. The rest covers what
	// the daemons can't observe of each other: a daemon that has just restarted
	// and lost its counts, and calls that arrive late.
	usablePerMille = 800
	// hedgePerMille is the part of the usable limit that hedges may take; the
	// rest is reserved for retries after failures.
	hedgePerMille = 800
	perMille      = 1000
)

// Budget limits the calls beyond the first of each request, for each service
// over a sliding window. Set the fields before the first method call.
type Budget struct {
	// Ratio is the number of extra calls allowed for each request.
	Ratio float64
	// Slack is the number of extra calls that all daemons together may send in
	// addition.
	Slack float64
	// Window is the span over which calls and requests are counted.
	Window time.Duration

	services map[almondstep.ServiceName]*window
}

// window counts the requests and extra calls of one service by slot.
type window struct {
	needed [slots + 1]uint32
	extra  [slots + 1]uint32
	newest int64
}

// CountRequest counts a caller's request for the service.
func (b *Budget) CountRequest(now almondstep.Instant, s almondstep.ServiceName) {
	w := b.window(now, s)
	w.needed[w.index()]++
}

// Take counts an extra call and reports whether this daemon's share, one of
// daemons, allows it.
func (b *Budget) Take(now almondstep.Instant, s almondstep.ServiceName, daemons int, kind CallKind) bool {
	w := b.window(now, s)
	allowed := b.Ratio*float64(sum(w.needed)) + b.Slack/float64(max(1, daemons))
	allowed = allowed * usablePerMille / perMille
	if kind == Hedge {
		allowed = allowed * hedgePerMille / perMille
	}
	if float64(sum(w.extra)+1) > allowed {
		return false
	}
	w.extra[w.index()]++
	return true
}

// Refund returns an extra call that never reached the service.
func (b *Budget) Refund(now almondstep.Instant, s almondstep.ServiceName) {
	w := b.window(now, s)
	if i := w.index(); w.extra[i] > 0 {
		w.extra[i]--
	}
}

// window returns the service's counts, advanced to the current slot.
func (b *Budget) window(now almondstep.Instant, s almondstep.ServiceName) *window {
	if b.services == nil {
		b.services = make(map[almondstep.ServiceName]*window)
	}
	slot := int64(time.Duration(now) / (b.Window / slots))
	w, ok := b.services[s]
	if !ok {
		w = &window{newest: slot}
		b.services[s] = w
	}
	w.advance(slot)
	return w
}

func (w *window) advance(slot int64) {
	if slot-w.newest > slots {
		*w = window{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		i := w.index()
		w.needed[i], w.extra[i] = 0, 0
	}
}

func (w *window) index() int { return int(w.newest % (slots + 1)) }

func sum(counts [slots + 1]uint32) uint32 {
	total := uint32(0)
	for _, n := range counts {
		total += n
	}
	return total
}
