package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/examples"
)

// drainedZone is the zone the demo drains.
const drainedZone almondstep.ZoneName = "rengo-depot"

// drainZone drains a zone, and checks that its upstreams receive no new requests
// once the edit is in force.
func (d *Demo) drainZone(ctx context.Context) error {
	text, err := drainedZoneConfig(examples.Roastery)
	if err != nil {
		return err
	}
	if err := d.apply(ctx, text, 1, "take "+string(drainedZone)+" out"); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	before := d.requestsIn(drainedZone)
	for range 5 {
		d.showSearch(ctx, "spanish", "mesa-recepcion", "routine")
	}
	got := d.requestsIn(drainedZone) - before
	d.record(row{
		what:      "upstreams of " + string(drainedZone),
		outcome:   fmt.Sprintf("%d requests since it is out", got),
		held:      got == 0,
		guarantee: "a zone that is out gets no new work",
	})
	return nil
}

// settleDelay is the time allowed for requests in flight to finish.
const settleDelay = 500 * time.Millisecond

// restoreZone restores the zone, and checks that its upstreams are used again and that
// none gets more requests than its limit while cold.
func (d *Demo) restoreZone(ctx context.Context) error {
	if err := d.apply(ctx, examples.Roastery, 2, "bring "+string(drainedZone)+" back"); err != nil {
		return err
	}
	before := d.requestsIn(drainedZone)
	used := d.waitUntil(ctx, func() bool {
		d.lastDaemon++
		a, err := d.search(ctx, "spanish", "mesa-recepcion", "routine")
		return err == nil && a.Coverage.Complete && d.requestsIn(drainedZone) > before
	})
	d.record(row{
		what:      "upstreams of " + string(drainedZone),
		outcome:   fmt.Sprintf("%d requests since it is back", d.requestsIn(drainedZone)-before),
		held:      used && d.overruns() == 0,
		guarantee: "a zone that is back is used again, gently",
	})
	return nil
}

func drainedZoneConfig(text []byte) ([]byte, error) {
	entry := []byte(`{"name": "` + string(drainedZone) + `", `)
	if !bytes.Contains(text, entry) {
		return nil, errors.Newf("the sample configuration has no zone %s", drainedZone)
	}
	return bytes.Replace(text, entry, append(entry, `"out": true, `...), 1), nil
}

// requestsIn counts the requests that a zone's upstreams started.
func (d *Demo) requestsIn(zone almondstep.ZoneName) int {
	n := 0
	for _, u := range d.fleet.Upstreams() {
		if u.VM().Zone == zone {
			n += u.Counters().Started
		}
	}
	return n
}
