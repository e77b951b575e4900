package jobview

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
)

// TestTerminalStates checks that a terminal state never changes, and that the oldest go first.
func TestTerminalStates(t *testing.T) {
	states := newTerminalStates()
	states.Remember("first", wire.JobDone)
	states.Remember("first", wire.JobCancelled)
	if states.Of("first") != wire.JobDone || states.Of("other") != "" {
		t.Fatalf("%q and %q", states.Of("first"), states.Of("other"))
	}
	for i := range maxTerminalStates - 1 {
		states.Remember(fmt.Sprint(i), wire.JobDone)
	}
	if states.Of("first") == "" {
		t.Fatal("forgotten although there is room")
	}
	states.Remember("last", wire.JobCancelled)
	if states.Of("first") != "" || states.Of("0") == "" || states.Of("last") != wire.JobCancelled || len(states.byJob) != maxTerminalStates {
		t.Fatalf("%d states are kept", len(states.byJob))
	}
}
