package record

import "testing"

func TestOwnerIDs(t *testing.T) {
	if id := NewOwnerID("n1", 42); id != "n1/42" || id.Node() != "n1" {
		t.Errorf("ID %q of node %q, want n1/42 of n1", id, id.Node())
	}
}
