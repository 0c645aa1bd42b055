package admitter_test

import (
	"testing"

	"almondstep/admitter"
)

// upstreams models a service with the capacity for some searches at a time. If
// more are open, every one of them has sub-requests shed. Each search takes one
// tick.
type upstreams struct {
	capacity int
}

// load offers perTick searches in each tick. It returns the number of searches
// that were admitted, and of those the number that were answered without a shed.
func (u upstreams) load(a *admitter.Admitter, perTick, ticks int) (complete, admitted int) {
	c := catalog()
	for range ticks {
		inTick := 0
		for range perTick {
			if _, ok := a.Admit(c, request("flood", 0)); ok {
				inTick++
			}
		}
		shed := inTick > u.capacity
		for range inTick {
			a.Release("desk", "flood", shed)
		}
		admitted += inTick
		if !shed {
			complete += inTick
		}
	}
	return complete, admitted
}

// At three times the capacity, most of the admitted searches are complete and use
// most of the capacity; after the overload all are admitted.
func TestOverload(t *testing.T) {
	a := admitter.New(1_000, 1)
	u := upstreams{capacity: 100}
	if complete, admitted := u.load(a, 80, 50); complete != 80*50 || admitted != 80*50 {
		t.Fatalf("got %d of %d admitted complete below the capacity, want all %d", complete, admitted, 80*50)
	}
	complete, admitted := u.load(a, 300, 400)
	if minComplete := 400 * 100 * 7 / 10; complete < minComplete {
		t.Errorf("got %d complete, want at least %d", complete, minComplete)
	}
	if complete < admitted*7/10 {
		t.Errorf("got %d of %d admitted complete, want at least 7 in 10", complete, admitted)
	}
	u.load(a, 80, 20)
	if complete, admitted := u.load(a, 80, 50); complete != 80*50 || admitted != 80*50 {
		t.Errorf("got %d of %d admitted complete after the overload, want all %d", complete, admitted, 80*50)
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
		t.Errorf("got a limit of %d for desk, want %d", got, want)
	}
	if got, want := a.Limit("store"), 100; got != want {
		t.Errorf("got a limit of %d for store, want %d", got, want)
	}
}
