package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
)

// maxQueued bounds the claims in a bucket's queue. Further claims are refused at
// once.
const maxQueued = 1024

// Claimer is an almondstep.Claimer. Its fields are set before Run.
type Claimer struct {
	Platform almondstep.Platform
	// Logger logs failures of the platform; nil logs nothing.
	Logger hclog.Logger
	// Now returns the time at which keys are checked; nil means time.Now.
	Now func() time.Time

	once sync.Once
	// start is the time of the claimer's first use.
	start  time.Time
	queues [Buckets]chan *claim
	done   chan struct{}
}

var _ almondstep.Claimer = (*Claimer)(nil)

func (c *Claimer) init() {
	c.once.Do(func() {
		if c.Logger == nil {
			c.Logger = hclog.NewNullLogger()
		}
		if c.Now == nil {
			c.Now = time.Now
		}
		c.start = time.Now()
		c.done = make(chan struct{})
		for i := range c.queues {
			c.queues[i] = make(chan *claim, maxQueued)
		}
	})
}

// Run processes the claims of all buckets until the context ends. Claims that are
// pending then end as unavailable.
func (c *Claimer) Run(ctx context.Context) {
	c.init()
	var wg sync.WaitGroup
	for i := range c.queues {
		wg.Go(func() {
			d := &driver{claimer: c, index: i, queue: c.queues[i]}
			d.run(ctx)
		})
	}
	wg.Wait()
	close(c.done)
}

// Claim claims a key and waits for the outcome, at most for the remaining time. A
// key that is malformed, expired or from the future counts as taken: an earlier
// request with it may have run.
func (c *Claimer) Claim(ctx context.Context, k *almondstep.ClaimKey) almondstep.ClaimOutcome {
	c.init()
	key, err := ParseKey(k.Key)
	if err != nil || key.Check(c.Now()) != nil {
		return almondstep.ClaimTaken
	}
	cl := &claim{
		key:      key,
		holder:   k.ID,
		deadline: c.instant().Add(k.Remaining),
		outcome:  make(chan almondstep.ClaimOutcome, 1),
	}
	select {
	case c.queues[key.Bucket()] <- cl:
	default:
		return almondstep.ClaimUnavailable
	}
	timeout := time.NewTimer(k.Remaining)
	defer timeout.Stop()
	select {
	case o := <-cl.outcome:
		return o
	case <-ctx.Done():
	case <-timeout.C:
	case <-c.done:
	}
	return almondstep.ClaimUnavailable
}

// instant returns the time since the claimer's first use.
func (c *Claimer) instant() almondstep.Instant {
	return almondstep.Instant(time.Since(c.start))
}

// driver performs the steps of one bucket.
type driver struct {
	claimer *Claimer
	index   int
	queue   chan *claim
	bucket  bucket
}

func (d *driver) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.receiveQueued()
		s := d.bucket.next(d.claimer.instant())
		switch s.kind {
		case stepNone:
			d.wait(ctx, nil)
		case stepWait:
			t := time.NewTimer(s.until.Sub(d.claimer.instant()))
			d.wait(ctx, t.C)
			t.Stop()
		case stepRead:
			d.read(ctx, s)
		case stepWrite:
			d.write(ctx, s)
		}
	}
}

// receiveQueued moves queued claims into the bucket while it has room.
func (d *driver) receiveQueued() {
	for len(d.bucket.pending) < maxQueued {
		select {
		case c := <-d.queue:
			d.bucket.add(c)
		default:
			return
		}
	}
}

// wait waits for a claim, for timer or for the end of ctx.
func (d *driver) wait(ctx context.Context, timer <-chan time.Time) {
	select {
	case c := <-d.queue:
		d.bucket.add(c)
	case <-timer:
	case <-ctx.Done():
	}
}

func (d *driver) read(ctx context.Context, s step) {
	e, err := d.claimer.Platform.Get(ctx, valueKey(d.index, s.slice))
	if err := d.bucket.readDone(d.claimer.instant(), s, e, err); err != nil {
		d.claimer.Logger.Warn("reading claims from the platform failed; the pending claims end as unavailable", "bucket", d.index, "err", err)
	}
}

func (d *driver) write(ctx context.Context, s step) {
	revision, err := d.claimer.Platform.CompareAndSwap(ctx, valueKey(d.index, s.slice), s.base, s.body)
	d.bucket.writeDone(s, revision, err)
	if err != nil && !errors.Is(err, almondstep.ErrConflict) {
		d.claimer.Logger.Warn("writing claims to the platform failed; the value is read again before the next write", "bucket", d.index, "err", err)
	}
}
