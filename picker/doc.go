// Package picker chooses the upstream that is likely to answer first, from what
// this daemon has seen of each.
//
// It answers uneven load: single upstreams that pause, turn slow, fail some of
// their requests or don't answer at all, while the others of their service are
// well. Nearest comes first as long as it answers as usual. Each upstream has an
// estimate of its latency (mean and deviation, as in TCP's retransmission timer),
// which fades when nothing new is seen, so that a slow upstream is tried again.
//
//	p := &picker.Picker{Zone: "curico-plant", Region: "maule"}
//	u, ok := p.Pick(now, upstreams, func(u *almondstep.Upstream) bool { return true })
//	p.Sent(now, u, call)
//	p.Ended(now, u.ID, ended)
//
// It has no clock and does no I/O.
package picker
