package admitter_test

import (
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/admitter"
)

// busyEvent is the arrival of a request, or the calls of one that was admitted.
type busyEvent struct {
	admitter.Ask
	calls int
}

// playBusy simulates a daemon whose processor handles events in the order in which they
// arrive: one call each tick; an arrival takes no time, but is handled in turn. For 6 s it
// gets three times the calls that it can handle, of requests over 10 shards. playBusy
// returns the benefit per request by class.
func playBusy(t *testing.T, gated bool) (gained [3]float64) {
	t.Helper()
	d, routes := directory(t, slices.Repeat([]int{30}, 10)...)
	g, random := admitter.NewGate(1), almondstep.NewRandom(1)
	g.UpdateDirectory(d)
	var events []busyEvent
	var all []admitter.Ask
	var n [3]float64
	start := func(a admitter.Ask) { events = append(events, busyEvent{a, a.Work}) }
	for now := almondstep.Instant(time.Second); now < almondstep.Instant(7*time.Second); now = now.Add(tick) {
		if random.Next()%10 < 3 {
			a := ask(len(all), routes[random.Next()%3], now)
			n[a.Priority]++
			all = append(all, a)
			events = append(events, busyEvent{Ask: a})
		}
		for used := false; !used && len(events) > 0; {
			e := &events[0]
			if used = e.calls > 0; used {
				if e.calls--; e.calls > 0 {
					break
				}
				g.Ended(now, e.Work)
				gained[e.Priority] += benefit(now.Sub(e.ArrivedAt))
			} else if g.Lagged(now, now.Sub(e.ArrivedAt)); !gated || g.Offer(now, e.Ask).Decision == admitter.Pass {
				start(e.Ask)
			}
			events = events[1:]
		}
		for id, ok := g.Next(now); ok; id, ok = g.Next(now) {
			start(all[id])
		}
		for _, a := range all {
			g.Check(now, a.ID)
		}
	}
	for class := range gained {
		gained[class] /= n[class]
	}
	return gained
}

// On a saturated processor, whose events are handled late, the urgent are served first and
// nothing is wasted on answers that are late. Without a limit each answer is late.
func TestSaturatedProcessorServesUrgentFirst(t *testing.T) {
	before, after := playBusy(t, false), playBusy(t, true)
	t.Logf("benefit by class: %.3f -> %.3f", before, after)
	if got, least := after[0]+after[1]+after[2], 5*(before[0]+before[1]+before[2]); got < least {
		t.Errorf("got a benefit of %.3f, want at least %.3f", got, least)
	}
	if least := (after[0] + after[1] + after[2]) / 3 / 4; after[0] < 0.5 || after[0] < after[1] || after[1] < after[2] || after[2] < least {
		t.Errorf("got %.3f by class, want 0.5 for the urgent, not less than for a class below, and %.3f for each", after, least)
	}
}
