package commander

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger"
)

const (
	// askEvery is the time between two rounds of questions.
	askEvery = 200 * time.Millisecond
	// askTimeout bounds one daemon's answer.
	askTimeout = time.Second
	// askAtOnce bounds the questions that are open at a time.
	askAtOnce = 32
)

// waiter asks all daemons in the platform's list until each has a revision in
// force. Its first fields are set before run; the others hold the outcome.
type waiter struct {
	platform almondstep.Platform
	revision almondstep.Revision
	within   time.Duration
	// progress gets a line whenever the count changes; nil prints nothing.
	progress io.Writer

	inForce  []almondstep.DaemonID
	behind   []almondstep.DaemonID
	notHeard []almondstep.DaemonID
}

// run returns nil when every daemon that answers has the revision, and an
// almondstep.ErrUnavailable when some don't in time. Daemons that never answer
// are named; they count as not reached only at the end.
func (w *waiter) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.within)
	defer cancel()
	began := time.Now()
	fleet, err := w.platform.Fleet(ctx, 0, 0)
	if err != nil {
		return errors.Wrap(err, "accepted, but the list of daemons can't be read")
	}
	peers := &messenger.Client{}
	printed := -1
	for {
		w.ask(ctx, peers, fleet.Daemons)
		if n := len(w.inForce); n != printed {
			printed = n
			w.print("in force at %d of %d daemons after %s\n", n, len(fleet.Daemons), time.Since(began).Round(time.Millisecond))
		}
		if len(w.inForce) == len(fleet.Daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return w.incomplete()
		case <-time.After(askEvery):
		}
	}
}

func (w *waiter) print(format string, args ...any) {
	if w.progress != nil {
		printf(w.progress, format, args...)
	}
}

// incomplete says which daemons lack the revision.
func (w *waiter) incomplete() error {
	return errors.Wrapf(almondstep.ErrUnavailable,
		"accepted, but not yet known to be in force everywhere: behind %v, not heard from %v", w.behind, w.notHeard)
}

// ask asks each daemon once.
func (w *waiter) ask(ctx context.Context, peers *messenger.Client, daemons []almondstep.DaemonVM) {
	revisions := make([]almondstep.Revision, len(daemons))
	heard := make([]bool, len(daemons))
	var group sync.WaitGroup
	gate := make(chan struct{}, askAtOnce)
	for i, d := range daemons {
		gate <- struct{}{}
		group.Go(func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			s, err := peers.Status(ctx, d.Addr)
			if err == nil {
				revisions[i], heard[i] = s.Revision, s.Daemon == d.ID
			}
		})
	}
	group.Wait()
	w.sort(daemons, revisions, heard)
}

func (w *waiter) sort(daemons []almondstep.DaemonVM, revisions []almondstep.Revision, heard []bool) {
	w.inForce, w.behind, w.notHeard = nil, nil, nil
	for i, d := range daemons {
		switch {
		case !heard[i]:
			w.notHeard = append(w.notHeard, d.ID)
		case revisions[i] < w.revision:
			w.behind = append(w.behind, d.ID)
		default:
			w.inForce = append(w.inForce, d.ID)
		}
	}
	slices.Sort(w.inForce)
	slices.Sort(w.behind)
	slices.Sort(w.notHeard)
}
