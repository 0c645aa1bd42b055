package picker_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/picker"
)

// upstreams returns one upstream in the picker's zone and one in another region.
func upstreams() (near, far *almondstep.Upstream, all []*almondstep.Upstream) {
	near = &almondstep.Upstream{ID: "near", Service: "s", Zone: "a", Region: "x", Slots: 2}
	far = &almondstep.Upstream{ID: "far", Service: "s", Zone: "b", Region: "y", Slots: 2}
	return near, far, []*almondstep.Upstream{far, near}
}

func allUsable(*almondstep.Upstream) bool { return true }

// simulate makes consecutive calls, each with the result that answer returns. It
// returns the number of calls by upstream and the time after the last one.
func simulate(p *picker.Picker, from almondstep.Instant, calls int, all []*almondstep.Upstream, answer func(*almondstep.Upstream) *almondstep.CallEnded) (map[almondstep.UpstreamID]int, almondstep.Instant) {
	counts := map[almondstep.UpstreamID]int{}
	now := from
	for i := range calls {
		u, ok := p.Pick(now, all, allUsable)
		if !ok {
			now = now.Add(20 * time.Millisecond)
			continue
		}
		counts[u.ID]++
		e := answer(u)
		e.Call = almondstep.CallID(int(from) + i)
		p.Sent(now, u, e.Call)
		now = now.Add(e.Took)
		p.Ended(now, u.ID, e)
		now = now.Add(20 * time.Millisecond)
	}
	return counts, now
}

// done returns the end of a successful call.
func done(took time.Duration) *almondstep.CallEnded {
	return &almondstep.CallEnded{Result: almondstep.CallDone, Took: took}
}

// Load: all upstreams are healthy. The near one gets the calls.
func TestNearestFirst(t *testing.T) {
	_, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	counts, _ := simulate(p, 1, 50, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
		if u.ID == "near" {
			return done(9 * time.Millisecond)
		}
		return done(48 * time.Millisecond)
	})
	if got, want := counts["near"], 50; got != want {
		t.Errorf("got %d calls at the near upstream, want %d", got, want)
	}
}

// Load: the near upstream is ten times slower for a while. Calls move to the far
// one, and back once the near one has recovered.
func TestSlowUpstreamIsAvoidedAndRetried(t *testing.T) {
	_, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	answer := func(near time.Duration) func(*almondstep.Upstream) *almondstep.CallEnded {
		return func(u *almondstep.Upstream) *almondstep.CallEnded {
			if u.ID == "near" {
				return done(near)
			}
			return done(48 * time.Millisecond)
		}
	}
	_, now := simulate(p, 1, 30, all, answer(9*time.Millisecond))
	slow, now := simulate(p, now, 100, all, answer(90*time.Millisecond))
	if got, most := slow["near"], 30; got > most {
		t.Errorf("got %d of 100 calls at the slow upstream, want at most %d", got, most)
	}
	_, now = simulate(p, now, 60, all, answer(9*time.Millisecond))
	recovered, _ := simulate(p, now, 50, all, answer(9*time.Millisecond))
	if got, least := recovered["near"], 45; got < least {
		t.Errorf("got %d of 50 calls at the near upstream after its recovery, want at least %d", got, least)
	}
}

// Load: the near upstream pauses, which shows as an overdue call. New calls go to the
// far one.
func TestPausedUpstreamIsSkipped(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	_, now := simulate(p, 1, 30, all, func(*almondstep.Upstream) *almondstep.CallEnded { return done(9 * time.Millisecond) })
	p.Sent(now, near, 9999)
	now = now.Add(60 * time.Millisecond)
	if u, ok := p.Pick(now, all, allUsable); !ok || u.ID != "far" {
		t.Errorf("got %v, want the far upstream", u)
	}
}

// Load: the near upstream fails half of its requests immediately. Most calls go to
// the far one.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	_, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	n := 0
	counts, _ := simulate(p, 1, 100, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
		if u.ID == "far" {
			return done(48 * time.Millisecond)
		}
		n++
		if n%2 == 0 {
			return &almondstep.CallEnded{Result: almondstep.CallRejected, Took: time.Millisecond}
		}
		return done(9 * time.Millisecond)
	})
	if got, most := counts["near"], 40; got > most {
		t.Errorf("got %d of 100 calls at the failing upstream, want at most %d", got, most)
	}
}

// Load: an upstream refuses connections. It is called a few times and not for each
// request. If all upstreams are in backoff, Pick returns none.
func TestUnreachableUpstreamIsInBackoff(t *testing.T) {
	_, far, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	counts, now := simulate(p, 1, 100, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
		if u.ID == "far" {
			return done(48 * time.Millisecond)
		}
		return &almondstep.CallEnded{Result: almondstep.CallRefused, Took: time.Millisecond}
	})
	if got, most := counts["near"], 12; got > most {
		t.Errorf("got %d calls at the unreachable upstream, want at most %d", got, most)
	}
	p.Sent(now, far, 9999)
	p.Ended(now, far.ID, &almondstep.CallEnded{Call: 9999, Result: almondstep.CallRefused})
	near := all[1]
	p.Sent(now, near, 9998)
	p.Ended(now, near.ID, &almondstep.CallEnded{Call: 9998, Result: almondstep.CallRefused})
	if u, ok := p.Pick(now, all, allUsable); ok {
		t.Errorf("got %v, want none", u)
	}
}

// An upstream that restarts under the same ID is treated as new, without earlier
// observations.
func TestRestartResetsState(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	p.Sent(1, near, 1)
	p.Ended(1, near.ID, &almondstep.CallEnded{Call: 1, Result: almondstep.CallMisdirected})
	if u, _ := p.Pick(2, all, allUsable); u == near {
		t.Error("got the misdirected upstream, want the far one")
	}
	restarted := *near
	restarted.Started = time.UnixMilli(5)
	all[1] = &restarted
	if u, _ := p.Pick(2, all, allUsable); u != &restarted {
		t.Errorf("got %v, want the restarted upstream", u)
	}
}

// The state of upstreams that the directory no longer lists is removed.
func TestUpdateDirectoryRemovesUnlistedUpstreams(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	p.Sent(1, near, 1)
	p.Ended(1, near.ID, &almondstep.CallEnded{Call: 1, Result: almondstep.CallRefused})
	p.UpdateDirectory(almondstep.NewDirectory(almondstep.DirectorySpec{}))
	if u, _ := p.Pick(2, all, allUsable); u != near {
		t.Errorf("got %v, want the near upstream without its backoff", u)
	}
}
