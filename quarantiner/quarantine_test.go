package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstep"
	"almondstep/quarantiner"
)

const (
	limit    = 3
	duration = 10 * time.Minute
	suspect  = almondstep.Fingerprint(7)
)

func newQuarantine() *quarantiner.Quarantine {
	return &quarantiner.Quarantine{Limit: limit, Duration: duration, MaxRequests: 4}
}

// check checks how many crashes count against a request and whether it is quarantined.
func check(t *testing.T, q *quarantiner.Quarantine, f almondstep.Fingerprint, crashes int, quarantined bool) {
	t.Helper()
	if got, want := q.Crashes()[f], crashes; got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}
	if _, got := q.Requests()[f]; got != quarantined {
		t.Errorf("got quarantined %v, want %v", got, quarantined)
	}
}

// Crashes of different upstreams count, each once, and the third quarantines the request.
func TestDifferentUpstreamsCount(t *testing.T) {
	q := newQuarantine()
	for _, u := range []almondstep.UpstreamRun{"a@1", "a@1", "b@1", "b@1"} {
		q.Add(1, suspect, u, almondstep.CrashEvidence{})
	}
	check(t, q, suspect, 2, false)
	if !q.Add(1, suspect, "a@2", almondstep.CrashEvidence{}) {
		t.Error("another run of an upstream doesn't count")
	}
	check(t, q, suspect, limit, true)
	if q.Add(1, suspect, "c@1", almondstep.CrashEvidence{}) {
		t.Error("a crash beyond the limit counts")
	}
}

// A crash that is taken back no longer counts, and below the limit the quarantine ends.
func TestRemoveEndsQuarantine(t *testing.T) {
	q := newQuarantine()
	for _, u := range []almondstep.UpstreamRun{"a", "b", "c"} {
		q.Add(1, suspect, u, almondstep.CrashEvidence{})
	}
	q.Remove(1, suspect, "b")
	check(t, q, suspect, 2, false)
	q.Remove(1, suspect, "a")
	q.Remove(1, suspect, "c")
	check(t, q, suspect, 0, false)
}

// A quarantine ends after its duration, and the count begins anew.
func TestExpire(t *testing.T) {
	q := newQuarantine()
	start := almondstep.Instant(1)
	for _, u := range []almondstep.UpstreamRun{"a", "b", "c"} {
		q.Add(start, suspect, u, almondstep.CrashEvidence{})
	}
	if q.Expire(start.Add(duration - 1)) {
		t.Error("the quarantine has ended early")
	}
	if !q.Expire(start.Add(duration)) {
		t.Error("the quarantine hasn't ended")
	}
	check(t, q, suspect, 0, false)
}

// Whatever is reported, memory is bounded, and a request is quarantined only if enough
// different upstreams crashed under it.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		q := newQuarantine()
		crashed := map[almondstep.Fingerprint]map[almondstep.UpstreamRun]bool{}
		now := almondstep.Instant(1)
		for range 300 {
			now = now.Add(time.Duration(r.IntN(int(time.Minute))))
			f := almondstep.Fingerprint(r.IntN(8))
			u := almondstep.UpstreamRun(fmt.Sprint(r.IntN(5)))
			switch r.IntN(6) {
			case 0:
				q.Remove(now, f, u)
				delete(crashed[f], u)
			case 1:
				q.Expire(now)
			default:
				if crashed[f] == nil {
					crashed[f] = map[almondstep.UpstreamRun]bool{}
				}
				q.Add(now, f, u, almondstep.CrashEvidence{})
				crashed[f][u] = true
			}
			if got := len(q.Crashes()); got > q.MaxRequests {
				t.Fatalf("seed %d: got %d requests, want at most %d", seed, got, q.MaxRequests)
			}
			for f := range q.Requests() {
				if got := len(crashed[f]); got < limit {
					t.Fatalf("seed %d: request %v is quarantined after %d crashes", seed, f, got)
				}
			}
		}
	}
}

// silent returns the evidence of a silent crash.
func silent(attempt uint64, sentAgo time.Duration) almondstep.CrashEvidence {
	return almondstep.CrashEvidence{Attempt: attempt, SentAgo: sentAgo}
}

// An outage silences all upstreams that one attempt has tried, maybe one of each of many
// shards: without a second attempt the request isn't quarantined.
func TestSilentCrashesOfOneAttemptAreNotEnough(t *testing.T) {
	q := &quarantiner.Quarantine{Limit: limit, MaxCrashes: 8, Duration: duration, MaxRequests: 10}
	for i := range 20 {
		q.Add(1, suspect, almondstep.UpstreamRun(fmt.Sprint("a", i)), silent(7, time.Second))
	}
	check(t, q, suspect, 4, false)
	if !q.Add(1, suspect, "a0", silent(8, time.Second)) {
		t.Error("another attempt that met the same crash doesn't count")
	}
	check(t, q, suspect, 4, true)
}

// A silent crash has one cause: the request under which most upstreams crashed or, of two with
// as many, the one that was sent first. The other one is released.
func TestCauseExplainsSilentCrashes(t *testing.T) {
	const cause, bystander = suspect, suspect + 1
	q := &quarantiner.Quarantine{Limit: limit, MaxCrashes: 8, Duration: duration, MaxRequests: 10}
	for i, u := range []almondstep.UpstreamRun{"a@1", "b@1", "c@1"} {
		q.Add(1, bystander, u, silent(uint64(10+i), time.Second))
	}
	check(t, q, bystander, 3, true)
	for i, u := range []almondstep.UpstreamRun{"a@1", "b@1", "c@1"} {
		q.Add(1, cause, u, silent(uint64(20+i), 2*time.Second))
	}
	check(t, q, cause, 3, true)
	check(t, q, bystander, 3, false)
	q.Add(1, bystander, "d@1", silent(13, time.Second))
	check(t, q, bystander, 4, true)
	q.Add(1, cause, "e@1", silent(23, 2*time.Second))
	check(t, q, cause, 4, true)
	check(t, q, bystander, 4, false)
}

// Crashes that ended connections are explained by no other request.
func TestCrashesThatEndedConnectionsAreNotExplained(t *testing.T) {
	q := &quarantiner.Quarantine{Limit: limit, MaxCrashes: 8, Duration: duration, MaxRequests: 10}
	for _, u := range []almondstep.UpstreamRun{"a@1", "b@1", "c@1"} {
		q.Add(1, suspect, u, almondstep.CrashEvidence{})
	}
	for i, u := range []almondstep.UpstreamRun{"a@1", "b@1", "c@1", "d@1"} {
		q.Add(1, suspect+1, u, silent(uint64(i+1), time.Second))
	}
	check(t, q, suspect, 3, true)
	check(t, q, suspect+1, 4, true)
}
