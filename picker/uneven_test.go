package picker_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/picker"
)

// replicas returns three upstreams of one service in the picker's zone.
func replicas() []*almondstep.Upstream {
	var all []*almondstep.Upstream
	for _, id := range []almondstep.UpstreamID{"u1", "u2", "u3"} {
		all = append(all, &almondstep.Upstream{ID: id, Service: "s", Zone: "a", Region: "x", Slots: 2})
	}
	return all
}

// end makes a call that takes some time and ends with a reported load.
func end(p *picker.Picker, now almondstep.Instant, u *almondstep.Upstream, took time.Duration, load almondstep.UpstreamLoad) {
	call := almondstep.CallID(now)
	p.Sent(now, u, call)
	p.Ended(now.Add(took), u.ID, &almondstep.CallEnded{Call: call, Result: almondstep.CallDone, Took: took, Load: &load})
}

// A latency measured at three times the usual pace would otherwise make an upstream look
// slow after its pace is back at the usual one.
func TestLatencyFollowsPace(t *testing.T) {
	p := &picker.Picker{Zone: "a", Region: "x"}
	u := replicas()[0]
	now := almondstep.Instant(time.Second)
	for ; now < almondstep.Instant(2*time.Second); now = now.Add(50 * time.Millisecond) {
		end(p, now, u, 10*time.Millisecond, almondstep.UpstreamLoad{Slots: 2, Pace: 100})
	}
	usual := p.ExpectedLatency(now, u)
	end(p, now.Add(-28*time.Millisecond), u, 28*time.Millisecond, almondstep.UpstreamLoad{Slots: 2, Pace: 300})
	if got, least := p.ExpectedLatency(now, u), 2*usual; got < least {
		t.Errorf("got %v at three times the pace, want at least %v", got, least)
	}
	if got, most := p.ExpectedLatency(now.Add(600*time.Millisecond), u), usual*3/2; got > most {
		t.Errorf("got %v 600ms after the report, want at most %v", got, most)
	}
}

// Many daemons that see the same idle upstream would otherwise all call it at once. One that
// reports a queue gets no call as long as there are two without.
func TestIdleUpstreamIsNotHerded(t *testing.T) {
	const pickers = 300
	all := replicas()
	counts := map[almondstep.UpstreamID]int{}
	for seed := range uint64(pickers) {
		p := &picker.Picker{Zone: "a", Region: "x", Seed: seed * 7919}
		for i, u := range all {
			end(p, 1, u, 10*time.Millisecond, almondstep.UpstreamLoad{Running: min(2, 2*i), Waiting: 2 * (i / 2), Slots: 2})
		}
		u, _ := p.Pick(almondstep.Instant(11*time.Millisecond), all, allUsable)
		counts[u.ID]++
	}
	if got, most := counts["u1"], pickers*2/3; got > most || got < pickers/2 {
		t.Errorf("got %d of %d calls at the idle upstream, want %d to %d", got, pickers, pickers/2, most)
	}
	if counts["u2"] < pickers/4 || counts["u3"] > 0 {
		t.Errorf("got %v, want no call at the upstream that reports a queue", counts)
	}
}

// play sends 50 calls a second for some time, of which those to u1 take slow and the
// others 16 ms, and returns the instants of the calls to u1.
func play(p *picker.Picker, now *almondstep.Instant, all []*almondstep.Upstream, length, slow time.Duration, pace int) []almondstep.Instant {
	var calls []almondstep.Instant
	for until := now.Add(length); *now < until; *now = now.Add(20 * time.Millisecond) {
		u, _ := p.Pick(*now, all, allUsable)
		took, load := 16*time.Millisecond, almondstep.UpstreamLoad{Slots: 2}
		if u.ID == "u1" {
			calls = append(calls, *now)
			took, load.Pace = slow, pace
		}
		end(p, *now, u, took, load)
	}
	return calls
}

// A slow upstream would otherwise get calls at the full rate each time that its estimate
// expires; one that has recovered must be found again soon. The slow upstream reports no
// pace in the first case, and its pace in the second.
func TestSlowUpstreamIsRetriedSeldom(t *testing.T) {
	for _, pace := range []int{0, 1200} {
		p := &picker.Picker{Zone: "a", Region: "x"}
		all, now := replicas(), almondstep.Instant(time.Second)
		usual := play(p, &now, all, 4*time.Second, 10*time.Millisecond, min(pace, 100))
		if got, least := len(usual), 40; got < least {
			t.Errorf("pace %d: got %d of 200 calls at the usual upstream, want at least %d", pace, got, least)
		}
		slow := play(p, &now, all, 40*time.Second, 120*time.Millisecond, pace)
		if got, most := len(slow), 16; got > most || got < 5 {
			t.Errorf("pace %d: got %d of 2000 calls at the slow upstream, want 5 to %d", pace, got, most)
		}
		from := now
		recovered := play(p, &now, all, 6*time.Second, 10*time.Millisecond, min(pace, 100))
		if len(recovered) == 0 || recovered[0].Sub(from) > 4200*time.Millisecond || len(recovered) < 10 {
			t.Errorf("pace %d: got calls at %v after the recovery at %v, want some from 4.2s on", pace, recovered, from)
		}
	}
}

// A trial call to a slow upstream would otherwise be hedged as late as the upstream is
// slow, and delay its request.
func TestTrialIsHedgedEarly(t *testing.T) {
	p := &picker.Picker{Zone: "a", Region: "x"}
	all, now := replicas(), almondstep.Instant(time.Second)
	play(p, &now, all, 4*time.Second, 10*time.Millisecond, 0)
	for range 4 {
		end(p, now, all[0], 120*time.Millisecond, almondstep.UpstreamLoad{})
		now = now.Add(200 * time.Millisecond)
	}
	if got, least := p.HighLatency(now, all[0]), 120*time.Millisecond; got < least {
		t.Errorf("got %v for the slow upstream, want at least %v", got, least)
	}
	now = now.Add(2 * time.Second)
	if got, most := p.HighLatency(now, all[0]), 80*time.Millisecond; got > most {
		t.Errorf("got %v for a trial, want at most %v", got, most)
	}
}
