package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// shardRoutes returns routes over the shards s1 and s2, each upstream of which accepts some
// connections.
func shardRoutes(t *testing.T, connections int) *almondstep.RouteTable {
	t.Helper()
	search, err := almondstep.NewRoute(almondstep.RouteSpec{
		Name: "search", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, Shards: []almondstep.ServiceName{"s1", "s2"},
	})
	if err != nil {
		t.Fatal(err)
	}
	routes, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{
		Version: 1, Routes: []almondstep.Route{search},
		Services: []almondstep.RoutedService{{Name: "s1", MaxConnections: connections}, {Name: "s2", MaxConnections: connections}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return routes
}

// viewsOf returns the view of each daemon of zone z. cores are those of its daemons,
// others is the number of daemons in another zone, and connections is the number of
// connections that each upstream of a shard accepts; 0 means that none is stated.
func viewsOf(t *testing.T, cores []float64, others, connections int) []*almondstep.View {
	t.Helper()
	changes := &almondstep.RegistryChanges{Revision: 9, Routes: shardRoutes(t, connections)}
	id := func(i int) almondstep.DaemonID { return almondstep.DaemonID(fmt.Sprintf("d%02d", i)) }
	for i, c := range cores {
		changes.Daemons = append(changes.Daemons, almondstep.DaemonChange{Daemon: id(i), Alive: true, Zone: "z", Addr: almondstep.Address(id(i)), Cores: c})
	}
	for i := range others {
		changes.Daemons = append(changes.Daemons, almondstep.DaemonChange{Daemon: almondstep.DaemonID(fmt.Sprintf("o%02d", i)), Alive: true, Zone: "y", Addr: "o"})
	}
	var views []*almondstep.View
	for i, c := range cores {
		w := watcher.New(watcher.Config{Self: id(i), Zone: "z", Cores: c})
		for _, f := range w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Full: true, Changes: changes}, nil) {
			if p, ok := f.(*almondstep.PublishView); ok {
				views = append(views, p.View)
			}
		}
	}
	return views
}

// In a fleet of more than 9 daemons, the largest daemons of a region query the shards, until
// they hold a fifth of its processor time, and all daemons of the region list the same ones.
// Here each zone is a region: 2 of 13 daemons and, of 65 of unknown size, 13.
func TestLargestDaemonsGather(t *testing.T) {
	cores := []float64{0.2, 0.8, 0.4, 0.2, 0.8, 0.4, 0.2, 0.4, 0.2, 0.2, 0.4, 0.2, 0.8}
	gatherers := 0
	for i, v := range viewsOf(t, cores, 65, 61) {
		d := v.Directory()
		if got, want := d.Gatherers(), 15; got != want {
			t.Errorf("got %d gatherers, want %d", got, want)
		}
		if len(d.Delegates()) == 0 {
			gatherers++
			if cores[i] < 0.8 {
				t.Errorf("a daemon with %v cores queries shards", cores[i])
			}
			continue
		}
		if got, want := len(d.Delegates()), 2; got != want {
			t.Errorf("got %d delegates, want %d", got, want)
		}
		for _, g := range d.Delegates() {
			if g.Cores < 0.8 || g.Addr == "" {
				t.Errorf("got delegate %+v, want one of the largest", g)
			}
		}
	}
	if got, want := gatherers, 2; got != want {
		t.Errorf("got %d daemons that query shards, want %d", got, want)
	}
}

// In a fleet of up to 9 daemons, those with less than half the cores of their zone's largest
// delegate even if the upstreams accept enough connections.
func TestSmallDaemonsDelegate(t *testing.T) {
	cores := []float64{0.19, 0.8, 0.4, 0.19, 0.4}
	for i, v := range viewsOf(t, cores, 4, 610) {
		got := len(v.Directory().Delegates())
		want := 0
		if cores[i] < 0.4 {
			want = 3
		}
		if got != want {
			t.Errorf("a daemon with %v cores: got %d delegates, want %d", cores[i], got, want)
		}
	}
}

// Every daemon queries the shards itself if there are enough connections, if no limit is
// stated, or if the region has only two daemons.
func TestAllDaemonsGather(t *testing.T) {
	for name, views := range map[string][]*almondstep.View{
		"9 daemons":   viewsOf(t, []float64{0.4, 0.4, 0.4}, 6, 26),
		"no limit":    viewsOf(t, []float64{0.4, 0.4, 0.4, 0.4, 0.8}, 73, 0),
		"two daemons": viewsOf(t, []float64{0.2, 0.8}, 75, 61),
	} {
		for _, v := range views {
			if got := len(v.Directory().Delegates()); got != 0 {
				t.Errorf("%s: got %d delegates, want none", name, got)
			}
		}
	}
}
