package budgeter_test

import (
	"fmt"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

func ExampleRateLimiter() {
	upstream := &almondstep.Upstream{ID: "i7"}
	const rate, daemons = 9, 9
	l := &budgeter.RateLimiter{}
	now := almondstep.Instant(time.Second)
	l.State(now, upstream, rate, daemons)
	sent := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if l.Take(now, upstream, daemons) {
			sent++
		}
	}
	fmt.Println("requests in 10 s:", sent)
	// Output: requests in 10 s: 10
}
