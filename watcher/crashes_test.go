package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

const (
	crasher = almondstep.Fingerprint(99)
	// quarantineWithin is the shortest time after the third crash within which all daemons
	// must refuse a request.
	quarantineWithin = 4 * time.Second
	crashPrefix      = "crash/"
)

func crashKey(r almondstep.CrashRecord) string {
	return crashPrefix + r.Fingerprint.String() + "/" + string(r.Upstream)
}

// addCrash decodes the entry of a crash record; ok is false for another entry.
func addCrash(e almondstep.RegistryEntry, into *almondstep.RegistryChanges) (ok bool) {
	name, ok := strings.CutPrefix(e.Key, crashPrefix)
	if !ok {
		return false
	}
	digits, run, _ := strings.Cut(name, "/")
	n, _ := strconv.ParseUint(digits, 16, 64)
	into.Crashes = append(into.Crashes, almondstep.CrashChange{
		CrashRecord: almondstep.CrashRecord{Fingerprint: almondstep.Fingerprint(n), Upstream: almondstep.UpstreamRun(run)},
		Removed:     e.Removed, Revision: e.Revision,
	})
	return true
}

// recordCrashes writes a daemon's records, unless the registry doesn't answer it.
func (f *fleet) recordCrashes(n *node, r *almondstep.RecordCrashes) {
	f.calls++
	f.after(oneWayLatency, func() {
		e := &almondstep.CrashesRecorded{RecordCrashes: *r}
		if f.down || f.cutOff[n.id] {
			e.Err = "no answer"
		} else {
			for _, c := range r.Add {
				f.write(crashKey(c.CrashRecord), false)
			}
			for _, c := range r.Remove {
				if _, ok := f.entries[crashKey(c)]; ok {
					f.write(crashKey(c), true)
				}
			}
		}
		f.after(oneWayLatency, func() { f.deliver(n, e) })
	})
}

// crash lets a daemon observe that an upstream crashed under a request.
func (f *fleet) crash(daemon int, fp almondstep.Fingerprint, upstream string) {
	f.deliver(f.nodes[f.ids[daemon]], &almondstep.RequestCrashed{
		Fingerprint: fp, Upstreams: []almondstep.UpstreamRun{almondstep.UpstreamRun(upstream)},
	})
}

// wantQuarantined checks whether each daemon refuses a request.
func (f *fleet) wantQuarantined(what string, fp almondstep.Fingerprint, want bool) {
	f.t.Helper()
	for _, id := range f.ids {
		if got := f.nodes[id].view.Quarantined(fp); got != want {
			f.t.Errorf("%s: %s: got quarantined %v, want %v", what, id, got, want)
		}
	}
}

// crashKeys counts the records in the registry.
func (f *fleet) crashKeys() int {
	n := 0
	for key := range f.entries {
		if strings.HasPrefix(key, crashPrefix) {
			n++
		}
	}
	return n
}

