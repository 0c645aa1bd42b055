package admitter_test

import (
	"testing"

	"almondstep/admitter"
)

// upstreams stands for a service that can run so many searches at a time; of
// any more, every search open has sub-requests shed. Each search takes one tick.
type upstreams struct {
	capacity int
}

// load offers so many searches a tick for some ticks and counts those that
// were answered without a shed, and those open at the end of each tick.
func (u upstreams) load(a *admitter.Admitter, perTick, ticks int) (whole, open int) {
	c := catalog()
	for range ticks {
		taken := 0
		for range perTick {
			if _, ok := a.Admit(c, request("flood", 0)); ok {
				taken++
			}
		}
		shed := taken > u.capacity
		for range taken {
			a.Release("desk", "flood", shed)
		}
		open += taken
		if !shed {
			whole += taken
		}
	}
	return whole, open
}

// Under three times the load, most of the searches that are taken in are whole, and
// they are most of what the upstreams can run; afterwards all are taken in.
func TestOverload(t *testing.T) {
	a := admitter.New(1_000, 1)
	u := upstreams{capacity: 100}
	if whole, open := u.load(a, 80, 50); whole != 80*50 || open != 80*50 {
		t.Fatalf("%d of %d were whole below the capacity, want all %d", whole, open, 80*50)
	}
	whole, open := u.load(a, 300, 400)
	if least := 400 * 100 * 7 / 10; whole < least {
		t.Errorf("%d were whole, want at least %d", whole, least)
	}
	if whole < open*7/10 {
		t.Errorf("%d of %d taken in were whole, want at least 7 in 10", whole, open)
	}
	u.load(a, 80, 20)
	if whole, open := u.load(a, 80, 50); whole != 80*50 || open != 80*50 {
		t.Errorf("%d of %d were whole after the overload, want all %d", whole, open, 80*50)
	}
}

// What one service's upstreams shed takes no places from another.
func TestOverloadOfOneService(t *testing.T) {
	c, a := catalog(), admitter.New(100, 1)
	for range 1_000 {
		if _, ok := a.Admit(c, request("flood", 0)); ok {
			a.Release("desk", "flood", true)
		}
	}
	if got, want := a.Places("desk"), 2; got != want {
		t.Errorf("desk has %d places, want %d", got, want)
	}
	if got, want := a.Places("store"), 100; got != want {
		t.Errorf("store has %d places, want %d", got, want)
	}
}
