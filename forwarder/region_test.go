package forwarder_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"almondstep"
)

const (
	// remoteShards is the number of shards without an upstream in the daemon's
	// region, localShards the number of those with one.
	remoteShards, localShards = 4, 4
	// regionalRTT is the measured round-trip time to the regional delegate.
	regionalRTT = 24 * time.Millisecond
)

// newRegionalHarness returns a harness with a regional delegate in the far region.
func newRegionalHarness(t *testing.T, target time.Duration, change func(*almondstep.RouteSpec)) *harness {
	t.Helper()
	full := directory(t, localShards+remoteShards, func(p *almondstep.RouteSpec) {
		p.LatencyTarget = target
		p.Records = 4
		if change != nil {
			change(p)
		}
	})
	upstreams := full.AllUpstreams()
	for i := range remoteShards {
		s := shardName(localShards + i)
		upstreams[s] = upstreams[s][1:]
	}
	return newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: full.Routes(), Upstreams: upstreams, Daemons: 8,
		RegionalDelegates: map[almondstep.RegionName][]almondstep.Delegate{far: {{ID: "helper", Addr: "h:1", Cores: 0.4}}},
	}))
}

// reportRTT reports the round-trip time to the regional delegate.
func (w *harness) reportRTT(e almondstep.RTTMeasured) {
	w.t.Helper()
	e.To = "helper"
	w.reduce(&e)
}

// regionalReply returns a regional delegate's reply with the given number of shards.
func regionalReply(shards int) *almondstep.Reply {
	m := &almondstep.MergedAnswer{Missing: remoteShards - shards}
	for i := range shards {
		m.Records = append(m.Records, record(byte('z'-i))...)
		m.Signatures = append(m.Signatures, fmt.Sprintf("far%d", i))
	}
	return &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Merged: m}
}

// requestRegional sends a request once the round-trip time is known, and ends the
// calls to the local shards.
func (w *harness) requestRegional(id almondstep.QueryID) *almondstep.SendGather {
	w.t.Helper()
	w.reportRTT(almondstep.RTTMeasured{Took: regionalRTT})
	before, calls := len(w.gathers), len(w.calls)
	w.request(id, "/search/x")
	if got, want := len(w.gathers)-before, 1; got != want {
		w.t.Fatalf("got %d parts delegated, want %d", got, want)
	}
	sent := append([]*almondstep.SendCall(nil), w.calls[calls:]...)
	if got, want := len(sent), localShards; got != want {
		w.t.Fatalf("got %d calls from here, want %d", got, want)
	}
	for i, c := range sent {
		w.end(c, almondstep.CallDone, record(byte('a'+i)))
	}
	return w.gathers[before]
}

// Until the round-trip time to a regional delegate is known, all shards are queried
// from here, and the round-trip time is measured. Then the remote shards go to the
// regional delegate, with the time that remains there.
func TestRemoteShardsGoToRegionalDelegate(t *testing.T) {
	w := newRegionalHarness(t, 250*time.Millisecond, nil)
	w.request(1, "/search/x")
	w.request(2, "/search/x")
	if got, want := len(w.calls), 2*(localShards+remoteShards); got != want {
		t.Fatalf("before the round-trip time is known: got %d calls from here, want %d", got, want)
	}
	if got, want := w.rttRequests, 1; got != want {
		t.Errorf("got the round-trip time measured %d times, want %d", got, want)
	}
	g := w.requestRegional(3)
	if got, want := len(g.Request.Route.Shards()), remoteShards; got != want {
		t.Errorf("got %d shards delegated, want %d", got, want)
	}
	if got, most := g.Request.Route.LatencyTarget(), 250*time.Millisecond-regionalRTT; got > most {
		t.Errorf("got a latency target of %v there, want at most %v", got, most)
	}
	w.advance(50 * time.Millisecond)
	w.endGather(g, almondstep.GatherEnded{Reply: regionalReply(remoteShards)})
	r := w.replies[3]
	if r == nil || r.Outcome != almondstep.OutcomeComplete {
		t.Fatalf("got %+v, want a complete answer", r)
	}
	if got, want := string(r.Merged.Records), record('z')+record('y')+record('x')+record('w'); got != want {
		t.Errorf("got records %q, want %q", got, want)
	}
	if got, want := len(r.Merged.Signatures), localShards+remoteShards; got != want {
		t.Errorf("got %d signatures, want %d", got, want)
	}
}

