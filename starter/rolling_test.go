package starter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondstep"
)

// restartResult is the outcome of one rolling restart of all daemons under load,
// which the tests below check.
type restartResult struct {
	answered, complete, cut int64
	others                  string
}

var (
	restartSync  sync.Once
	cachedResult restartResult
)

// restartOnce returns the result of restartDaemons, which runs once for all tests.
func restartOnce(t *testing.T) restartResult {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	restartSync.Do(func() { cachedResult = restartDaemons(t) })
	t.Logf("%d answered, %d complete, %d cut off; others %s", cachedResult.answered, cachedResult.complete, cachedResult.cut, cachedResult.others)
	return cachedResult
}

// restartDaemons restarts all daemons in turn while callers send requests.
func restartDaemons(t *testing.T) restartResult {
	t.Helper()
	// On a busy machine this many requests take minutes; the duration isn't tested.
	const workers, minAnswers, timeout = 8, 20_000, 6 * time.Minute
	_, b := startProcesses(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var answered, complete, cut atomic.Int64
	var wg sync.WaitGroup
	others := newTally()
	for range workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				a, err := b.search(context.Background())
				if err != nil {
					cut.Add(1)
					t.Errorf("request cut off: %v", err)
					return
				}
				answered.Add(1)
				if a.Outcome == almondstep.OutcomeComplete {
					complete.Add(1)
				} else {
					others.add(a)
				}
			}
		})
	}
	for _, p := range b.processes {
		p.terminate(t)
		p.start(t)
		wait(t, string(p.vm)+" ready again", func() bool { return b.readyCount() == len(b.processes) })
	}
	waitUpTo(t, timeout, "enough requests", func() bool { return answered.Load() >= minAnswers || cut.Load() > 0 })
	cancel()
	wg.Wait()
	for _, p := range b.processes {
		p.terminate(t)
	}
	return restartResult{answered: answered.Load(), complete: complete.Load(), cut: cut.Load(), others: others.String()}
}

// A rolling restart of all daemons under load cuts off no request: each gets its
// whole answer, or a refusal after which it may be sent again.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	r := restartOnce(t)
	if got, want := r.cut, int64(0); got != want {
		t.Errorf("got %d requests cut off, want %d", got, want)
	}
}

// Nearly all answers during a rolling restart are complete.
func TestRollingRestartStaysComplete(t *testing.T) {
	r := restartOnce(t)
	const perMille, wantPerMille = 1000, 990
	if got := perMille * r.complete / max(1, r.answered); got < wantPerMille {
		t.Errorf("got %d of 1,000 answers complete, want %d or more: %s", got, wantPerMille, r.others)
	}
}
