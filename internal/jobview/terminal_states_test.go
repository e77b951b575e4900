package jobview

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
)

// TestTerminalStates checks that a cached terminal state never changes, and that the oldest is evicted first.
func TestTerminalStates(t *testing.T) {
	states := newTerminalStates()
	states.Remember("first", wire.JobDone)
	states.Remember("first", wire.JobCancelled)
	if states.Of("first") != wire.JobDone || states.Of("other") != "" {
		t.Fatalf("first: %q, want done; other: %q, want none", states.Of("first"), states.Of("other"))
	}
	for i := range maxTerminalStates - 1 {
		states.Remember(fmt.Sprint(i), wire.JobDone)
	}
	if states.Of("first") == "" {
		t.Fatal("a state was evicted although the cache is not full")
	}
	states.Remember("last", wire.JobCancelled)
	if states.Of("first") != "" || states.Of("0") == "" || states.Of("last") != wire.JobCancelled || len(states.byJob) != maxTerminalStates {
		t.Fatalf("%d states are cached, want the maximum number, only the first state evicted and the last one cached", len(states.byJob))
	}
}
