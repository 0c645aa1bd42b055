package forwarder_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"almondstep"
)

const (
	// farOnly shards have no upstream in the daemon's region, nearToo have.
	farOnly, nearToo = 4, 4
	// helperWay is the measured way to a helper, there and back.
	helperWay = 24 * time.Millisecond
)

// helping is a world with a helper in the far region.
func helping(t *testing.T, target time.Duration, change func(*almondstep.RouteSpec)) *world {
	t.Helper()
	whole := directory(t, nearToo+farOnly, func(p *almondstep.RouteSpec) {
		p.LatencyTarget = target
		p.Records = 4
		if change != nil {
			change(p)
		}
	})
	upstreams := whole.AllUpstreams()
	for i := range farOnly {
		s := shardName(nearToo + i)
		upstreams[s] = upstreams[s][1:]
	}
	return newWorld(t, bounds(), almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: whole.Routes(), Upstreams: upstreams, Daemons: 8,
		RegionalDelegates: map[almondstep.RegionName][]almondstep.Delegate{far: {{ID: "helper", Addr: "h:1", Cores: 0.4}}},
	}))
}

// measure tells the way to the helper.
func (w *world) measure(e almondstep.RTTMeasured) {
	w.t.Helper()
	e.To = "helper"
	w.reduce(&e)
}

// partOf is a helper's answer of so many shards.
func partOf(shards int) *almondstep.Reply {
	m := &almondstep.MergedAnswer{Missing: farOnly - shards}
	for i := range shards {
		m.Records = append(m.Records, record(byte('z'-i))...)
		m.Signatures = append(m.Signatures, fmt.Sprintf("far%d", i))
	}
	return &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Merged: m}
}

// helped asks, once the way is known, and ends the calls to the near shards.
func (w *world) helped(id almondstep.QueryID) *almondstep.SendGather {
	w.t.Helper()
	w.measure(almondstep.RTTMeasured{Took: helperWay})
	before, calls := len(w.handed), len(w.order)
	w.ask(id, "/search/x")
	if got, want := len(w.handed)-before, 1; got != want {
		w.t.Fatalf("got %d parts handed out, want %d", got, want)
	}
	sent := append([]*almondstep.SendCall(nil), w.order[calls:]...)
	if got, want := len(sent), nearToo; got != want {
		w.t.Fatalf("got %d calls from here, want %d", got, want)
	}
	for i, c := range sent {
		w.end(c, almondstep.CallDone, record(byte('a'+i)))
	}
	return w.handed[before]
}

// Until the way to a helper is known, shards are asked from here, and the way is
// measured. Then the far ones go to the helper, with the time that is left there.
func TestFarShardsGoToAHelper(t *testing.T) {
	w := helping(t, 250*time.Millisecond, nil)
	w.ask(1, "/search/x")
	w.ask(2, "/search/x")
	if got, want := len(w.order), 2*(nearToo+farOnly); got != want {
		t.Fatalf("before the way is known: got %d calls from here, want %d", got, want)
	}
	if got, want := w.measures, 1; got != want {
		t.Errorf("got the way measured %d times, want %d", got, want)
	}
	g := w.helped(3)
	if got, want := len(g.Request.Route.Shards()), farOnly; got != want {
		t.Errorf("got %d shards handed out, want %d", got, want)
	}
	if got, most := g.Request.Route.LatencyTarget(), 250*time.Millisecond-helperWay; got > most {
		t.Errorf("got a latency target of %v there, want at most %v", got, most)
	}
	w.advance(50 * time.Millisecond)
	w.gathered(g, almondstep.GatherEnded{Reply: partOf(farOnly)})
	r := w.replies[3]
	if r == nil || r.Outcome != almondstep.OutcomeComplete {
		t.Fatalf("got %+v, want a complete answer", r)
	}
	if got, want := string(r.Merged.Records), record('z')+record('y')+record('x')+record('w'); got != want {
		t.Errorf("got records %q, want %q", got, want)
	}
	if got, want := len(r.Merged.Signatures), nearToo+farOnly; got != want {
		t.Errorf("got %d signatures, want %d", got, want)
	}
}

