package admitter_test

import (
	"testing"

	"almondstep/admitter"
)

// upstreams models a service that can run up to capacity searches at a time;
// above that, every open search has sub-requests shed. Each search takes one
// tick.
type upstreams struct {
	capacity int
}

// load offers perTick searches in each of some ticks and counts those that were
// answered without a shed, and those open at the end of each tick.
func (u upstreams) load(a *admitter.Admitter, perTick, ticks int) (complete, open int) {
	c := catalog()
	for range ticks {
		admitted := 0
		for range perTick {
			if _, ok := a.Admit(c, request("flood", 0)); ok {
				admitted++
			}
		}
		shed := admitted > u.capacity
		for range admitted {
			a.Release("desk", "flood", shed)
		}
		open += admitted
		if !shed {
			complete += admitted
		}
	}
	return complete, open
}

// At three times the capacity, most of the admitted searches are complete and
// use most of the capacity; afterwards all are admitted.
func TestOverload(t *testing.T) {
	a := admitter.New(1_000, 1)
	u := upstreams{capacity: 100}
	if complete, open := u.load(a, 80, 50); complete != 80*50 || open != 80*50 {
		t.Fatalf("%d of %d were complete below the capacity, want all %d", complete, open, 80*50)
	}
	complete, open := u.load(a, 300, 400)
	if minComplete := 400 * 100 * 7 / 10; complete < minComplete {
		t.Errorf("%d were complete, want at least %d", complete, minComplete)
	}
	if complete < open*7/10 {
		t.Errorf("%d of %d admitted were complete, want at least 7 in 10", complete, open)
	}
	u.load(a, 80, 20)
	if complete, open := u.load(a, 80, 50); complete != 80*50 || open != 80*50 {
		t.Errorf("%d of %d were complete after the overload, want all %d", complete, open, 80*50)
	}
}

// Sheds of one service's upstreams don't lower the limit of another.
func TestOverloadOfOneService(t *testing.T) {
	c, a := catalog(), admitter.New(100, 1)
	for range 1_000 {
		if _, ok := a.Admit(c, request("flood", 0)); ok {
			a.Release("desk", "flood", true)
		}
	}
	if got, want := a.Limit("desk"), 2; got != want {
		t.Errorf("desk has a limit of %d, want %d", got, want)
	}
	if got, want := a.Limit("store"), 100; got != want {
		t.Errorf("store has a limit of %d, want %d", got, want)
	}
}
