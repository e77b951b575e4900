package controller

import "testing"

// TestNumbersAreUnique guards against numbers that repeat after the sequence of a member record is
// exhausted: a scale-out request whose name was used before launches no machine.
func TestNumbersAreUnique(t *testing.T) {
	var n numberGenerator
	seen := map[uint64]bool{}
	for revision := uint64(7); revision < 10; revision++ {
		for !n.nearlyExhausted(revision) {
			number := n.next(revision)
			if seen[number] {
				t.Fatalf("number %d of revision %d was generated before", number, revision)
			}
			seen[number] = true
		}
		if n.sequence+sequenceMargin/2 > maxSequence {
			t.Fatalf("only %d numbers are left when nearlyExhausted reports true", maxSequence-n.sequence)
		}
	}
}