// Shards that the regional delegate leaves out are missing in the answer, and aren't
// queried again.
func TestRegionalDelegateLeavesShardsOut(t *testing.T) {
	w := newRegionalHarness(t, 250*time.Millisecond, nil)
	g := w.requestRegional(1)
	w.endGather(g, almondstep.GatherEnded{Reply: regionalReply(remoteShards - 1)})
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomePartial || r.Merged.Missing != 1 {
		t.Fatalf("got %+v, want one shard missing", r)
	}
	if got, want := len(w.calls), localShards; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// If the part certainly hasn't run, the shards are queried from here.
func TestRegionalDelegateRefuses(t *testing.T) {
	for name, e := range map[string]almondstep.GatherEnded{
		"refused":  {NotRun: true, Err: "stopping"},
		"answered": {Reply: &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeNoReplica}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRegionalHarness(t, 250*time.Millisecond, nil)
			g := w.requestRegional(1)
			w.endGather(g, e)
			sent := append([]*almondstep.SendCall(nil), w.calls[localShards:]...)
			if got, want := len(sent), remoteShards; got != want {
				t.Fatalf("got %d further calls, want %d", got, want)
			}
			for _, c := range sent {
				w.end(c, almondstep.CallDone, record('f'))
			}
			if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
				t.Errorf("got %+v, want a complete answer", r)
			}
		})
	}
}

// If the part may have run, its shards aren't queried again, and the outcome isn't
// notRun. The regional delegate gets no parts until its round-trip time has been
// measured again.
func TestRegionalDelegateFails(t *testing.T) {
	w := newRegionalHarness(t, 250*time.Millisecond, nil)
	g := w.requestRegional(1)
	w.endGather(g, almondstep.GatherEnded{Err: "broken off"})
	if got, want := len(w.calls), localShards; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun || r.Merged != nil {
		t.Errorf("got %+v, want an unknown outcome without an answer", r)
	}
	w.advance(3 * time.Second)
	before := len(w.gathers)
	w.request(2, "/search/x")
	if got, want := len(w.gathers), before; got != want {
		t.Errorf("got %d parts delegated, want %d", got, want)
	}
	if got, want := w.rttRequests, 1; got != want {
		t.Errorf("got the round-trip time measured %d times, want %d", got, want)
	}
}

// A request whose calls from here were all refused may still have run at the regional
// delegate.
func TestOnlyRegionalDelegateMayHaveRun(t *testing.T) {
	w := newRegionalHarness(t, 250*time.Millisecond, func(p *almondstep.RouteSpec) { p.MinCoverage = 0.5 })
	w.reportRTT(almondstep.RTTMeasured{Took: regionalRTT})
	w.request(1, "/search/x")
	for len(w.pending) > 0 {
		for _, c := range w.calls {
			if w.pending[c.Call] != nil {
				w.end(c, almondstep.CallRefused, "")
			}
		}
	}
	w.advance(2 * time.Second)
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun {
		t.Errorf("got %+v, want an outcome other than notRun", r)
	}
}

// A regional delegate that doesn't answer delays the request no longer than to its
// deadline; a late answer is dropped.
func TestStalledRegionalDelegate(t *testing.T) {
	w := newRegionalHarness(t, 250*time.Millisecond, nil)
	g := w.requestRegional(1)
	w.advance(2 * time.Second)
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun {
		t.Fatalf("got %+v, want an outcome other than notRun", r)
	}
	w.endGather(g, almondstep.GatherEnded{Reply: regionalReply(remoteShards)})
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// A part isn't delegated again. All shards are queried from here if the latency target
// is too short for the round trip, if the route's regions exclude that of the regional
// delegate, or if there are few remote shards.
func TestPartsThatAreNotDelegated(t *testing.T) {
	for name, c := range map[string]struct {
		target time.Duration
		change func(*almondstep.RouteSpec)
	}{
		"a part":          {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.MinCoverage = 0 }},
		"too little time": {90 * time.Millisecond, nil},
		"few far shards":  {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.Shards = p.Shards[:localShards+2] }},
		"bound regions":   {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.Regions = []almondstep.RegionName{near} }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRegionalHarness(t, c.target, c.change)
			w.reportRTT(almondstep.RTTMeasured{Took: regionalRTT})
			w.request(1, "/search/x")
			if got, want := len(w.gathers), 0; got != want {
				t.Errorf("got %d parts delegated, want %d", got, want)
			}
		})
	}
}

