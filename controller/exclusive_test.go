package controller_test

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"almondstep"
)

// historiesPerSize is the number of random histories for each fleet size. The
// environment variable HISTORIES overrides it.
const historiesPerSize = 500

// TestMain raises the garbage collector's target percentage: the histories allocate
// much and retain little.
func TestMain(m *testing.M) {
	const percent = 800
	debug.SetGCPercent(percent)
	os.Exit(m.Run())
}

// Two daemons never hold a full grant for one upstream at once, whatever fails. A
// grant counts until ColdAttemptTimeout after its end, since a request may still run.
func TestGrantIsExclusiveOverRandomFailures(t *testing.T) {
	histories := historiesPerSize
	if n, err := strconv.Atoi(os.Getenv("HISTORIES")); err == nil {
		histories = n
	}
	for _, n := range []int{2, 3, 5, 9} {
		for part := range 4 {
			t.Run(fmt.Sprintf("daemons=%d/part=%d", n, part), func(t *testing.T) {
				t.Parallel()
				granted := 0
				for i := range (histories + 3) / 4 {
					h := newHistory(uint64(1000*n+4*i+part), n)
					if got := h.run(); got != "" {
						t.Fatalf("seed %d: %s", 1000*n+4*i+part, got)
					}
					granted += h.handovers
				}
				if granted == 0 {
					t.Error("no upstream ever changed its owner: the histories test nothing")
				}
			})
		}
	}
}

// history is one random sequence of failures.
type history struct {
	*fleet
	started int
	// lastActive is when each daemon last held a full grant for an upstream.
	lastActive map[almondstep.Address]map[almondstep.DaemonID]time.Duration
	// owner is the last daemon with a full grant for each upstream.
	owner     map[almondstep.Address]almondstep.DaemonID
	handovers int
}

func newHistory(seed uint64, n int) *history {
	return &history{
		fleet:      newZoneFleet(seed, n, 3),
		started:    n,
		lastActive: make(map[almondstep.Address]map[almondstep.DaemonID]time.Duration),
		owner:      make(map[almondstep.Address]almondstep.DaemonID),
	}
}

// run executes the history and describes the first violation; empty if none.
func (h *history) run() string {
	const steps = 24
	h.runFor(time.Duration(h.intn(5000)) * time.Millisecond)
	for range steps {
		h.injectFault()
		end := h.now + time.Duration(100+h.intn(2400))*time.Millisecond
		for h.now < end {
			h.runFor(20 * time.Millisecond)
			if s := h.check(); s != "" {
				return s
			}
		}
	}
	return ""
}

// check describes a violation at this time; empty if there is none.
func (h *history) check() string {
	for _, u := range h.list.Upstreams {
		last := h.lastActive[u.Addr]
		if last == nil {
			last = make(map[almondstep.DaemonID]time.Duration)
			h.lastActive[u.Addr] = last
		}
		for _, id := range h.ids {
			if !h.hasFullGrant(h.nodes[id], u.Addr) {
				continue
			}
			for other, at := range last {
				if other != id && h.now < at+almondstep.ColdAttemptTimeout {
					return fmt.Sprintf("at %v %s may load %s, and %s could at %v", h.now, id, u.Addr, other, at)
				}
			}
			last[id] = h.now
			if h.owner[u.Addr] != id {
				h.owner[u.Addr] = id
				h.handovers++
			}
		}
	}
	return ""
}

// injectFault injects a random fault, or clears faults.
func (h *history) injectFault() {
	id := h.ids[h.intn(len(h.ids))]
	switch h.intn(12) {
	case 0:
		h.cut[link{id, h.ids[h.intn(len(h.ids))]}] = true
	case 1:
		other := h.ids[h.intn(len(h.ids))]
		h.cut[link{id, other}] = true
		h.cut[link{other, id}] = true
	case 2, 3:
		h.split()
	case 4, 5:
		clear(h.cut)
		h.outage = false
	case 6:
		h.nodes[id].pausedUntil = h.now + time.Duration(200+h.intn(9000))*time.Millisecond
	case 7:
		h.restart(id)
	case 8:
		h.outage = !h.outage
	case 9:
		h.loss = float64(h.intn(4)) / 10
	case 10:
		h.latency = time.Duration(1+h.intn(200)) * time.Millisecond
	case 11:
		h.grow()
	}
}

// split partitions the network between two random groups of daemons, with the
// platform in one of them.
func (h *history) split() {
	side := make(map[almondstep.DaemonID]bool)
	for _, id := range h.ids {
		side[id] = h.intn(2) == 0
	}
	for _, a := range append([]almondstep.DaemonID{platform}, h.ids...) {
		for _, b := range h.ids {
			if side[a] != side[b] {
				h.cut[link{a, b}] = true
				h.cut[link{b, a}] = true
			}
		}
	}
}

// restart kills a daemon. It restarts under the same id, or its VM is replaced
// by a new one and the platform removes the old one from its list later.
func (h *history) restart(id almondstep.DaemonID) {
	n := h.nodes[id]
	if n.dead {
		return
	}
	n.dead = true
	if h.intn(2) == 0 {
		h.after(time.Duration(h.intn(4000))*time.Millisecond, func() { h.boot(id, n.addr, n.zone) })
		return
	}
	h.after(time.Duration(h.intn(15000))*time.Millisecond, func() { h.unlist(id) })
	h.after(time.Duration(h.intn(4000))*time.Millisecond, h.add)
}

// grow starts one more daemon, unless 20 have been started or the list has 7 and one
// more for each upstream that has had an owner.
func (h *history) grow() {
	if live := len(h.list.Daemons); live < len(h.owner)+7 && h.started < 20 {
		h.add()
	}
}

func (h *history) add() {
	h.started++
	h.start(almondstep.DaemonID(fmt.Sprintf("d%d", h.started)), "z")
}
