package watcher

import (
	"maps"
	"slices"
)

// sortedKeys lists the keys in order, so that views don't depend on the order of
// a map.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
