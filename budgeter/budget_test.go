package budgeter_test

import (
	"math/rand"
	"testing"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

const service = almondstep.ServiceName("intake-desk~1")

// Nine daemons that each send as many extra calls as their shares allow stay together
// within the fleet-wide limit in every window.
func TestDaemonsTogetherStayWithinLimit(t *testing.T) {
	const (
		daemons = 9
		ratio   = 0.2
		slack   = 58
		window  = 10 * time.Second
	)
	rng := rand.New(rand.NewSource(7))
	budgets := make([]*budgeter.Budget, daemons)
	for i := range budgets {
		budgets[i] = &budgeter.Budget{Ratio: ratio, Slack: slack, Window: window}
	}
	var requests, extra []time.Duration
	for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
		b := budgets[rng.Intn(daemons)]
		now := almondstep.Instant(at)
		if rng.Intn(2) == 0 && at < 30*time.Second {
			b.CountRequest(now, service)
			requests = append(requests, at)
		}
		if b.Take(now, service, daemons, budgeter.Retry) {
			extra = append(extra, at)
		}
	}
	if len(extra) < slack {
		t.Errorf("got %d extra calls, want at least as many as the slack", len(extra))
	}
	for _, from := range extra {
		sent := countWithin(extra, from, window)
		base := max(countWithin(requests, from, window), countWithin(requests, from-window/2, window), countWithin(requests, from-window, window))
		if want := ratio*float64(base) + slack; float64(sent) > want {
			t.Fatalf("from %v: got %d extra calls, want at most %.0f", from, sent, want)
		}
	}
}

// countWithin counts the times in the window that begins at from.
func countWithin(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// Hedges leave part of the budget for retries.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	b := &budgeter.Budget{Slack: 100, Window: 10 * time.Second}
	for b.Take(0, service, 1, budgeter.Hedge) {
	}
	if got, want := b.Take(0, service, 1, budgeter.Retry), true; got != want {
		t.Errorf("a retry after all hedges: got %v, want %v", got, want)
	}
}

// A refunded call can be taken again.
func TestRefund(t *testing.T) {
	b := &budgeter.Budget{Slack: 2, Window: 10 * time.Second}
	b.Take(0, service, 1, budgeter.Retry)
	if got := b.Take(0, service, 1, budgeter.Retry); got {
		t.Fatal("got a second call, want one call only")
	}
	b.Refund(0, service)
	if got, want := b.Take(0, service, 1, budgeter.Retry), true; got != want {
		t.Errorf("after the refund: got %v, want %v", got, want)
	}
}

// All daemons together send no more calls to a cold upstream than its limit in any
// second.
func TestColdUpstreamGetsNoMoreThanLimit(t *testing.T) {
	const (
		daemons = 6
		rate    = 20
		factor  = 1.5
		slack   = 5
	)
	colds := make([]*budgeter.ColdLimiter, daemons)
	for i := range colds {
		colds[i] = &budgeter.ColdLimiter{Factor: factor, Slack: slack}
	}
	var sent []time.Duration
	for at := time.Duration(0); at < 5*time.Second; at += time.Millisecond {
		if colds[int(at/time.Millisecond)%daemons].Take(almondstep.Instant(at), "i-1", rate, daemons) {
			sent = append(sent, at)
		}
	}
	if len(sent) == 0 {
		t.Error("got no call at all")
	}
	for _, from := range sent {
		if got, want := countWithin(sent, from, time.Second), rate*factor+slack; float64(got) > want {
			t.Fatalf("from %v: got %d calls in a second, want at most %.0f", from, got, want)
		}
	}
}
