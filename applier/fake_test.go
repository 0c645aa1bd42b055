package applier_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
)

// splitmix is a small seeded pseudo-random generator.
type splitmix uint64

func (s *splitmix) below(n int) int {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

// fakePlatform is a platform that loses calls and answers, and applies some writes
// after a delay.
type fakePlatform struct {
	random *splitmix
	// lossPercent is the percentage of calls that get no answer.
	lossPercent int
	// beforeCall runs at the start of each call; it may be nil.
	beforeCall func()

	entry almondstep.Entry
	// delayed holds lost writes that may still arrive.
	delayed []swap
	// accepted holds each value that came into force.
	accepted []*applier.Envelope
}

// swap is a compare-and-swap of the platform's value.
type swap struct {
	base  uint64
	value []byte
}

func (f *fakePlatform) runBeforeCall() {
	if f.beforeCall != nil {
		f.beforeCall()
	}
	if len(f.delayed) > 0 && f.random.below(4) == 0 {
		f.deliverDelayed()
	}
}

// deliverDelayed applies the oldest delayed write.
func (f *fakePlatform) deliverDelayed() {
	s := f.delayed[0]
	f.delayed = f.delayed[1:]
	_ = f.swap(s)
}

func (f *fakePlatform) swap(s swap) error {
	if s.base != f.entry.Revision {
		return almondstep.ErrConflict
	}
	f.entry = almondstep.Entry{Revision: s.base + 1, Value: s.value}
	e, err := applier.DecodeEnvelope(s.value)
	if err != nil {
		return err
	}
	f.accepted = append(f.accepted, e)
	return nil
}

func (f *fakePlatform) lost() bool { return f.random.below(100) < f.lossPercent }

func (f *fakePlatform) Get(context.Context, string) (almondstep.Entry, error) {
	f.runBeforeCall()
	if f.lost() {
		return almondstep.Entry{}, almondstep.ErrUnavailable
	}
	return f.entry, nil
}

func (f *fakePlatform) CompareAndSwap(_ context.Context, _ string, base uint64, value []byte) (uint64, error) {
	f.runBeforeCall()
	s := swap{base: base, value: value}
	if !f.lost() {
		err := f.swap(s)
		return f.entry.Revision, err
	}
	switch f.random.below(3) {
	case 0:
		_ = f.swap(s)
	case 1:
		f.delayed = append(f.delayed, s)
	}
	return 0, almondstep.ErrUnavailable
}

func (f *fakePlatform) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (almondstep.Entry, error) {
	return f.Get(ctx, key)
}

func (f *fakePlatform) Lease(context.Context, string, string, time.Duration) error {
	return errors.New("not used")
}

func (f *fakePlatform) Fleet(context.Context, almondstep.Revision, time.Duration) (almondstep.Fleet, error) {
	return almondstep.Fleet{}, errors.New("not used")
}
