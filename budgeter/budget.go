package budgeter

import (
	"time"

	"almondstep"
)

// Use is what a further call is for.
type Use uint8

const (
	// Retry follows a failed call.
	Retry Use = iota
	// Hedge goes beside a call that is still out.
	Hedge
)

const (
	// slots divide the window; a slot more is counted, so that a sum covers every
	// window that ends in the newest slot.
	slots = 40
	// usablePerMille is the part of the bound that is used. The rest covers what
	// the daemons can't see of each other: a daemon that has just started anew
	// and has forgotten what it sent, and calls that arrive late.
	usablePerMille = 800
	// hedgePerMille is the part of the usable bound that hedges may fill; the
	// rest is left for retries after failures.
	hedgePerMille = 800
	perMille      = 1000
)

// Budget bounds the calls beyond the first of each request, for each service
// over a sliding window. Set the fields before the first call.
type Budget struct {
	// Ratio is the number of further calls allowed for each request.
	Ratio float64
	// Slack is the number of further calls that all daemons together may send
	// besides.
	Slack float64
	// Window is the span over which calls and requests are counted.
	Window time.Duration

	services map[almondstep.ServiceName]*window
}

// window counts the requests and further calls of one service by slot.
type window struct {
	needed [slots + 1]uint32
	extra  [slots + 1]uint32
	newest int64
}

// Need counts a caller's request for the service.
func (b *Budget) Need(now almondstep.Instant, s almondstep.ServiceName) {
	w := b.window(now, s)
	w.needed[w.index()]++
}

// Take counts a further call, if the bound allows it among so many daemons.
func (b *Budget) Take(now almondstep.Instant, s almondstep.ServiceName, daemons int, use Use) bool {
	w := b.window(now, s)
	allowed := b.Ratio*float64(sum(w.needed)) + b.Slack/float64(max(1, daemons))
	allowed = allowed * usablePerMille / perMille
	if use == Hedge {
		allowed = allowed * hedgePerMille / perMille
	}
	if float64(sum(w.extra)+1) > allowed {
		return false
	}
	w.extra[w.index()]++
	return true
}

// Refund takes a further call back that never reached the service.
func (b *Budget) Refund(now almondstep.Instant, s almondstep.ServiceName) {
	w := b.window(now, s)
	if i := w.index(); w.extra[i] > 0 {
		w.extra[i]--
	}
}

// window finds the service's counts and moves them to the present slot.
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
