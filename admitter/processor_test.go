package admitter_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/admitter"
)

// busyDaemon simulates a daemon whose processor handles events in the order in which they
// arrive: one call each tick. The arrival of a request takes no time, but is handled in turn.
type busyDaemon struct {
	gate    *admitter.Gate
	now     almondstep.Instant
	events  []busyEvent
	waiting map[almondstep.QueryID]admitter.Ask
	benefit [3]float64
	n       [3]float64
}

// busyEvent is the arrival of a request, or the calls of one that was admitted.
type busyEvent struct {
	ask   admitter.Ask
	calls int
}

// step handles the events of one tick.
func (b *busyDaemon) step(gated bool) {
	for len(b.events) > 0 {
		e := b.events[0]
		b.events = b.events[1:]
		if e.calls == 0 {
			b.arrive(e.ask, gated)
			continue
		}
		if e.calls--; e.calls > 0 {
			b.events = append([]busyEvent{e}, b.events...)
		} else {
			b.gate.Ended(b.now, e.ask.Work)
			b.answer(e.ask)
		}
		break
	}
	for id, ok := b.gate.Next(b.now); ok; id, ok = b.gate.Next(b.now) {
		b.start(b.waiting[id])
		delete(b.waiting, id)
	}
	for id := almondstep.QueryID(1); id <= almondstep.QueryID(b.n[0]+b.n[1]+b.n[2]); id++ {
		if _, ok := b.waiting[id]; ok && b.gate.Check(b.now, id).Decision == admitter.Refuse {
			delete(b.waiting, id)
		}
	}
	b.now = b.now.Add(tick)
}

func (b *busyDaemon) arrive(a admitter.Ask, gated bool) {
	if !gated {
		b.start(a)
		return
	}
	b.gate.Lagged(b.now, b.now.Sub(a.ArrivedAt))
	switch b.gate.Offer(b.now, a).Decision {
	case admitter.Pass:
		b.start(a)
	case admitter.Wait:
		b.waiting[a.ID] = a
	default:
	}
}

func (b *busyDaemon) start(a admitter.Ask) {
	b.events = append(b.events, busyEvent{ask: a, calls: a.Work})
}

func (b *busyDaemon) answer(a admitter.Ask) {
	switch {
	case b.now <= a.AnswerBy:
		b.benefit[a.Priority]++
	case b.now <= a.Deadline:
		b.benefit[a.Priority] += lateBenefit
	}
}

// playBusy simulates 6 s in which the daemon gets three times the calls that it can handle,
// of requests over 10 shards, and returns the benefit per request by class.
func playBusy(t *testing.T, gated bool) [3]float64 {
	t.Helper()
	d, routes := directory(t, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30)
	b := &busyDaemon{gate: admitter.NewGate(1), now: almondstep.Instant(time.Second), waiting: map[almondstep.QueryID]admitter.Ask{}}
	b.gate.UpdateDirectory(d)
	random := almondstep.NewRandom(1)
	for id := almondstep.QueryID(1); b.now < almondstep.Instant(7*time.Second); b.step(gated) {
		if random.Next()%10 < 3 {
			class := random.Next() % 3
			b.n[class]++
			b.events = append(b.events, busyEvent{ask: ask(id, routes[class], b.now)})
			id++
		}
	}
	for class := range b.benefit {
		b.benefit[class] /= b.n[class]
	}
	return b.benefit
}

// On a saturated processor, whose events are handled late, the urgent are served first and
// nothing is wasted on answers that are late. Without a limit each answer is late.
func TestSaturatedProcessorServesUrgentFirst(t *testing.T) {
	before, after := playBusy(t, false), playBusy(t, true)
	t.Logf("benefit by class: %.3f -> %.3f", before, after)
	sum := func(b [3]float64) float64 { return b[0] + b[1] + b[2] }
	if got, least := sum(after), 5*sum(before); got < least {
		t.Errorf("got a benefit of %.3f, want at least %.3f", got, least)
	}
	if got, least := after[0], 0.5; got < least {
		t.Errorf("got a benefit of %.3f for the urgent, want at least %.3f", got, least)
	}
	for class := 1; class < len(after); class++ {
		if after[class] > after[class-1] {
			t.Errorf("class %d: got %.3f, want at most that of the class above: %.3f", class, after[class], after[class-1])
		}
	}
	if got, least := after[2], sum(after)/3/4; got < least {
		t.Errorf("got %.3f for the least urgent, want at least a quarter of all: %.3f", got, least)
	}
}
