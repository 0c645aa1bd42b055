package starter

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// group runs functions concurrently, cancels all of them when one fails, and
// collects their errors.
type group struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	err error
}

// start runs f in a goroutine, and calls cancel if f fails.
func (g *group) start(cancel context.CancelCauseFunc, f func() error) {
	g.wg.Go(func() {
		err := f()
		if err == nil {
			return
		}
		g.mu.Lock()
		g.err = errors.CombineErrors(g.err, err)
		g.mu.Unlock()
		cancel(err)
	})
}

// wait returns the combined errors once all functions have returned.
func (g *group) wait() error {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
