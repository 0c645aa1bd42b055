package runner

import (
	"sync"

	"almondstep"
	"almondstep/reducer"
)

// thread runs one reducer. Its mailbox is a slice that the loop swaps for an
// empty one, so that a busy thread takes many events per lock. The mailbox
// itself has no limit, since the events are limited at their source, by the
// admission of queries and the number of open Works.
type thread struct {
	runner  *Runner
	reducer *reducer.Reducer

	mu     sync.Mutex
	inbox  []almondstep.Event
	closed bool
	wake   chan struct{}

	// effects and local are buffers that only the loop uses; local holds the events
	// that effects produce for this thread.
	effects []almondstep.Effect
	local   []almondstep.Event

	calls attemptCancels

	waitersMu  sync.Mutex
	callers    map[almondstep.QueryID]chan *almondstep.Answer
	gathers    map[gatherKey]gatherWaiter
	requesters map[almondstep.QueryID]chan *almondstep.Reply
}

// gatherKey identifies a Work at its owner.
type gatherKey struct {
	query   almondstep.QueryID
	attempt almondstep.AttemptID
}

// gatherWaiter is the recipient of a Work's answer: another daemon's call, which
// receives it from reply, or the query on the same thread if reply is nil.
type gatherWaiter struct {
	reply chan *almondstep.WorkAnswered
}

func newThread(r *Runner, red *reducer.Reducer) *thread {
	t := &thread{
		runner:     r,
		reducer:    red,
		wake:       make(chan struct{}, 1),
		callers:    make(map[almondstep.QueryID]chan *almondstep.Answer),
		gathers:    make(map[gatherKey]gatherWaiter),
		requesters: make(map[almondstep.QueryID]chan *almondstep.Reply),
	}
	t.calls.init()
	return t
}

// push adds an event to the mailbox; events after close are dropped.
func (t *thread) push(e almondstep.Event) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.inbox = append(t.inbox, e)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *thread) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// loop takes events until the thread is closed and the mailbox empty.
func (t *thread) loop() {
	var batch []almondstep.Event
	for {
		t.mu.Lock()
		batch, t.inbox = t.inbox, batch[:0]
		closed := t.closed
		t.mu.Unlock()
		if len(batch) == 0 {
			if closed {
				return
			}
			<-t.wake
			continue
		}
		for i, e := range batch {
			batch[i] = nil
			t.step(e)
		}
	}
}

// step reduces one event and all that follow from it on this thread.
func (t *thread) step(e almondstep.Event) {
	t.local = append(t.local, e)
	for i := 0; i < len(t.local); i++ {
		next := t.local[i]
		t.local[i] = nil
		t.effects = t.reducer.Reduce(t.runner.now(), t.runner.view.Load(), next, t.effects[:0])
		for j, f := range t.effects {
			t.effects[j] = nil
			t.perform(f)
		}
	}
	t.local = t.local[:0]
}

// dispatch delivers an effect that is an event of another partition: immediately
// if that partition is on this thread, else through the other thread's mailbox.
func (t *thread) dispatch(to *thread, e almondstep.Event) {
	if to == t {
		t.local = append(t.local, e)
		return
	}
	to.push(e)
}

// open returns the number of callers waiting for an answer on this thread.
func (t *thread) open() int {
	t.waitersMu.Lock()
	defer t.waitersMu.Unlock()
	return len(t.callers)
}
