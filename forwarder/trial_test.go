package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// A request would otherwise miss its latency target for a trial of a slow upstream: one that may
// not be hedged, or a hedge of a trial that goes to another slow upstream. Two of three are slow.
func TestTrialCostsNoRequestItsTarget(t *testing.T) {
	d := directory(t, 1, nil)
	var all []*almondstep.Upstream
	for _, id := range []almondstep.UpstreamID{"slow1", "slow2", "usual"} {
		all = append(all, &almondstep.Upstream{ID: id, Service: shardName(0), Zone: "a", Region: near, Slots: 2})
	}
	w := newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: d.Routes(), Daemons: 1, Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{shardName(0): all},
	}))
	w.reduce(&almondstep.ViewChanged{})
	id := almondstep.QueryID(0)
	call := func(path string) *almondstep.SendCall {
		id++
		w.request(id, path)
		return w.calls[len(w.calls)-1]
	}
	for i := range 150 {
		c := call("/one/x")
		took := 15 * time.Millisecond
		if i >= 100 && c.Upstream.ID != "usual" {
			took = 700 * time.Millisecond
		}
		w.endAfter(c, almondstep.CallDone, record('a'), took)
		w.now = w.now.Add(20 * time.Millisecond)
	}
	w.now = w.now.Add(4 * time.Second)
	if c := call("/one/x"); c.Upstream.ID == "usual" {
		t.Fatal("got no trial, want one")
	}
	before := len(w.calls)
	w.advance(110 * time.Millisecond)
	if len(w.calls) != before+1 {
		t.Fatalf("got %d hedges of a trial, want 1", len(w.calls)-before)
	}
	if got := w.calls[before].Upstream.ID; got != "usual" {
		t.Errorf("got the hedge of a trial at %s, want it at the usual upstream", got)
	}
	w.endAfter(w.calls[before], almondstep.CallDone, record('a'), 15*time.Millisecond)
	w.now = w.now.Add(3 * time.Second)
	if c := call("/order/x"); c.Upstream.ID != "usual" {
		t.Errorf("got a request that can't be hedged at %s, want it at the usual upstream", c.Upstream.ID)
	}
}
