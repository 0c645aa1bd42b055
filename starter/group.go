package starter

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// group runs the servers of a daemon; the first that fails ends all.
type group struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	err error
}

func (g *group) run(end context.CancelCauseFunc, f func() error) {
	g.wg.Go(func() {
		err := f()
		if err == nil {
			return
		}
		g.mu.Lock()
		g.err = errors.CombineErrors(g.err, err)
		g.mu.Unlock()
		end(err)
	})
}

func (g *group) wait() error {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
