package recorder

import "almondstep"

// addGauges registers the gauges whose values are read from the newest view when
// the metrics are written.
func (r *Recorder) addGauges() {
	r.gauge(revision, func(v *almondstep.View) float64 { return float64(v.Revision()) })
	r.gauge(registryEra, func(v *almondstep.View) float64 { return float64(v.RegistryEra()) })
	r.gauge(ready, readiness)
	r.gauge(shardGatherers, func(v *almondstep.View) float64 {
		if d := v.Directory(); d != nil {
			return float64(d.Gatherers())
		}
		return 0
	})
	r.gauge(knownDaemons, func(v *almondstep.View) float64 { return float64(len(v.Peers())) })
	r.gauge(quarantined, func(v *almondstep.View) float64 { return float64(v.Status().Quarantined) })
	for _, t := range []almondstep.Temperature{almondstep.Cold, almondstep.Warm, almondstep.Leaving, almondstep.Lost} {
		r.gauge(labeled(ownedUpstreams, "temperature", t.String()), func(v *almondstep.View) float64 {
			return countOwned(v, func(o almondstep.OwnedUpstream) bool { return o.Temperature() == t })
		})
	}
	for _, state := range rolloutStates {
		r.gauge(labeled(rollouts, "state", state), func(v *almondstep.View) float64 { return countRollouts(v, state) })
	}
	for grant, name := range grantNames {
		r.gauge(labeled(grantedUpstreams, "grant", name), func(v *almondstep.View) float64 {
			return countOwned(v, func(o almondstep.OwnedUpstream) bool { return int(o.Grant()) == grant })
		})
	}
}

// grantNames has the label value of each grant.
var grantNames = [...]string{
	almondstep.GrantNone:     "none",
	almondstep.GrantWarmOnly: "warmOnly",
	almondstep.GrantFull:     "full",
}

// gauge registers a gauge that read derives from the newest view. It is 0 until
// the first view is published.
func (r *Recorder) gauge(name string, read func(*almondstep.View) float64) {
	r.set.NewGauge(name, func() float64 {
		v := r.view.Load()
		if v == nil {
			return 0
		}
		return read(v)
	})
}

func readiness(v *almondstep.View) float64 {
	if v.Ready() {
		return 1
	}
	return 0
}

func countOwned(v *almondstep.View, counts func(almondstep.OwnedUpstream) bool) float64 {
	n := 0
	for _, o := range v.OwnedAll() {
		if counts(o) {
			n++
		}
	}
	return float64(n)
}

// rolloutStates has the label values of rollouts.
var rolloutStates = []string{"waiting", "canary", "ramp", "all", "completed", "rolledBack"}

func rolloutState(r *almondstep.Rollout) string {
	d := r.Current()
	switch {
	case d == nil:
		return "waiting"
	case d.State == almondstep.RolloutCompleted:
		return "completed"
	case d.State == almondstep.RolloutRolledBack:
		return "rolledBack"
	}
	return d.Stage.String()
}

func countRollouts(v *almondstep.View, state string) float64 {
	if v.Directory() == nil {
		return 0
	}
	n := 0
	for _, r := range v.Directory().Rollouts() {
		if r.Order != nil && rolloutState(r) == state {
			n++
		}
	}
	return float64(n)
}
