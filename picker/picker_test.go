package picker_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/picker"
)

func upstreams() (near, far *almondstep.Upstream, all []*almondstep.Upstream) {
	near = &almondstep.Upstream{ID: "near", Service: "s", Zone: "a", Region: "x", Slots: 2}
	far = &almondstep.Upstream{ID: "far", Service: "s", Zone: "b", Region: "y", Slots: 2}
	return near, far, []*almondstep.Upstream{far, near}
}

func anyOne(*almondstep.Upstream) bool { return true }

// load plays calls one after the other, each answered as answer says, and counts
// where they went.
func load(p *picker.Picker, from almondstep.Instant, calls int, all []*almondstep.Upstream, answer func(*almondstep.Upstream) *almondstep.CallEnded) (map[almondstep.UpstreamID]int, almondstep.Instant) {
	counts := map[almondstep.UpstreamID]int{}
	now := from
	for i := range calls {
		u, ok := p.Pick(now, all, anyOne)
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

func done(took time.Duration) *almondstep.CallEnded {
	return &almondstep.CallEnded{Result: almondstep.CallDone, Took: took}
}

// Load: all upstreams well. The near one answers.
func TestNearestFirst(t *testing.T) {
	_, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	counts, _ := load(p, 1, 50, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
		if u.ID == "near" {
			return done(9 * time.Millisecond)
		}
		return done(48 * time.Millisecond)
	})
	if got, want := counts["near"], 50; got != want {
		t.Errorf("got %d of %d calls near", got, want)
	}
}

// Load: the near upstream turns ten times slower for a while. Calls move to the
// far one, and come back when it is well again.
func TestSlowUpstreamIsLeftAndTriedAgain(t *testing.T) {
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
	_, now := load(p, 1, 30, all, answer(9*time.Millisecond))
	slow, now := load(p, now, 100, all, answer(90*time.Millisecond))
	if got, most := slow["near"], 30; got > most {
		t.Errorf("got %d of 100 calls at the slow upstream, want at most %d", got, most)
	}
	_, now = load(p, now, 60, all, answer(9*time.Millisecond))
	well, _ := load(p, now, 50, all, answer(9*time.Millisecond))
	if got, least := well["near"], 45; got < least {
		t.Errorf("got %d of 50 calls near after it is well again, want at least %d", got, least)
	}
}

// Load: the near upstream is in a pause, shown by a call that is overdue. New
// calls go elsewhere.
func TestPausedUpstreamIsPassedOver(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	_, now := load(p, 1, 30, all, func(*almondstep.Upstream) *almondstep.CallEnded { return done(9 * time.Millisecond) })
	p.Sent(now, near, 9999)
	now = now.Add(60 * time.Millisecond)
	if u, ok := p.Pick(now, all, anyOne); !ok || u.ID != "far" {
		t.Errorf("got %v, want the far upstream", u)
	}
}

// Load: the near upstream fails half of its requests at once. Most calls go to
// the far one.
func TestFailingUpstreamIsLeft(t *testing.T) {
	_, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	n := 0
	counts, _ := load(p, 1, 100, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
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

// Load: an upstream is gone; nobody listens. It is tried a few times and not at
// each request; with all gone there is none to pick.
func TestUnreachableUpstreamIsLeftAlone(t *testing.T) {
	_, far, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	counts, now := load(p, 1, 100, all, func(u *almondstep.Upstream) *almondstep.CallEnded {
		if u.ID == "far" {
			return done(48 * time.Millisecond)
		}
		return &almondstep.CallEnded{Result: almondstep.CallRefused, Took: time.Millisecond}
	})
	if got, most := counts["near"], 12; got > most {
		t.Errorf("got %d calls at the upstream that is gone, want at most %d", got, most)
	}
	p.Sent(now, far, 9999)
	p.Ended(now, far.ID, &almondstep.CallEnded{Call: 9999, Result: almondstep.CallRefused})
	near := all[1]
	p.Sent(now, near, 9998)
	p.Ended(now, near.ID, &almondstep.CallEnded{Call: 9998, Result: almondstep.CallRefused})
	if u, ok := p.Pick(now, all, anyOne); ok {
		t.Errorf("got %v, want none", u)
	}
}

// An upstream that starts again under its id is a new one: nothing that was seen
// before counts.
func TestRestartIsForgiven(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	p.Sent(1, near, 1)
	p.Ended(1, near.ID, &almondstep.CallEnded{Call: 1, Result: almondstep.CallMisdirected})
	if u, _ := p.Pick(2, all, anyOne); u == near {
		t.Error("got the upstream that another one's address answered for")
	}
	again := *near
	again.Started = time.UnixMilli(5)
	all[1] = &again
	if u, _ := p.Pick(2, all, anyOne); u != &again {
		t.Errorf("got %v, want the restarted upstream", u)
	}
}

// What the directory no longer lists is forgotten.
func TestKeepForgets(t *testing.T) {
	near, _, all := upstreams()
	p := &picker.Picker{Zone: "a", Region: "x"}
	p.Sent(1, near, 1)
	p.Ended(1, near.ID, &almondstep.CallEnded{Call: 1, Result: almondstep.CallRefused})
	p.Keep(almondstep.NewDirectory(almondstep.DirectorySpec{}))
	if u, _ := p.Pick(2, all, anyOne); u != near {
		t.Errorf("got %v, want the near upstream as if never seen", u)
	}
}
