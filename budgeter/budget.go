package budgeter

import (
	"time"

	"almondstep"
)

// CallKind is why an upstream is called.
type CallKind uint8

const (
	// First is the first call for a request, or for one of its shards. It isn't an extra
	// call.
	First CallKind = iota
	// Retry follows a failed call.
	Retry
	// Hedge duplicates a call that is still pending.
	Hedge
)

const (
	// slotsPerWindow is the number of slots into which a window is divided. One more
	// slot is counted, so that a sum covers every window that ends in the newest slot.
	slotsPerWindow = 40
	// usablePerMille is the part of the limit that is used. The rest is a margin for
	// extra calls that the counts miss: those sent by a daemon before it restarted
	// and lost its counts, and those that arrive late.
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
	// addition, in each window.
	Slack float64
	// Window is the time over which calls and requests are counted.
	Window time.Duration

	// since is when this process began, if an earlier one may have sent extra calls; otherwise 0.
	since    almondstep.Instant
	services map[almondstep.ServiceName]*window
}

// Begin records that this daemon's process begins now, and that an earlier one may have used its
// share: in the first window, only the margin is used.
func (b *Budget) Begin(now almondstep.Instant) { b.since = now }

// usable returns the part of the limit that is used, per mille.
func (b *Budget) usable(now almondstep.Instant) float64 {
	if b.since != 0 && now.Sub(b.since) < b.Window {
		return perMille - usablePerMille
	}
	return usablePerMille
}

// window counts the requests and extra calls of one service by slot.
type window struct {
	requests [slotsPerWindow + 1]uint32
	extra    [slotsPerWindow + 1]uint32
	newest   int64
}

// CountRequest counts a caller's request for the service.
func (b *Budget) CountRequest(now almondstep.Instant, s almondstep.ServiceName) {
	w := b.window(now, s)
	w.requests[w.index()]++
}

// Take reports whether this daemon may send an extra call, and counts it if so. The
// daemon's share is Ratio for each request that it has counted itself, plus Slack
// divided by divisor, which is the number of daemons if all have equal shares.
func (b *Budget) Take(now almondstep.Instant, s almondstep.ServiceName, divisor int, kind CallKind) bool {
	w := b.window(now, s)
	allowed := b.Ratio*float64(sum(w.requests)) + b.Slack/float64(max(1, divisor))
	allowed = allowed * b.usable(now) / perMille
	if kind == Hedge {
		allowed = allowed * hedgePerMille / perMille
	}
	if float64(sum(w.extra)+1) > allowed {
		return false
	}
	w.extra[w.index()]++
	return true
}

// Refund reverses Take for an extra call that never reached the service.
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
	slot := int64(time.Duration(now) / (b.Window / slotsPerWindow))
	w, ok := b.services[s]
	if !ok {
		w = &window{newest: slot}
		b.services[s] = w
	}
	w.advance(slot)
	return w
}

// advance makes slot the newest one and clears the slots that have left the window.
func (w *window) advance(slot int64) {
	if slot-w.newest > slotsPerWindow {
		*w = window{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		i := w.index()
		w.requests[i], w.extra[i] = 0, 0
	}
}

// index returns the position of the newest slot.
func (w *window) index() int { return int(w.newest % (slotsPerWindow + 1)) }

func sum(counts [slotsPerWindow + 1]uint32) uint32 {
	total := uint32(0)
	for _, n := range counts {
		total += n
	}
	return total
}
