package planner_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/planner"
)

// replica returns a replica in zone a.
func replica(addr string, t almondstep.Temperature) almondstep.Replica {
	return almondstep.NewReplica(almondstep.Address(addr), "a", "o1", t, time.Millisecond)
}

// viewOf returns a view in zone a, with zone c drained.
func viewOf(placements map[almondstep.ServiceName][]almondstep.Placement) *almondstep.View {
	c, err := almondstep.NewCatalog(almondstep.CatalogConfig{
		Zones: []almondstep.ZoneConfig{{Name: "a"}, {Name: "b"}, {Name: "c", Drained: true}},
		Services: []almondstep.ServiceConfig{
			{Name: "desk", DialTime: "1ms", DependsOn: []almondstep.ServiceName{"store"}},
			{Name: "store", DialTime: "1ms"},
		},
	})
	if err != nil {
		panic(err)
	}
	return almondstep.NewView(almondstep.ViewSpec{Self: "o1", Zone: "a", Catalog: c, Placements: placements})
}

func planOf(v *almondstep.View, service almondstep.ServiceName) *planner.Plan {
	s, _ := v.Catalog().Service(service)
	var p planner.Planner
	return p.SearchPlan(v, s)
}

// newPlacement returns a placement from the replicas of each shard.
func newPlacement(version almondstep.Version, shards ...[]almondstep.Replica) almondstep.Placement {
	return almondstep.NewPlacement(version, uint32(len(shards)), shards)
}

type replicas = []almondstep.Replica

func ExamplePlanner_SearchPlan() {
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {
		newPlacement(9, replicas{replica("s0", almondstep.Warm)}, nil),
		newPlacement(8, replicas{replica("s0", almondstep.Warm)}, replicas{replica("s1", almondstep.Warm)}),
	}})
	plan := planOf(v, "store")
	fmt.Println(plan.Version(), plan.Complete())
	// Output: 8 true
}

func TestVersionChoice(t *testing.T) {
	warm, cold, leaving := replica("w", almondstep.Warm), replica("c", almondstep.Cold), replica("g", almondstep.Leaving)
	drained := almondstep.NewReplica("z", "c", "o1", almondstep.Warm, 0)
	unowned := almondstep.NewReplica("n", "a", "", almondstep.Warm, 0)
	for _, c := range []struct {
		name     string
		newest   almondstep.Placement
		older    almondstep.Placement
		want     almondstep.Version
		complete bool
	}{
		{"the newest complete one", newPlacement(9, replicas{warm}), newPlacement(8, replicas{warm}), 9, true},
		{"older and warm before newer and cold", newPlacement(9, replicas{cold}), newPlacement(8, replicas{warm}), 8, true},
		{"newer and cold before older and incomplete", newPlacement(9, replicas{cold}, replicas{cold}), newPlacement(8, replicas{warm}, nil), 9, true},
		{"a leaving replica doesn't count", newPlacement(9, replicas{leaving}), newPlacement(8, replicas{warm}), 8, true},
		{"a replica in a drained zone doesn't count", newPlacement(9, replicas{drained}), newPlacement(8, replicas{warm}), 8, true},
		{"a replica without an owner doesn't count", newPlacement(9, replicas{unowned}), newPlacement(8, replicas{warm}), 8, true},
		{"the largest coverage", newPlacement(9, replicas{warm}, nil, nil), newPlacement(8, replicas{warm}, replicas{warm}, nil), 8, false},
		{"the newest of equal coverage", newPlacement(9, replicas{warm}, nil), newPlacement(8, nil, replicas{warm}), 9, false},
		{"coverage by key space, not by number of shards", newPlacement(9, replicas{warm}, nil), newPlacement(8, replicas{warm}, replicas{warm}, nil, nil, nil), 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {c.newest, c.older}})
			plan := planOf(v, "store")
			if plan.Version() != c.want || plan.Complete() != c.complete {
				t.Errorf("version %d, complete %v; want %d, %v", plan.Version(), plan.Complete(), c.want, c.complete)
			}
		})
	}
}

// One version serves the whole closure, so a dependency that has only an older
// version keeps the search at that version; a dependency without any placement is
// missing entirely.
func TestOneVersionForClosure(t *testing.T) {
	warm := replicas{replica("w", almondstep.Warm)}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{
		"desk":  {newPlacement(9, warm, warm), newPlacement(8, warm, warm)},
		"store": {newPlacement(8, warm)},
	})
	plan := planOf(v, "desk")
	if got, want := plan.Version(), almondstep.Version(8); got != want || !plan.Complete() {
		t.Errorf("version %d, complete %v; want %d, complete", got, plan.Complete(), want)
	}
	v = viewOf(map[almondstep.ServiceName][]almondstep.Placement{"desk": {newPlacement(9, warm, warm)}})
	plan = planOf(v, "desk")
	if got, want := len(plan.Targets()), 3; got != want || plan.Complete() {
		t.Errorf("%d targets, complete %v; want %d, not complete", got, plan.Complete(), want)
	}
}

// The own zone is preferred, then the nearest replica; equals share the load.
func TestReplicaChoice(t *testing.T) {
	at := func(addr string, zone almondstep.ZoneName, distance time.Duration) almondstep.Replica {
		return almondstep.NewReplica(almondstep.Address(addr), zone, "o1", almondstep.Warm, distance)
	}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {newPlacement(9, replicas{
		at("far", "b", 20*time.Millisecond), at("a1", "a", time.Millisecond), at("a2", "a", time.Millisecond),
	})}})
	target := &planOf(v, "store").Targets()[0]
	drawn := map[almondstep.Address]int{}
	for i := range uint64(1_000) {
		r, ok := target.Choose(almondstep.HashUint64(i))
		if !ok {
			t.Fatal("no replica")
		}
		drawn[r.Upstream()]++
	}
	if drawn["far"] != 0 || drawn["a1"] < 400 || drawn["a2"] < 400 {
		t.Errorf("drawn %v, want a1 and a2 some 500 times each", drawn)
	}
}

