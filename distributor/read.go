package distributor

import (
	"fmt"
	"time"

	"almondstep"
)

const (
	// readWait is how long the platform may hold a read open.
	readWait = 500 * time.Millisecond
	// readTimeout is the time after readWait at which an unanswered read is abandoned.
	readTimeout = 2 * time.Second
	// minReadInterval is the minimum time between two reads. It limits the rate if the
	// platform answers without waiting.
	minReadInterval = 250 * time.Millisecond
	// readBackoff and maxReadBackoff bound the delay after a failed read.
	readBackoff    = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// bootReadDelay is the maximum time that a daemon that isn't a relay waits for a
	// document from a peer before its first read of the platform.
	bootReadDelay = time.Second
	// maxBootBackoff bounds the delay after a failed read of such a daemon.
	maxBootBackoff = 10 * time.Second
)

// reader is the state of reads from the platform.
type reader struct {
	random  jitter
	started bool
	// open is set while the read sent at requestedAt is in flight.
	open        bool
	requestedAt almondstep.Instant
	// after is the revision above which that read requests the document.
	after almondstep.Revision
	next  almondstep.Instant
	fails int
}

// tick starts reads and pulls that are due and abandons those that are overdue.
func (d *document) tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect {
	d.setRelay(relay)
	out = d.tickRead(now, out)
	return d.tickPull(now, out)
}

// setRelay sets whether this daemon is a relay; a new relay reads at once.
func (d *document) setRelay(relay bool) {
	if relay && !d.relay {
		d.reader.next = 0
	}
	d.relay = relay
}

// tickRead starts a read if one is due: of a relay, or of a daemon that has no revision
// and no pull in flight. It abandons an overdue read.
func (d *document) tickRead(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &d.reader
	if !r.started {
		r.started = true
		r.next = now
		if !d.relay {
			r.next = now.Add(bootReadDelay/2 + r.random.below(bootReadDelay/2))
		}
	}
	if r.open && now.Sub(r.requestedAt) > readWait+readTimeout {
		out = append(out, d.warn(fmt.Sprintf("the platform has not answered a read for %s; asking again", now.Sub(r.requestedAt))))
		r.open = false
		r.fails++
	}
	wanted := d.relay || d.current == nil && !d.puller.open
	if r.open || !wanted || now < r.next {
		return out
	}
	r.open = true
	r.requestedAt = now
	r.after = max(d.revision(), d.invalid.revision)
	return append(out, &almondstep.ReadDocument{Name: d.name, After: r.after, Wait: readWait, RequestedAt: now})
}

func (d *document) warn(message string) *almondstep.Report {
	return &almondstep.Report{Level: almondstep.ReportWarn, Subject: string(d.name), Message: message}
}

// read handles the platform's answer to a read. A late answer is applied too, but only
// that of the open read ends it.
func (d *document) read(now almondstep.Instant, e *almondstep.DocumentRead, out []almondstep.Effect) []almondstep.Effect {
	r := &d.reader
	requestedAt := e.RequestedAt
	if requestedAt == 0 {
		requestedAt = r.requestedAt
	}
	expected := r.open && requestedAt == r.requestedAt
	if expected {
		r.open = false
		r.next = max(now, r.requestedAt.Add(minReadInterval))
	}
	if e.Unchanged {
		if expected && r.after == d.revision() {
			r.fails = 0
			d.confirm(confirmedAt(now, requestedAt, true))
		}
		return out
	}
	if e.Err != "" || e.Document == nil {
		d.readFailed(now)
		return out
	}
	r.fails = 0
	before := d.revision()
	out, _ = d.accept(e.Document, "the platform", out)
	if e.Document.Revision == d.revision() && e.Document.Hash == d.hash() {
		d.confirm(confirmedAt(now, requestedAt, before == d.revision()))
		return out
	}
	// A rejected document would be returned again at once.
	d.readFailed(now)
	return out
}

// confirmedAt returns the latest instant at which the platform certainly had what it
// answered. It checked no earlier than the request was sent and, if there was nothing
// new, again at the end of the wait.
func confirmedAt(now, requestedAt almondstep.Instant, unchanged bool) almondstep.Instant {
	if unchanged && now.Sub(requestedAt) >= readWait {
		return requestedAt.Add(readWait)
	}
	return requestedAt
}

// readFailed delays the next read with a bounded exponential backoff. Its jitter keeps
// the daemons from reading at the same time after an outage of the platform.
func (d *document) readFailed(now almondstep.Instant) {
	r := &d.reader
	r.fails++
	maxDelay := maxReadBackoff
	if !d.relay {
		maxDelay = maxBootBackoff
	}
	delay := backoff(readBackoff, maxDelay, r.fails)
	r.next = now.Add(delay/2 + r.random.below(delay/2))
}

// backoff returns the delay after a number of failures: it doubles from first, up
// to maxDelay.
func backoff(first, maxDelay time.Duration, fails int) time.Duration {
	delay := first
	for i := 1; i < fails && delay < maxDelay; i++ {
		delay *= 2
	}
	return min(delay, maxDelay)
}
