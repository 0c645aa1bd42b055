package embedder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"almondstep"
	"almondstep/applier"
	"almondstep/parser"
)

// Apply applies a configuration edited from a base revision, 0 for the first
// one.
func (s *Fleet) Apply(ctx context.Context, text []byte, base almondstep.Revision, reason string) (*applier.Result, error) {
	a := &applier.Applier{
		Platform: s.Storer,
		Check: func(text []byte) error {
			_, err := parser.Parse(text)
			return err
		},
		Who:   "embedder",
		Now:   time.Now,
		NewID: func() string { return strconv.FormatUint(rand.Uint64(), 36) },
	}
	return a.Apply(ctx, applier.Edit{Text: text, Base: base, Reason: reason})
}
