package recorder

import (
	"maps"
	"sync"
	"sync/atomic"
)

// otherLabel is the label value that counts unknown names and those over a limit.
const otherLabel = "other"

// cache maps label values to their metrics. Lookups take no lock: adding an entry,
// which is rare, replaces the map by a copy.
type cache[K comparable, V any] struct {
	mu     sync.Mutex
	values atomic.Pointer[map[K]V]
}

// get returns the value of k. At the first use of k it calls register to create it.
func (c *cache[K, V]) get(k K, register func(K) V) V {
	if m := c.values.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[K]V{}
	if m := c.values.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v
		}
		next = maps.Clone(*m)
	}
	v := register(k)
	next[k] = v
	c.values.Store(&next)
	return v
}

// boundedLabels admits the first values of a label, up to a limit. Concurrent calls of
// admit may exceed the limit by a few.
type boundedLabels struct {
	limit int
	seen  cache[string, struct{}]
}

// admit reports whether value may be used as a label value; if not, it has to be
// counted under otherLabel.
func (l *boundedLabels) admit(value string) bool {
	m := l.seen.values.Load()
	if m != nil {
		if _, ok := (*m)[value]; ok {
			return true
		}
		if len(*m) >= l.limit {
			return false
		}
	}
	l.seen.get(value, func(string) struct{} { return struct{}{} })
	return true
}
