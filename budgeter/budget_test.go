package budgeter_test

import (
	"fmt"
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

// Guards against BUDGET: daemons that restart take their part of the retry budget twice in one window.
func TestRestartedDaemonsTakeTheirPartOnce(t *testing.T) {
	const (
		daemons = 6
		slack   = 58
		window  = 10 * time.Second
		seeds   = 50
	)
	for seed := range int64(seeds) {
		rng := rand.New(rand.NewSource(seed))
		newBudget := func() *budgeter.Budget { return &budgeter.Budget{Ratio: 0.2, Slack: slack, Window: window} }
		budgets := make([]*budgeter.Budget, daemons)
		for i := range budgets {
			budgets[i] = newBudget()
		}
		restartAt := 12*time.Second + time.Duration(rng.Int63n(int64(window)))
		var extra []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 20 * time.Millisecond {
			now := almondstep.Instant(at)
			if at >= restartAt && at < restartAt+20*time.Millisecond {
				for i := range budgets {
					budgets[i] = newBudget()
					budgets[i].Begin(now)
				}
			}
			// Before the restart, what is needed comes all at once.
			if at < restartAt-time.Second || at > restartAt {
				if rng.Intn(3) > 0 {
					continue
				}
			}
			if budgets[rng.Intn(daemons)].Take(now, service, daemons, budgeter.Retry) {
				extra = append(extra, at)
			}
		}
		if len(extra) < slack {
			t.Errorf("seed %d: got %d extra calls, want at least as many as the slack", seed, len(extra))
		}
		for _, from := range extra {
			if got := countWithin(extra, from, window); got > slack {
				t.Fatalf("seed %d, from %v: got %d extra calls in a window, want at most %d", seed, from, got, slack)
			}
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

// All daemons together send no more calls to a cold upstream than its limit in any second, however
// many they are, and use at least half of the configured rate. Before it becomes cold they call it
// without a limit.
func TestColdUpstreamGetsNoMoreThanLimit(t *testing.T) {
	const (
		factor = 1.5
		slack  = 5
		coldAt = 2 * time.Second
		end    = 8 * time.Second
	)
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{1, 5}, {6, 20}, {6, 5}, {13, 5}, {30, 20}, {295, 5}, {295, 100}} {
		t.Run(fmt.Sprint(c.daemons, " daemons, ", c.rate, " a second"), func(t *testing.T) {
			rng := rand.New(rand.NewSource(int64(c.daemons)))
			colds := make([]*budgeter.ColdLimiter, c.daemons)
			for i := range colds {
				colds[i] = &budgeter.ColdLimiter{Factor: factor, Slack: slack}
			}
			var sent []time.Duration
			for at := time.Duration(0); at < end; at += time.Millisecond {
				i := rng.Intn(c.daemons)
				if at < coldAt {
					colds[i].Count(almondstep.Instant(at), "i-1", c.rate)
					continue
				}
				isFirst := func(n int) bool { return i < n }
				if colds[i].Take(almondstep.Instant(at), "i-1", c.rate, c.daemons, isFirst) {
					sent = append(sent, at)
				}
			}
			if got, want := float64(len(sent)), c.rate*(end-coldAt-2*time.Second).Seconds()/2; got < want {
				t.Errorf("got %.0f calls, want at least %.0f", got, want)
			}
			for _, from := range sent {
				if got, want := countWithin(sent, from, time.Second), c.rate*factor+slack; float64(got) > want {
					t.Fatalf("from %v: got %d calls in a second, want at most %.0f", from, got, want)
				}
			}
			if len(sent) > 0 && c.daemons == 1 && sent[0] < coldAt+time.Second {
				t.Errorf("got a call %v after the upstream became cold, want none while the calls before it count", sent[0]-coldAt)
			}
		})
	}
}

// Guards against FAILBACK: a daemon that starts again while an upstream is cold takes its share of
// the same second twice.
func TestRestartedDaemonWaitsWithColdUpstreams(t *testing.T) {
	c := &budgeter.ColdLimiter{Factor: 1.5, Slack: 5}
	start := almondstep.Instant(time.Hour)
	c.Begin(start)
	isFirst := func(int) bool { return true }
	if c.Take(start.Add(time.Second), "i-1", 5, 1, isFirst) {
		t.Error("got a call in the first second, want none")
	}
	if !c.Take(start.Add(2*time.Second), "i-1", 5, 1, isFirst) {
		t.Error("got no call later")
	}
}