// Index finds every shard of a plan, and no other shard.
func TestIndex(t *testing.T) {
	warm := replicas{replica("w", almondstep.Warm)}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{
		"desk": {newPlacement(9, warm, warm, warm)}, "store": {newPlacement(9, warm, warm)},
	})
	plan := planOf(v, "desk")
	for i := range plan.Targets() {
		if got, ok := plan.Index(plan.Targets()[i].Shard()); !ok || got != i {
			t.Errorf("shard %v is at %d, %v; want %d", plan.Targets()[i].Shard(), got, ok, i)
		}
	}
	for _, s := range []almondstep.Shard{
		almondstep.NewShard("desk", 3, 3), almondstep.NewShard("desk", 0, 4), almondstep.NewShard("other", 0, 3),
	} {
		if _, ok := plan.Index(s); ok {
			t.Errorf("found %v, which the plan doesn't want", s)
		}
	}
}

// The shard of a record is planned at a version at which it has a warm replica, also
// if it has a cold one at a newer version.
func TestOperationPlan(t *testing.T) {
	warm, cold := replicas{replica("w", almondstep.Warm)}, replicas{replica("c", almondstep.Cold)}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{
		"store": {newPlacement(9, cold, cold), newPlacement(8, warm, warm)},
	})
	plan := planner.OperationPlan(v, "store", "lot-1")
	want := almondstep.ShardOfKey("store", "lot-1", 2)
	if got := plan.Targets()[0].Shard(); got != want || plan.Version() != 8 {
		t.Errorf("%v at version %d, want %v at 8", got, plan.Version(), want)
	}
	if got, ok := plan.Index(want); !ok || got != 0 {
		t.Errorf("index %d, %v; want 0", got, ok)
	}
}

func TestRepick(t *testing.T) {
	at := func(addr string, owner almondstep.DaemonID, temperature almondstep.Temperature) almondstep.Replica {
		return almondstep.NewReplica(almondstep.Address(addr), "a", owner, temperature, 0)
	}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {newPlacement(9, replicas{
		at("s1", "o1", almondstep.Warm), at("s2", "o1", almondstep.Warm),
		at("s3", "o2", almondstep.Cold), at("s4", "o3", almondstep.Leaving),
	})}})
	tried := []planner.Attempt{{Upstream: "s1", Owner: "o1"}}
	for _, c := range []struct {
		name string
		want planner.RepickRequest
		addr almondstep.Address
	}{
		{"another upstream, warm before cold", planner.RepickRequest{Attempts: tried}, "s2"},
		{"another owner, although it is cold", planner.RepickRequest{Attempts: tried, OtherOwner: true}, "s3"},
		{"no cold one", planner.RepickRequest{Attempts: tried, OtherOwner: true, WarmOnly: true}, ""},
		{
			"the same upstream through its new owner, if there is no other",
			planner.RepickRequest{Attempts: []planner.Attempt{{Upstream: "s1", Owner: "o9"}, {Upstream: "s2", Owner: "o1"}}, WarmOnly: true},
			"s1",
		},
		{
			"not the straggler",
			planner.RepickRequest{Attempts: []planner.Attempt{{Upstream: "s1", Owner: "o9"}, {Upstream: "s2", Owner: "o1"}}, WarmOnly: true, OtherUpstream: true},
			"",
		},
	} {
		c.want.Shard = almondstep.NewShard("store", 0, 1)
		c.want.Version = 9
		r, ok := planner.Repick(v, c.want)
		if r.Upstream() != c.addr || ok != (c.addr != "") {
			t.Errorf("%s: got %q, %v; want %q", c.name, r.Upstream(), ok, c.addr)
		}
	}
}

// An upstream that was tried through its former owner ranks after those not tried,
// whatever the hash.
func TestRepickPrefersUntried(t *testing.T) {
	at := func(addr string) almondstep.Replica {
		return almondstep.NewReplica(almondstep.Address(addr), "a", "o1", almondstep.Warm, 0)
	}
	v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {newPlacement(9, replicas{at("s1"), at("s2"), at("s3")})}})
	drawn := map[almondstep.Address]int{}
	for hash := range uint64(300) {
		r, _ := planner.Repick(v, planner.RepickRequest{
			Shard:    almondstep.NewShard("store", 0, 1),
			Version:  9,
			Attempts: []planner.Attempt{{Upstream: "s1", Owner: "o9"}},
			Hash:     almondstep.HashUint64(hash),
		})
		drawn[r.Upstream()]++
	}
	if drawn["s1"] > 0 || drawn["s2"] < 100 || drawn["s3"] < 100 {
		t.Errorf("drawn %v, want s2 and s3 some 150 times each", drawn)
	}
}

// A cold replica gets warm-up traffic only if the shard has a warm one as well.
func TestWarmUpReplicaNeedsWarmReplica(t *testing.T) {
	warm, cold := replica("w", almondstep.Warm), replica("c", almondstep.Cold)
	for _, c := range []struct {
		name     string
		replicas replicas
		want     bool
	}{
		{"cold beside warm", replicas{warm, cold}, true},
		{"all warm", replicas{warm}, false},
		{"all cold", replicas{cold}, false},
		{"none", nil, false},
	} {
		v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": {newPlacement(1, c.replicas)}})
		r, got := planOf(v, "store").Targets()[0].ColdReplica(7)
		if got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		if got && r.Upstream() != "c" {
			t.Errorf("%s: got %s, want c", c.name, r.Upstream())
		}
	}
}