// In random histories with a regional delegate that answers, leaves shards out,
// refuses, fails or doesn't answer, each request is answered exactly once, no signature
// occurs twice in an answer, its included and missing shards add up to all shards, the
// outcome is notRun only if nothing can have run, and no state is kept.
func TestRandomHistoriesWithRegionalDelegate(t *testing.T) {
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		w := newRegionalHarness(t, 250*time.Millisecond, nil)
		playRandomRegionalHistory(t, w, rng, seed)
		if t.Failed() {
			return
		}
	}
}

func playRandomRegionalHistory(t *testing.T, w *harness, rng *rand.Rand, seed int64) {
	t.Helper()
	const requests = 12
	mayHaveRun := map[almondstep.QueryID]bool{}
	path := map[almondstep.QueryID]string{}
	ended := 0
	for id := almondstep.QueryID(1); id <= requests; {
		if rng.Intn(3) == 0 {
			if rng.Intn(2) == 0 {
				w.reportRTT(almondstep.RTTMeasured{Took: regionalRTT})
			}
			path[id] = "/search/x"
			w.request(id, path[id])
			id++
		}
		endRandomCall(w, rng, mayHaveRun, path)
		if ended < len(w.gathers) && rng.Intn(3) == 0 {
			w.endRegional(w.gathers[ended], rng, mayHaveRun)
			ended++
		}
		w.advance(time.Duration(rng.Intn(40)) * time.Millisecond)
	}
	w.advance(2 * time.Second)
	for len(w.pending) > 0 {
		endRandomCall(w, rng, mayHaveRun, path)
	}
	for id := almondstep.QueryID(1); id <= requests; id++ {
		r := w.replies[id]
		if r == nil {
			t.Fatalf("seed %d: request %v was not answered", seed, id)
		}
		if r.Outcome == almondstep.OutcomeNotRun && mayHaveRun[id] {
			t.Errorf("seed %d: request %v was reported as not run", seed, id)
		}
		if r.Merged != nil {
			checkMerged(t, seed, id, r.Merged)
		}
	}
	for ; ended < len(w.gathers); ended++ {
		w.endRegional(w.gathers[ended], rng, mayHaveRun)
	}
	if got := w.f.Open(); got != 0 {
		t.Errorf("seed %d: got %d requests kept, want 0", seed, got)
	}
}

// endRegional ends a call to the regional delegate with a random result.
func (w *harness) endRegional(g *almondstep.SendGather, rng *rand.Rand, mayHaveRun map[almondstep.QueryID]bool) {
	w.t.Helper()
	switch rng.Intn(4) {
	case 0:
		w.endGather(g, almondstep.GatherEnded{NotRun: true, Err: "refused"})
	case 1:
		mayHaveRun[g.ID] = mayHaveRun[g.ID] || w.replies[g.ID] == nil
		w.endGather(g, almondstep.GatherEnded{Err: "broken off"})
	default:
		mayHaveRun[g.ID] = mayHaveRun[g.ID] || w.replies[g.ID] == nil
		w.endGather(g, almondstep.GatherEnded{Reply: regionalReply(1 + rng.Intn(remoteShards))})
	}
}

// checkMerged checks that each shard is either included once or counted as missing.
func checkMerged(t *testing.T, seed int64, id almondstep.QueryID, m *almondstep.MergedAnswer) {
	t.Helper()
	seen := map[string]bool{}
	for _, s := range m.Signatures {
		if seen[s] {
			t.Errorf("seed %d: request %v: signature %s occurs twice", seed, id, s)
		}
		seen[s] = true
	}
	if got, want := len(m.Signatures)+m.Missing, localShards+remoteShards; got != want {
		t.Errorf("seed %d: request %v: got %d shards in all, want %d", seed, id, got, want)
	}
}
