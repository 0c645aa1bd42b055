package distributor

import (
	"fmt"
	"time"

	"almondstep"
)

const (
	// readWait is how long the platform may hold a read open.
	readWait = 500 * time.Millisecond
	// readTimeout is how much later than that an answer may come before the
	// read counts as silent and is asked again.
	readTimeout = 2 * time.Second
	// readPause is the least time between two reads, should the platform answer
	// without waiting.
	readPause = 250 * time.Millisecond
	// readBackoff and maxReadBackoff bound the pause after a failed read.
	readBackoff    = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// bootWait is how long a daemon that is no relay listens for a peer's
	// document before it asks the platform for its first.
	bootWait = time.Second
	// maxBootBackoff bounds the pause between its reads of the platform.
	maxBootBackoff = 10 * time.Second
)

// reader is what is under way at the platform.
type reader struct {
	random  jitter
	started bool
	// open says that the read asked for at asked has not ended.
	open  bool
	asked almondstep.Instant
	// after is the revision that read asked to be above.
	after almondstep.Revision
	next  almondstep.Instant
	fails int
}

// tick starts what is due and gives up what is overdue.
func (d *document) tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect {
	d.setRelay(relay)
	out = d.tickRead(now, out)
	return d.tickPull(now, out)
}

// setRelay lets a new relay read at once.
func (d *document) setRelay(relay bool) {
	if relay && !d.relay {
		d.reader.next = 0
	}
	d.relay = relay
}

func (d *document) tickRead(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &d.reader
	if !r.started {
		r.started = true
		r.next = now
		if !d.relay {
			r.next = now.Add(bootWait/2 + r.random.below(bootWait/2))
		}
	}
	if r.open && now.Sub(r.asked) > readWait+readTimeout {
		out = append(out, d.warn(fmt.Sprintf("the platform has not answered a read for %s; asking again", now.Sub(r.asked))))
		r.open = false
		r.fails++
	}
	wanted := d.relay || d.current == nil && !d.puller.open
	if r.open || !wanted || now < r.next {
		return out
	}
	r.open = true
	r.asked = now
	r.after = max(d.revision(), d.unsound.revision)
	return append(out, &almondstep.ReadDocument{Name: d.name, After: r.after, Wait: readWait, RequestedAt: now})
}

func (d *document) warn(message string) *almondstep.Report {
	return &almondstep.Report{Level: almondstep.ReportWarn, Subject: string(d.name), Message: message}
}

func (d *document) read(now almondstep.Instant, e *almondstep.DocumentRead, out []almondstep.Effect) []almondstep.Effect {
	r := &d.reader
	asked := e.RequestedAt
	if asked == 0 {
		asked = r.asked
	}
	expected := r.open && asked == r.asked
	if expected {
		r.open = false
		r.next = max(now, r.asked.Add(readPause))
	}
	if e.Unchanged {
		if expected && r.after == d.revision() {
			r.fails = 0
			d.confirm(confirmedAt(now, asked, true))
		}
		return out
	}
	if e.Err != "" || e.Document == nil {
		d.readFailed(now)
		return out
	}
	r.fails = 0
	before := d.revision()
	out, _ = d.take(e.Document, "the platform", out)
	if e.Document.Revision == d.revision() && e.Document.Hash == d.hash() {
		d.confirm(confirmedAt(now, asked, before == d.revision()))
		return out
	}
	// What isn't taken would be given again at once.
	d.readFailed(now)
	return out
}

// confirmedAt is the latest instant at which the platform surely still had
// what it answered. It looked when it was asked or later; if it found nothing
// new, it looked again at the end of the wait.
func confirmedAt(now, asked almondstep.Instant, unchanged bool) almondstep.Instant {
	if unchanged && now.Sub(asked) >= readWait {
		return asked.Add(readWait)
	}
	return asked
}

// readFailed sets the next read later, up to a bound, with jitter so that the
// fleet doesn't come back to the platform all at once.
func (d *document) readFailed(now almondstep.Instant) {
	r := &d.reader
	r.fails++
	most := maxReadBackoff
	if !d.relay {
		most = maxBootBackoff
	}
	pause := backoff(readBackoff, most, r.fails)
	r.next = now.Add(pause/2 + r.random.below(pause/2))
}

// backoff doubles from first on, up to most.
func backoff(first, most time.Duration, fails int) time.Duration {
	pause := first
	for i := 1; i < fails && pause < most; i++ {
		pause *= 2
	}
	return min(pause, most)
}
