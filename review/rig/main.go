// Program rig plays the cases of the review that are scripts. It starts the daemons of the
// deploy file as separate processes, with stand-ins for the store, servers and clients.
package main

import (
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// longestCase bounds a case.
const longestCase = 110 * time.Second

// play plays one case and reports whether it broke the rule. trouble is false if the
// disruption is left out.
type play func(f *fleet, trouble bool) (broken bool, err error)

func cases() map[string]play {
	return map[string]play{"refused": refusedCase, "leaving": leavingCase, "crasher": crasherCase}
}

// main plays the case named by the first argument, and writes the record named by the
// second.
func main() { os.Exit(start()) }

func start() int {
	const wantArgs = 3
	if len(os.Args) != wantArgs || cases()[os.Args[1]] == nil {
		_, _ = os.Stderr.WriteString("usage: rig CASE RECORD\n")
		return exitCouldNot
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return exitCouldNot
	}
	defer f.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases()[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			f.record.line("couldn't run: %v", r.err)
			return exitCouldNot
		case r.broken:
			return exitBroken
		}
		return exitHeld
	case <-time.After(longestCase):
		f.record.line("couldn't run: it took too long")
		return exitCouldNot
	}
}
