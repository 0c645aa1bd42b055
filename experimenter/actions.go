package experimenter

import (
	"context"
	"maps"
	"slices"
	"time"

	"almondstep"
	"almondstep/embedder"
	"almondstep/standin/platform"
)

// action makes something happen to the set of a run.
type action func(ctx context.Context, r *run) error

// actions are what events may do.
var actions = map[string]action{
	"loseReplica":     loseReplica,
	"versionRoll":     versionRoll,
	"repartition":     repartition,
	"coldRestart":     coldRestart,
	"zoneOut":         zoneOut,
	"zoneBack":        zoneBack,
	"daemonKill":      daemonKill,
	"platformOutage":  platformOutage,
	"platformBack":    platformBack,
	"daemonStop":      daemonStop,
	"silentUpstreams": silentUpstreams,
}

// Parts of the set that actions are on.
const (
	// oneIn is in how many shards one loses a replica or restarts it.
	oneIn = 10
	// downtime is how long a restarted upstream refuses connections.
	downtime = 300 * time.Millisecond
	// rollTime is how long a roll of versions takes.
	rollTime = 3 * time.Second
)

func actionNames() []string { return slices.Sorted(maps.Keys(actions)) }

func someShards(u *embedder.Upstream) bool {
	return u.Replica() == 0 && u.Shard()%oneIn == 0
}

func loseReplica(_ context.Context, r *run) error {
	r.set.Lose(someShards)
	return nil
}

func coldRestart(_ context.Context, r *run) error {
	r.set.Restart(downtime, someShards)
	return nil
}

func silentUpstreams(_ context.Context, r *run) error {
	for _, u := range r.set.Upstreams() {
		if someShards(u) {
			u.SilenceOpen()
		}
	}
	return nil
}

func versionRoll(_ context.Context, r *run) error {
	r.version++
	r.set.Roll(r.version, 1, rollTime)
	return nil
}

func repartition(_ context.Context, r *run) error {
	const parts = 2
	r.version++
	r.set.Roll(r.version, parts, rollTime)
	return nil
}

func zoneOut(ctx context.Context, r *run) error  { return r.setZoneOut(ctx, true) }
func zoneBack(ctx context.Context, r *run) error { return r.setZoneOut(ctx, false) }

func daemonKill(_ context.Context, r *run) error {
	daemons := r.set.Daemons()
	r.set.KillDaemon(daemons[len(daemons)-1])
	return nil
}

func daemonStop(_ context.Context, r *run) error {
	daemons := r.set.Daemons()
	r.set.StopDaemon(daemons[len(daemons)-1])
	return nil
}

func platformOutage(_ context.Context, r *run) error {
	r.set.Platform.SetSwitches(platform.Switches{Outage: true})
	return nil
}

func platformBack(_ context.Context, r *run) error {
	r.set.Platform.SetSwitches(platform.Switches{})
	return nil
}

// zoneName gives the zones of a scenario their names.
func zoneName(i int) almondstep.ZoneName {
	return almondstep.ZoneName([]string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}[i])
}
