package controller

import "testing"

// TestNumbersAreUnique guards against numbers that repeat once the count of a member record
// is used up: the name of a rental that is used again rents nothing.
func TestNumbersAreUnique(t *testing.T) {
	var n numberGenerator
	seen := map[uint64]bool{}
	for revision := uint64(7); revision < 10; revision++ {
		for !n.nearlyExhausted(revision) {
			number := n.next(revision)
			if seen[number] {
				t.Fatalf("number %d of revision %d was given out before", number, revision)
			}
			seen[number] = true
		}
		if n.sequence+sequenceMargin/2 > maxSequence {
			t.Fatalf("only %d numbers are left when the count is said to be low", maxSequence-n.sequence)
		}
	}
}
