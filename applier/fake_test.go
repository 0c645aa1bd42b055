package applier_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
)

// splitmix is a small seeded generator.
type splitmix uint64

func (s *splitmix) below(n int) int {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

// fake is a platform that loses calls and answers, and delivers some writes
// late. At each call others may act first.
type fake struct {
	random *splitmix
	// lossy is the number of calls in 100 that get no answer.
	lossy int
	// before acts for others at the start of each call; it may be nil.
	before func()

	entry almondstep.Entry
	// late holds lost writes that still may arrive.
	late []swap
	// accepted holds each value that came into force.
	accepted []*applier.Envelope
}

type swap struct {
	base  uint64
	value []byte
}

func (f *fake) act() {
	if f.before != nil {
		f.before()
	}
	if len(f.late) > 0 && f.random.below(4) == 0 {
		f.deliver()
	}
}

// deliver lets the oldest late write arrive.
func (f *fake) deliver() {
	s := f.late[0]
	f.late = f.late[1:]
	_ = f.swap(s)
}

func (f *fake) swap(s swap) error {
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

func (f *fake) lost() bool { return f.random.below(100) < f.lossy }

func (f *fake) Get(context.Context, string) (almondstep.Entry, error) {
	f.act()
	if f.lost() {
		return almondstep.Entry{}, almondstep.ErrUnavailable
	}
	return f.entry, nil
}

func (f *fake) CompareAndSwap(_ context.Context, _ string, base uint64, value []byte) (uint64, error) {
	f.act()
	s := swap{base: base, value: value}
	if !f.lost() {
		err := f.swap(s)
		return f.entry.Revision, err
	}
	switch f.random.below(3) {
	case 0:
		_ = f.swap(s)
	case 1:
		f.late = append(f.late, s)
	}
	return 0, almondstep.ErrUnavailable
}

func (f *fake) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (almondstep.Entry, error) {
	return f.Get(ctx, key)
}

func (f *fake) Lease(context.Context, string, string, time.Duration) error {
	return errors.New("not used")
}

func (f *fake) Fleet(context.Context, almondstep.Revision, time.Duration) (almondstep.Fleet, error) {
	return almondstep.Fleet{}, errors.New("not used")
}