// Three crashes, each observed by another daemon, quarantine the request on all of them
// in time; the quarantine outlives all daemons and ends after CrashMemory.
func TestCrashesOfSeveralDaemonsAddUp(t *testing.T) {
	f := newFleet(t, 13)
	for i, daemon := range []int{2, 5} {
		f.crash(daemon, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	f.wantQuarantined("two crashes", crasher, false)
	f.crash(9, crasher, "i2")
	f.run(quarantineWithin)
	f.wantQuarantined("three crashes", crasher, true)
	for _, id := range f.ids {
		f.restart(id)
	}
	f.run(quarantineWithin)
	f.wantQuarantined("all restarted", crasher, true)
	f.run(watcher.CrashMemory + quarantineWithin)
	f.wantQuarantined("after its end", crasher, false)
	if got := f.crashKeys(); got != 0 {
		t.Errorf("got %d records left, want none", got)
	}
}

// Also in a large fleet of several zones, all daemons refuse the request in time.
func TestCrashesAddUpInLargeFleet(t *testing.T) {
	f := newTree(t, 6, 25, 24)
	for i, daemon := range []int{3, 120, 290} {
		f.crash(daemon, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	f.wantQuarantined("three crashes", crasher, true)
}

// An upstream that crashes, restarts under its ID and crashes again counts twice, also if the
// registry still has its first run. Two disconnects of one crash count once.
func TestRestartedUpstreamThatKeepsItsRunCountsAgain(t *testing.T) {
	f := newFleet(t, 3)
	for range 3 {
		f.crash(0, crasher, "i1")
		f.crash(1, crasher+1, "i1")
		f.crash(2, crasher+1, "i1")
		f.run(100 * time.Millisecond)
	}
	f.run(quarantineWithin)
	f.wantQuarantined("one crash", crasher, false)
	f.wantQuarantined("one crash seen by two daemons", crasher+1, false)
	for _, daemon := range []int{1, 2} {
		f.crash(daemon, crasher, "i1")
		f.run(quarantineWithin)
	}
	f.wantQuarantined("three crashes of one upstream", crasher, true)
}

// In an outage of the registry each daemon counts by itself, and afterwards what they
// observed adds up.
func TestCrashesInRegistryOutageAddUpAfterwards(t *testing.T) {
	f := newFleet(t, 5)
	f.down = true
	f.run(time.Second)
	for i := range 3 {
		f.crash(0, crasher, fmt.Sprint("i", i))
		f.crash(i, crasher+1, fmt.Sprint("i", i))
	}
	if !f.nodes[f.ids[0]].view.Quarantined(crasher) {
		t.Error("the daemon that observed all crashes doesn't refuse the request at once")
	}
	f.run(10 * time.Second)
	f.wantQuarantined("in the outage", crasher+1, false)
	f.down = false
	f.run(10 * time.Second)
	f.wantQuarantined("one observer", crasher, true)
	f.wantQuarantined("three observers", crasher+1, true)
}

// A request that was answered is cleared on all daemons, and its records are removed.
func TestAnsweredRequestIsClearedEverywhere(t *testing.T) {
	f := newFleet(t, 5)
	for i := range 3 {
		f.crash(i, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	f.wantQuarantined("three crashes", crasher, true)
	f.deliver(f.nodes[f.ids[4]], &almondstep.RequestSurvived{Fingerprint: crasher})
	f.run(quarantineWithin)
	f.wantQuarantined("answered", crasher, false)
	if got := f.crashKeys(); got != 0 {
		t.Errorf("got %d records left, want none", got)
	}
}

// However many requests are suspected, the records and the calls to the registry are
// bounded.
func TestManySuspectsAreBounded(t *testing.T) {
	const suspects, seconds = 5000, 60
	const maxRecords, maxCallsPerSecond = 64 + 16, 8
	f := newFleet(t, 2)
	before := f.calls
	for i := range suspects {
		f.crash(0, almondstep.Fingerprint(i), "i1")
		f.run(seconds * time.Second / suspects)
		if got := f.crashKeys(); got > maxRecords {
			t.Fatalf("got %d records after %d suspects, want at most %d", got, i, maxRecords)
		}
	}
	if got, want := f.calls-before, seconds*maxCallsPerSecond; got > want {
		t.Errorf("got %d calls in %d s, want at most %d", got, seconds, want)
	}
	f.run(20 * time.Second)
	if got := f.crashKeys(); got > maxRecords {
		t.Errorf("got %d records in the end, want at most %d", got, maxRecords)
	}
}

// However many requests are suspected after it, a refused request stays refused.
func TestRefusedRequestOutlivesManySuspects(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.crash(0, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	for i := range 3000 {
		f.crash(0, crasher+1+almondstep.Fingerprint(i), "i1")
		f.run(20 * time.Millisecond)
	}
	f.run(quarantineWithin)
	f.wantQuarantined("after many suspects", crasher, true)
}

// Once random failures are over, all daemons refuse just the requests under which enough
// different upstreams crashed.
func TestCrashesOverRandomFailures(t *testing.T) {
	const histories, steps, requests, upstreams = 100, 40, 4, 6
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(t, 2+rng.IntN(5))
		crashed := map[almondstep.Fingerprint]map[string]bool{}
		for range steps {
			daemon := rng.IntN(len(f.ids))
			switch rng.IntN(6) {
			case 0:
				f.cutOff[f.ids[daemon]] = !f.cutOff[f.ids[daemon]]
			case 1:
				f.down = !f.down
			case 2:
				f.unreachable[f.ids[daemon]] = !f.unreachable[f.ids[daemon]]
			default:
				fp, upstream := almondstep.Fingerprint(rng.IntN(requests)), fmt.Sprint("i", rng.IntN(upstreams))
				if crashed[fp] == nil {
					crashed[fp] = map[string]bool{}
				}
				if !crashed[fp][upstream] {
					crashed[fp][upstream] = true
					f.crash(daemon, fp, upstream)
					f.crash(rng.IntN(len(f.ids)), fp, upstream)
				}
			}
			f.run(time.Duration(rng.IntN(2000)) * time.Millisecond)
		}
		clear(f.unreachable)
		clear(f.cutOff)
		f.down = false
		f.run(20 * time.Second)
		for fp := range almondstep.Fingerprint(requests) {
			f.wantQuarantined(fmt.Sprintf("seed %d, request %v", seed, fp), fp, len(crashed[fp]) >= watcher.CrashLimit)
		}
		if t.Failed() {
			return
		}
	}
}
