package pauser_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/pauser"
)

const second = almondstep.Instant(time.Second)

func upstream(started int64) *almondstep.Upstream {
	return &almondstep.Upstream{ID: "i1", Service: "s", Started: time.UnixMilli(started)}
}

func ExamplePauser() {
	u := upstream(1)
	p := &pauser.Pauser{}
	p.Begin(second, u, u.Run(), 2*time.Second)
	end := second.Add(p.Wait(second, u.ID))
	for range 2 {
		p.Sent(u.ID)
		fmt.Println("wait beside one call:", p.Wait(end, u.ID))
		p.Ended(end, u.ID, almondstep.CallDone)
	}
	// Output:
	// wait beside one call: 50ms
	// wait beside one call: 0s
}

// The ends of pauses that were asked for at the same time are spread over a quarter of them, a second
// at most, and none ends early.
func TestEndsAreSpread(t *testing.T) {
	for after, spread := range map[time.Duration]time.Duration{2 * time.Second: 500 * time.Millisecond, time.Minute: time.Second} {
		seen := map[time.Duration]bool{}
		for seed := range uint64(50) {
			p := &pauser.Pauser{Random: almondstep.NewRandom(seed)}
			p.Begin(second, upstream(1), upstream(1).Run(), after)
			got := p.Wait(second, "i1")
			if got < after || got > after+spread {
				t.Errorf("got a pause of %v, want %v to %v", got, after, after+spread)
			}
			seen[got] = true
		}
		if got, least := len(seen), 40; got < least {
			t.Errorf("got %d different ends, want at least %d", got, least)
		}
	}
}

// A later answer with a shorter time doesn't end a pause, and an answer that turns a call away
// doesn't let more calls return.
func TestPauseIsNotShortened(t *testing.T) {
	p := &pauser.Pauser{}
	p.Begin(second, upstream(1), upstream(1).Run(), 10*time.Second)
	p.Begin(2*second, upstream(1), upstream(1).Run(), time.Millisecond)
	if got, want := p.Wait(2*second, "i1"), 9*time.Second; got < want {
		t.Errorf("got a wait of %v, want at least %v", got, want)
	}
	end := 20 * second
	p.Sent("i1")
	p.Ended(end, "i1", almondstep.CallShed)
	p.Sent("i1")
	if got, want := p.Wait(end, "i1"), pauser.MinWait; got != want {
		t.Errorf("got a wait of %v beside a call, want %v", got, want)
	}
}

// What is remembered of upstreams ends with them, or some time after their pauses.
func TestRetain(t *testing.T) {
	d := almondstep.NewDirectory(almondstep.DirectorySpec{
		Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{"s": {upstream(2)}},
	})
	p := &pauser.Pauser{}
	p.Begin(second, upstream(1), upstream(1).Run(), time.Minute)
	p.Retain(3*second, d)
	if got := p.Wait(3*second, "i1"); got != 0 {
		t.Errorf("got a wait of %v for another run, want none", got)
	}
	if !p.FillsUp(3*second, "s") || p.FillsUp(40*second, "s") {
		t.Error("the service doesn't count as one that fills up, or does for too long")
	}
	if !p.AddOdd("i1", "i1@1") || p.AddOdd("i1", "i1@1") || !p.AddOdd("i1", "i1@2") {
		t.Error("an odd time isn't new once for each run")
	}
}
