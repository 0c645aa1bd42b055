// Package demonstrator runs the demo on an embedded fleet and checks every
// guarantee it prints.
//
// It starts a fleet on loopback with the services of the sample configuration
// examples/roastery.jsonc, applies this configuration, searches under each naming
// scheme, sends one order twice, drains a zone and restores it. It checks each answer
// against the records and prints whether the guarantee held:
//
//	search dns intake.roastery.example urgent            complete  33/33 shards, version 1  9.0 ms  [held]
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/embedder"
	"almondstep/examples"
	"almondstep/parser"
	"almondstep/standin/upstream"
)

// ErrCheckFailed is returned when a guarantee that the demo printed did not hold.
var ErrCheckFailed = errors.New("a guarantee did not hold")

const (
	daemonsPerZone  = 2
	recordsPerShard = 40
	settleTimeout   = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// Demo is one run. Set the fields, then call Run.
type Demo struct {
	Out io.Writer
	// Scale is the fraction of the roasting service's servers to start, 0 to 1. Each
	// service has at least one server for each zone.
	Scale  float64
	Seed   uint64
	Logger hclog.Logger

	fleet      *embedder.Fleet
	catalog    *almondstep.Catalog
	rows       []row
	lastDaemon int
}

// zones lists the zones of the sample configuration.
func zones(c *almondstep.Catalog) []almondstep.ZoneName {
	var names []almondstep.ZoneName
	for _, z := range c.Config().Zones {
		names = append(names, z.Name)
	}
	return names
}

// shapes returns the shapes of the sample configuration's services, with the number
// of servers multiplied by Scale.
func (d *Demo) shapes() []embedder.ServiceShape {
	const zones = 3
	servers := map[almondstep.ServiceName]int{
		"intake-desk":      40,
		"roast-scheduler":  60,
		"dispatch-counter": 5,
		"billing-office":   3,
	}
	var shapes []embedder.ServiceShape
	for _, s := range d.catalog.Config().Services {
		service, _ := d.catalog.Service(s.Name)
		n := max(zones, int(float64(servers[s.Name])*d.Scale))
		shapes = append(shapes, embedder.ServiceShape{
			Service:     s.Name,
			Servers:     n,
			Records:     recordsPerShard * n / zones,
			Slots:       service.Slots(),
			Connections: service.Connections(),
			Latency: upstream.Latency{
				Base:            2 * time.Millisecond,
				Spread:          2 * time.Millisecond,
				StragglerIn:     200,
				StragglerFactor: 10,
			},
		})
	}
	return shapes
}

// Run runs the demo. It returns ErrCheckFailed if a printed guarantee did not hold.
func (d *Demo) Run(ctx context.Context) error {
	catalog, err := parser.Parse(examples.Roastery)
	if err != nil {
		return err
	}
	d.catalog = catalog
	d.fleet = &embedder.Fleet{
		Zones:          zones(catalog),
		Shapes:         d.shapes(),
		DaemonsPerZone: daemonsPerZone,
		Cold:           true,
		Seed:           d.Seed,
		Logger:         d.Logger,
	}
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	defer d.fleet.Stop()
	_, _ = fmt.Fprintf(d.Out, "started: 1 platform, %d upstreams in %d zones, %d daemons\n",
		len(d.fleet.Upstreams()), len(d.fleet.Zones), len(d.fleet.Daemons()))
	return d.runSteps(ctx)
}

// runSteps runs the steps of the demo in order.
func (d *Demo) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.applySample,
		d.warmUp,
		d.searchEveryScheme,
		d.runOrder,
		d.drainZone,
		d.restoreZone,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.summary()
}

func (d *Demo) applySample(ctx context.Context) error {
	return d.apply(ctx, examples.Roastery, 0, "first text")
}

// apply applies a configuration and waits until every daemon has it in force.
func (d *Demo) apply(ctx context.Context, text []byte, base almondstep.Revision, reason string) error {
	result, err := d.fleet.Apply(ctx, text, base, reason)
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	began := time.Now()
	everywhere := d.waitUntil(ctx, func() bool {
		for _, r := range d.fleet.Daemons() {
			if r.Frontend().View().Revision() < result.Revision {
				return false
			}
		}
		return true
	})
	d.record(row{
		what:      fmt.Sprintf("apply %q", reason),
		outcome:   fmt.Sprintf("revision %d in force on %d daemons", result.Revision, len(d.fleet.Daemons())),
		took:      time.Since(began),
		held:      everywhere && time.Since(began) < maxApplyTime,
		guarantee: "in force everywhere within 3 s",
	})
	return nil
}

// maxApplyTime bounds the time until an accepted edit is in force everywhere.
const maxApplyTime = 3 * time.Second

// waitUntil polls a condition until it holds or settleTimeout has passed.
func (d *Demo) waitUntil(ctx context.Context, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
