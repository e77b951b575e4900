// Package ordered iterates over maps in the order of their keys. The core is deterministic, so a
// loop over a map whose order has effects must not follow the order of the runtime.
package ordered

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the keys of a map in order, for loops whose order has effects.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
