//go:build review3

// Rig3 plays the scripted cases of the third review: it starts daemons as processes, with stand-ins of
// the store, the servers and the clients in this process, and judges what these have seen.
//
//	rig3 -case 11 -entry target/almondstep-entry -record review/11/record.txt -trouble=true
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is one case: it reports whether the rule was broken, and what was seen.
type play func(r *rig, trouble bool) (broken bool, err error)

func main() {
	number := flag.Int("case", 0, "number of the case")
	entry := flag.String("entry", "target/almondstep-entry", "the daemon's program")
	record := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption is made")
	flag.Parse()
	os.Exit(run(*number, *entry, *record, *trouble))
}

func run(number int, entry, record string, trouble bool) int {
	cases := map[int]play{11: staleOutage, 12: turnedAway, 13: coldAgain}
	p, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", number)
		return exitNotRun
	}
	r, err := newRig(entry, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := p(r, trouble)
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.note("the rule was BROKEN")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

var errNotReady = errors.New("the daemons weren't ready in time")
