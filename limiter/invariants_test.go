package limiter_test

import (
	"strconv"

	"almondstep"
)

// started records a start and checks it against the actual state.
func (h *history) started(f *almondstep.StartAttempt) {
	c := &callRecord{start: f, boot: h.vm.Boot, open: true}
	c.deadline = h.now.Add(f.Timeout)
	c.runsUntil = c.deadline.Add(transit)
	if h.now < h.downUntil {
		c.refused = true
		c.runsUntil = h.now
	}
	h.calls = append(h.calls, c)
	running, open := h.running(), h.open()
	if h.provenWarm() {
		h.warmStarts++
	}
	switch {
	case !h.owned || h.grant == almondstep.GrantNone:
		h.fail("started without a grant")
	case h.vm.State == almondstep.VMLeaving:
		h.fail("started at a leaving upstream")
	case h.grant == almondstep.GrantWarmOnly && running > 1:
		h.fail("%d run under a grant for one request at a time", running)
	case f.Timeout <= 0:
		h.fail("started too late")
	case !c.refused && !h.provenWarm() && f.Timeout > almondstep.ColdAttemptTimeout:
		h.fail("timeout %v at a cold upstream", f.Timeout)
	case !h.provenWarm() && running > min(testSlots, 1+h.proven/coldRound):
		h.fail("%d run at a cold upstream with %d successes", running, h.proven)
	case open > testSlots:
		h.fail("%d in flight over %d slots", open, testSlots)
	}
	if !f.LivenessProbe {
		h.matchItem(c)
	}
}

// matchItem finds the item that a start is for, by the query ID in its text, and
// checks that it is started at most once and before its end.
func (h *history) matchItem(c *callRecord) {
	q, err := strconv.ParseUint(c.start.Text, 16, 64)
	c.query = almondstep.QueryID(q)
	it := h.items[c.query]
	if err != nil || it == nil {
		h.fail("started an item that never arrived")
		return
	}
	it.starts++
	if it.starts > 1 {
		h.fail("query %d started %d times", q, it.starts)
	}
	if it.ends > 0 {
		h.fail("query %d started after its end", q)
	}
}

// provenWarm reports whether the successes since the last cold start suffice for
// a warm upstream.
func (h *history) provenWarm() bool { return h.proven >= coldRound*testSlots }

// running returns the number of requests that run at the upstream.
func (h *history) running() int {
	n := 0
	for _, c := range h.calls {
		if c.runsUntil > h.now {
			n++
		}
	}
	return n
}

// open returns the number of calls that haven't ended at the daemon.
func (h *history) open() int {
	n := 0
	for _, c := range h.calls {
		if c.open {
			n++
		}
	}
	return n
}

// finished records the end of an item and checks its outcome.
func (h *history) finished(f *almondstep.ItemFinished) {
	it := h.items[f.ID]
	it.ends++
	if f.Answer.Outcome == almondstep.ItemNotRun && it.starts > 0 && !it.refused {
		h.fail("query %d ended as not run, but it was started", f.ID)
	}
	if it.starts > 0 && !it.refused && !it.work.Repeatable() && f.Answer.Outcome == almondstep.ItemCrashed {
		h.fail("query %d, which must not run again, ended as crashed", f.ID)
	}
}

// splitmix is a small seeded random number generator.
type splitmix uint64

func (s *splitmix) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (s *splitmix) below(n int) int { return int(s.next() % uint64(n)) }
