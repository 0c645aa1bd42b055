package scheduler_test

import (
	"fmt"
	"time"

	"almondstep/scheduler"
)

func ExampleQueue() {
	var q scheduler.Queue[time.Duration]
	say := func(text string) func() { return func() { fmt.Println(text) } }
	q.Add(2*time.Second, say("second"))
	q.Add(2*time.Second, say("third"))
	q.Add(time.Second, say("first"))
	q.Add(time.Minute, say("too late"))
	for at, run, ok := q.Next(time.Minute - 1); ok; at, run, ok = q.Next(time.Minute - 1) {
		fmt.Print(at, " ")
		run()
	}
	// Output:
	// 1s first
	// 2s second
	// 2s third
}
