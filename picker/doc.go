// Package picker chooses the upstream that is likely to answer first, by this
// daemon's observations of each.
//
// It handles uneven load: single upstreams that pause, become slow, fail some of
// their requests or don't answer at all, while the others of their service are
// healthy. The nearest one is preferred as long as its latency is normal. The latency
// of each upstream is estimated (mean and deviation, as in TCP's retransmission
// timer), as it would be at the usual pace. Without new observations the estimate
// expires; that of a slow upstream is kept for longer, and the upstream gets single trial
// calls. Of two upstreams that are nearly equal, one is chosen at random.
//
//	p := &picker.Picker{Zone: "curico-plant", Region: "maule"}
//	u, ok := p.Pick(now, upstreams, func(u *almondstep.Upstream) bool { return true })
//	p.Sent(now, u, call)
//	p.Ended(now, u.ID, ended)
//
// It has no clock and does no I/O.
package picker
