package limiter_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// A canceled call occupies an idle warm upstream only until the cancellation must
// have taken effect, and a cold one until the request must have ended. This guards
// against a fault in which one canceled hedge blocked an idle upstream until the
// hedge's deadline.
func TestCanceledCallHoldsItsSlot(t *testing.T) {
	const idle, left = 5 * time.Second, time.Second
	for _, c := range []struct {
		name  string
		warm  bool
		after time.Duration
		want  int
	}{
		{"warm, at once", true, time.Millisecond, 0},
		{"warm, cancellation has taken effect", true, 20 * time.Millisecond, 1},
		{"cold, cancellation has taken effect", false, 20 * time.Millisecond, 0},
		{"cold, request has ended", false, 1200 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, limiter.Config{})
			if c.warm {
				r.warm()
			}
			r.wait(idle)
			call := started(r.search(left))[0].Call
			r.reduce(&almondstep.ItemCanceled{ID: r.query, Attempt: 1, Item: item()})
			r.end(call, almondstep.CallCanceled, "", time.Millisecond)
			r.wait(c.after)
			if got := len(started(r.search(left))); got != c.want {
				t.Errorf("got %d starts, want %d", got, c.want)
			}
		})
	}
}
