package starter

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// group runs the servers of a daemon; the first failure cancels all.
type group struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	err error
}

func (g *group) run(cancel context.CancelCauseFunc, f func() error) {
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

func (g *group) wait() error {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
