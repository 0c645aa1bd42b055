package limiter_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// A request crashes a warm upstream, which comes back cold with a new boot.
func TestGoldenCrash(t *testing.T) {
	r := newHarness(t, limiter.Config{Seed: 1})
	r.warm()
	r.log.Reset()
	r.note("two requests run, a third waits, when the connections break")
	one := started(r.search(200 * time.Millisecond))[0].Call
	two := started(r.ask(&almondstep.Work{Fingerprint: 66}, 200*time.Millisecond))[0].Call
	r.search(300 * time.Millisecond)
	r.wait(5 * time.Millisecond)
	r.end(two, almondstep.CallBroken, "", 5*time.Millisecond)
	r.end(one, almondstep.CallBroken, "", 5*time.Millisecond)
	r.note("both may still run there until their deadlines, as far as is known")
	r.wait(246 * time.Millisecond)
	three := started(r.reduce(&almondstep.UpstreamTimer{Addr: addr, Purpose: almondstep.TimerQueue}))[0].Call
	r.note("the answer shows a new boot: it was a crash")
	r.wait(time.Millisecond)
	r.end(three, almondstep.CallDone, "boot2", time.Millisecond)
	r.wantGolden("crash")
}

// After a handover, queued items are refused and the call in flight finishes.
func TestGoldenHandover(t *testing.T) {
	r := newHarness(t, limiter.Config{Seed: 1})
	call := started(r.search(time.Second))[0].Call
	r.search(time.Second)
	r.note("another daemon becomes the owner")
	r.setView(almondstep.NewView(almondstep.ViewSpec{Self: "d1"}))
	r.search(time.Second)
	r.wait(time.Millisecond)
	r.end(call, almondstep.CallDone, "boot1", time.Millisecond)
	r.note("it comes back later: cold, whatever the zone says")
	r.wait(5 * time.Second)
	r.setView(viewOf(vm("boot1"), almondstep.GrantFull, almondstep.Warm))
	r.search(time.Second)
	r.search(time.Second)
	r.wantGolden("hand-over")
}
