package allocator_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/allocator"
)

// A daemon that starts after the registry has lost all entries knows of no other daemon. If it took
// itself for the whole fleet, it would grant the whole limit beside the others, as in the soak's seeds
// 4 and 5.
func TestDaemonWithoutEarlierEntryGrantsLittle(t *testing.T) {
	for _, c := range []struct {
		atStart int
		most    int
	}{{atStart: 0, most: 12}, {atStart: 1, most: 60}} {
		o := organisation(t, "mills", 10, 10)
		routes, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Organisations: []*almondstep.Organisation{o}})
		if err != nil {
			t.Fatal(err)
		}
		view := almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{
			Routes: routes, Members: []almondstep.Member{{ID: "d0", Zone: "a", Region: "r", Cores: 1}}, MembersAtStart: c.atStart,
		})})
		a := allocator.New(allocator.Config{Self: "d0", Window: 5 * time.Second, Overage: 0.1, Slack: 20, Epoch: 7})
		granted := 0
		for now := almondstep.Instant(time.Second); now < almondstep.Instant(5*time.Second); now = now.Add(100 * time.Millisecond) {
			effects := a.Reduce(now, view, &almondstep.ControlTick{}, nil)
			effects = a.Reduce(now, view, &almondstep.RequestQuota{ID: 1, Organisation: "mills"}, effects)
			for _, f := range effects {
				if d, ok := f.(*almondstep.QuotaDecided); ok && d.Granted {
					granted++
				}
			}
		}
		if granted > c.most || c.atStart > 0 && granted < 30 {
			t.Errorf("%d daemons listed at the start: got %d requests granted in 4 s, want at most %d, and most of the limit if the entry was listed", c.atStart, granted, c.most)
		}
	}
}
