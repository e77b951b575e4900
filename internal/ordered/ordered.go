// Package ordered iterates over maps in the order of their keys. The core must be deterministic,
// so a loop over a map whose order has effects must not use Go's random iteration order.
package ordered

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the sorted keys of a map, for loops whose order has effects.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
