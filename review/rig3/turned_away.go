//go:build review3

package main

import (
	"syscall"
	"time"
)

const (
	turnedAwayTime   = 9 * time.Second
	turnedAwayBefore = 4 * time.Second
	freezeTime       = 4 * time.Second
)

// turnedAway: the store turns one of the two machines away that read it for the others. Some seconds
// later the other one freezes, just as some servers leave. The machines without disruption must send these
// servers nothing later than the drain bound.
func turnedAway(r *rig, trouble bool) (bool, error) {
	second, c, err := r.search()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	readers := r.readers()
	if len(readers) < 2 {
		return false, errNotReady
	}
	away, frozen := readers[0], readers[1]
	if trouble {
		r.note("the store turns %s away: its connections are reset", away.name)
		away.proxy.refuse(true)
	}
	time.Sleep(turnedAwayBefore)
	if trouble {
		r.note("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	left := make(map[*server]time.Time)
	for _, s := range second[:leaving] {
		left[s] = s.leave()
	}
	time.Sleep(freezeTime)
	if trouble {
		r.note("%s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(turnedAwayTime - turnedAwayBefore - freezeTime)
	away.proxy.refuse(false)
	time.Sleep(time.Second)
	c.end()
	calm := func(d *daemon) bool { return !trouble || d != away && d != frozen }
	return r.judgeDrain(c, left, calm), nil
}
