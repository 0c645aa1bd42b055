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

// zoneTaken is the zone the demo takes out of service.
const zoneTaken almondstep.ZoneName = "rengo-depot"

// zoneOut edits the text so that a zone is out, and checks that its upstreams
// get nothing new once the edit is in force.
func (d *Demo) zoneOut(ctx context.Context) error {
	text, err := zoneOutText(examples.Roastery)
	if err != nil {
		return err
	}
	if err := d.apply(ctx, text, 1, "take "+string(zoneTaken)+" out"); err != nil {
		return err
	}
	time.Sleep(settled)
	before := d.callsIn(zoneTaken)
	for range 5 {
		d.showSearch(ctx, "spanish", "mesa-recepcion", "routine")
	}
	got := d.callsIn(zoneTaken) - before
	d.record(row{
		what:    "upstreams of " + string(zoneTaken),
		outcome: fmt.Sprintf("%d requests since it is out", got),
		held:    got == 0,
		promise: "a zone that is out gets no new work",
	})
	return nil
}

// settled is how long requests that were under way may take to end.
const settled = 500 * time.Millisecond

// zoneBack brings the zone back and checks that its upstreams are warmed gently.
func (d *Demo) zoneBack(ctx context.Context) error {
	if err := d.apply(ctx, examples.Roastery, 2, "bring "+string(zoneTaken)+" back"); err != nil {
		return err
	}
	before := d.callsIn(zoneTaken)
	used := d.until(ctx, func() bool {
		d.turn++
		a, err := d.search(ctx, "spanish", "mesa-recepcion", "routine")
		return err == nil && a.Coverage.Complete && d.callsIn(zoneTaken) > before
	})
	d.record(row{
		what:    "upstreams of " + string(zoneTaken),
		outcome: fmt.Sprintf("%d requests since it is back", d.callsIn(zoneTaken)-before),
		held:    used && d.overruns() == 0,
		promise: "a zone that is back is used again, gently",
	})
	return nil
}

func zoneOutText(text []byte) ([]byte, error) {
	entry := []byte(`{"name": "` + string(zoneTaken) + `", `)
	if !bytes.Contains(text, entry) {
		return nil, errors.Newf("the sample text has no zone %s", zoneTaken)
	}
	return bytes.Replace(text, entry, append(entry, `"out": true, `...), 1), nil
}

// callsIn counts the requests that a zone's upstreams were sent.
func (d *Demo) callsIn(zone almondstep.ZoneName) int {
	n := 0
	for _, u := range d.set.Upstreams() {
		if u.VM().Zone == zone {
			n += u.Counters().Started
		}
	}
	return n
}