// What the helper leaves out is missing in the answer, and isn't asked for again.
func TestHelperLeavesShardsOut(t *testing.T) {
	w := helping(t, 250*time.Millisecond, nil)
	g := w.helped(1)
	w.gathered(g, almondstep.GatherEnded{Reply: partOf(farOnly - 1)})
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomePartial || r.Merged.Missing != 1 {
		t.Fatalf("got %+v, want one shard missing", r)
	}
	if got, want := len(w.order), nearToo; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// Where the part certainly hasn't run, the shards are asked from here.
func TestHelperRefuses(t *testing.T) {
	for name, e := range map[string]almondstep.GatherEnded{
		"refused":  {NotRun: true, Err: "stopping"},
		"answered": {Reply: &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeNoReplica}},
	} {
		t.Run(name, func(t *testing.T) {
			w := helping(t, 250*time.Millisecond, nil)
			g := w.helped(1)
			w.gathered(g, e)
			sent := append([]*almondstep.SendCall(nil), w.order[nearToo:]...)
			if got, want := len(sent), farOnly; got != want {
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

// Where the part may have run, it isn't asked again, and the caller isn't told that
// the request hasn't run. The helper gets none until its way is known again.
func TestHelperFails(t *testing.T) {
	w := helping(t, 250*time.Millisecond, nil)
	g := w.helped(1)
	w.gathered(g, almondstep.GatherEnded{Err: "broken off"})
	if got, want := len(w.order), nearToo; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun || r.Merged != nil {
		t.Errorf("got %+v, want no answer that promises anything", r)
	}
	w.advance(3 * time.Second)
	handed := len(w.handed)
	w.ask(2, "/search/x")
	if got, want := len(w.handed), handed; got != want {
		t.Errorf("got %d parts handed out, want %d", got, want)
	}
	if got, want := w.measures, 1; got != want {
		t.Errorf("got the way measured %d times, want %d", got, want)
	}
}

// A request whose every call from here was refused may still have run at the helper.
func TestOnlyTheHelperMayHaveRun(t *testing.T) {
	w := helping(t, 250*time.Millisecond, func(p *almondstep.RouteSpec) { p.MinCoverage = 0.5 })
	w.measure(almondstep.RTTMeasured{Took: helperWay})
	w.ask(1, "/search/x")
	for len(w.sent) > 0 {
		for _, c := range w.order {
			if w.sent[c.Call] != nil {
				w.end(c, almondstep.CallRefused, "")
			}
		}
	}
	w.advance(2 * time.Second)
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun {
		t.Errorf("got %+v, want an answer that promises nothing", r)
	}
}

// A helper that says nothing costs no more than the request's time; what came too
// late is dropped.
func TestHelperIsSilent(t *testing.T) {
	w := helping(t, 250*time.Millisecond, nil)
	g := w.helped(1)
	w.advance(2 * time.Second)
	if r := w.replies[1]; r == nil || r.Outcome == almondstep.OutcomeNotRun {
		t.Fatalf("got %+v, want an answer that promises nothing", r)
	}
	w.gathered(g, almondstep.GatherEnded{Reply: partOf(farOnly)})
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// A part isn't split again; and a request whose target doesn't bear the way, whose
// regions exclude the helper's, or that needs few far shards is asked from here.
func TestWhatIsNotHandedOut(t *testing.T) {
	for name, c := range map[string]struct {
		target time.Duration
		change func(*almondstep.RouteSpec)
	}{
		"a part":          {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.MinCoverage = 0 }},
		"too little time": {90 * time.Millisecond, nil},
		"few far shards":  {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.Shards = p.Shards[:nearToo+2] }},
		"bound regions":   {250 * time.Millisecond, func(p *almondstep.RouteSpec) { p.Regions = []almondstep.RegionName{near} }},
	} {
		t.Run(name, func(t *testing.T) {
			w := helping(t, c.target, c.change)
			w.measure(almondstep.RTTMeasured{Took: helperWay})
			w.ask(1, "/search/x")
			if got, want := len(w.handed), 0; got != want {
				t.Errorf("got %d parts handed out, want %d", got, want)
			}
		})
	}
}

// In random histories with a helper that answers, leaves out, refuses, fails or says
// nothing, each request is answered once and in time, no signature stands twice in an
// answer, its count is right, and notRun is true.
func TestRandomHistoriesWithAHelper(t *testing.T) {
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		w := helping(t, 250*time.Millisecond, nil)
		playHelped(t, w, rng, seed)
		if t.Failed() {
			return
		}
	}
}

func playHelped(t *testing.T, w *world, rng *rand.Rand, seed int64) {
	t.Helper()
	const asked = 12
	mayHaveRun := map[almondstep.QueryID]bool{}
	path := map[almondstep.QueryID]string{}
	ended := 0
	for id := almondstep.QueryID(1); id <= asked; {
		if rng.Intn(3) == 0 {
			if rng.Intn(2) == 0 {
				w.measure(almondstep.RTTMeasured{Took: helperWay})
			}
			path[id] = "/search/x"
			w.ask(id, path[id])
			id++
		}
		endSome(w, rng, mayHaveRun, path)
		if ended < len(w.handed) && rng.Intn(3) == 0 {
			w.endHelp(w.handed[ended], rng, mayHaveRun)
			ended++
		}
		w.advance(time.Duration(rng.Intn(40)) * time.Millisecond)
	}
	w.advance(2 * time.Second)
	for len(w.sent) > 0 {
		endSome(w, rng, mayHaveRun, path)
	}
	for id := almondstep.QueryID(1); id <= asked; id++ {
		r := w.replies[id]
		if r == nil {
			t.Fatalf("seed %d: request %v was not answered", seed, id)
		}
		if r.Outcome == almondstep.OutcomeNotRun && mayHaveRun[id] {
			t.Errorf("seed %d: request %v was said not to have run", seed, id)
		}
		if r.Merged != nil {
			checkMerged(t, seed, id, r.Merged)
		}
	}
	for ; ended < len(w.handed); ended++ {
		w.endHelp(w.handed[ended], rng, mayHaveRun)
	}
	if got := w.f.Open(); got != 0 {
		t.Errorf("seed %d: got %d requests kept, want 0", seed, got)
	}
}

func (w *world) endHelp(g *almondstep.SendGather, rng *rand.Rand, mayHaveRun map[almondstep.QueryID]bool) {
	w.t.Helper()
	switch rng.Intn(4) {
	case 0:
		w.gathered(g, almondstep.GatherEnded{NotRun: true, Err: "refused"})
	case 1:
		mayHaveRun[g.ID] = mayHaveRun[g.ID] || w.replies[g.ID] == nil
		w.gathered(g, almondstep.GatherEnded{Err: "broken off"})
	default:
		mayHaveRun[g.ID] = mayHaveRun[g.ID] || w.replies[g.ID] == nil
		w.gathered(g, almondstep.GatherEnded{Reply: partOf(1 + rng.Intn(farOnly))})
	}
}

func checkMerged(t *testing.T, seed int64, id almondstep.QueryID, m *almondstep.MergedAnswer) {
	t.Helper()
	seen := map[string]bool{}
	for _, s := range m.Signatures {
		if seen[s] {
			t.Errorf("seed %d: request %v: signature %s stands twice", seed, id, s)
		}
		seen[s] = true
	}
	if got, want := len(m.Signatures)+m.Missing, nearToo+farOnly; got != want {
		t.Errorf("seed %d: request %v: got %d shards in all, want %d", seed, id, got, want)
	}
}
