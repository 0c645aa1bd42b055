package recorder

import (
	"maps"
	"sync"
	"sync/atomic"
)

// otherLabel stands for all label values over the limit.
const otherLabel = "other"

// cache keeps the metrics of each label value. Reading takes no lock: the map
// is copied when a value is added, which is rare.
type cache[K comparable, V any] struct {
	mu     sync.Mutex
	values atomic.Pointer[map[K]V]
}

// get returns the value of k, created at the first use.
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

// labels admits the first values of a label, up to a limit.
type labels struct {
	limit int
	seen  cache[string, struct{}]
}

func (l *labels) admit(value string) bool {
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
