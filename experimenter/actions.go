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

// action injects a fault or a change into the fleet of a run.
type action func(ctx context.Context, r *run) error

// actions are the actions that events can name.
var actions = map[string]action{
	"loseReplica":     loseReplica,
	"versionRoll":     versionRoll,
	"repartition":     repartition,
	"coldRestart":     coldRestart,
	"zoneOut":         drainLastZone,
	"zoneBack":        restoreLastZone,
	"daemonKill":      daemonKill,
	"platformOutage":  startPlatformOutage,
	"platformBack":    endPlatformOutage,
	"daemonStop":      daemonStop,
	"silentUpstreams": silentUpstreams,
}

// Scope and duration of the actions.
const (
	// affectedShardInterval limits some actions to replica 0 of one in this many
	// shards, from shard 0 on.
	affectedShardInterval = 10
	// downtime is how long a restarted upstream refuses connections.
	downtime = 300 * time.Millisecond
	// rollDuration is the duration of a version roll.
	rollDuration = 3 * time.Second
)

func actionNames() []string { return slices.Sorted(maps.Keys(actions)) }

func isAffected(u *embedder.Upstream) bool {
	return u.Replica() == 0 && u.Shard()%affectedShardInterval == 0
}

func loseReplica(_ context.Context, r *run) error {
	r.fleet.StopUpstreams(isAffected)
	return nil
}

func coldRestart(_ context.Context, r *run) error {
	r.fleet.Restart(downtime, isAffected)
	return nil
}

func silentUpstreams(_ context.Context, r *run) error {
	for _, u := range r.fleet.Upstreams() {
		if isAffected(u) {
			u.SilenceOpen()
		}
	}
	return nil
}

func versionRoll(_ context.Context, r *run) error {
	r.version++
	r.fleet.Roll(r.version, 1, rollDuration)
	return nil
}

func repartition(_ context.Context, r *run) error {
	const parts = 2
	r.version++
	r.fleet.Roll(r.version, parts, rollDuration)
	return nil
}

func drainLastZone(ctx context.Context, r *run) error   { return r.setLastZoneDrained(ctx, true) }
func restoreLastZone(ctx context.Context, r *run) error { return r.setLastZoneDrained(ctx, false) }

func daemonKill(_ context.Context, r *run) error {
	daemons := r.fleet.Daemons()
	r.fleet.KillDaemon(daemons[len(daemons)-1])
	return nil
}

func daemonStop(_ context.Context, r *run) error {
	daemons := r.fleet.Daemons()
	r.fleet.StopDaemon(daemons[len(daemons)-1])
	return nil
}

func startPlatformOutage(_ context.Context, r *run) error {
	r.fleet.Platform.SetSwitches(platform.Switches{Outage: true})
	return nil
}

func endPlatformOutage(_ context.Context, r *run) error {
	r.fleet.Platform.SetSwitches(platform.Switches{})
	return nil
}

// zoneName returns the name of a run's zone i.
func zoneName(i int) almondstep.ZoneName {
	return almondstep.ZoneName([]string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}[i])
}
