package controller

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in order, for loops whose order has effects.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
