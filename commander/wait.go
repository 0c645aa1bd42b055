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
	// pollInterval is the time between two rounds of status requests.
	pollInterval = 200 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = time.Second
	// maxConcurrentPolls bounds the status requests in flight.
	maxConcurrentPolls = 32
)

// waiter polls all daemons in the platform's list until each has a revision in
// force. Set the first four fields before run; the other three are its result.
type waiter struct {
	platform almondstep.Platform
	revision almondstep.Revision
	within   time.Duration
	// progress receives a line whenever the count changes; nil prints nothing.
	progress io.Writer

	inForce    []almondstep.DaemonID
	behind     []almondstep.DaemonID
	unanswered []almondstep.DaemonID
}

// run returns nil when every daemon in the list has the revision in force, and an
// almondstep.ErrUnavailable if that takes longer than within. The error names the
// daemons that are behind and those that don't answer.
func (w *waiter) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.within)
	defer cancel()
	began := time.Now()
	fleet, err := w.platform.Fleet(ctx, 0, 0)
	if err != nil {
		return errors.Wrap(err, "the edit was accepted, but the platform's list of daemons can't be read")
	}
	peers := &messenger.Client{}
	printed := -1
	for {
		w.poll(ctx, peers, fleet.Daemons)
		if n := len(w.inForce); n != printed {
			printed = n
			w.print("in force at %d of %d daemons after %s\n", n, len(fleet.Daemons), time.Since(began).Round(time.Millisecond))
		}
		if len(w.inForce) == len(fleet.Daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return w.incompleteError()
		case <-time.After(pollInterval):
		}
	}
}

func (w *waiter) print(format string, args ...any) {
	if w.progress != nil {
		printf(w.progress, format, args...)
	}
}

// incompleteError returns an error with the daemons that lack the revision.
func (w *waiter) incompleteError() error {
	return errors.Wrapf(almondstep.ErrUnavailable,
		"accepted, but not yet known to be in force everywhere: behind %v, not heard from %v", w.behind, w.unanswered)
}

// poll requests the status of each daemon once.
func (w *waiter) poll(ctx context.Context, peers *messenger.Client, daemons []almondstep.DaemonVM) {
	revisions := make([]almondstep.Revision, len(daemons))
	answered := make([]bool, len(daemons))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for i, d := range daemons {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			s, err := peers.Status(ctx, d.Addr)
			if err == nil {
				revisions[i], answered[i] = s.Revision, s.Daemon == d.ID
			}
		})
	}
	group.Wait()
	w.classify(daemons, revisions, answered)
}

// classify sorts the daemons into those that have the revision in force, those with
// an older one and those that didn't answer.
func (w *waiter) classify(daemons []almondstep.DaemonVM, revisions []almondstep.Revision, answered []bool) {
	w.inForce, w.behind, w.unanswered = nil, nil, nil
	for i, d := range daemons {
		switch {
		case !answered[i]:
			w.unanswered = append(w.unanswered, d.ID)
		case revisions[i] < w.revision:
			w.behind = append(w.behind, d.ID)
		default:
			w.inForce = append(w.inForce, d.ID)
		}
	}
	slices.Sort(w.inForce)
	slices.Sort(w.behind)
	slices.Sort(w.unanswered)
}
