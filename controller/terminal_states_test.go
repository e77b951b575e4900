package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
)

// TestTerminalStates checks that a final state never changes, and that the oldest go first.
func TestTerminalStates(t *testing.T) {
	finals := newTerminalStates()
	finals.remember("first", wire.JobDone)
	finals.remember("first", wire.JobCancelled)
	if finals.of("first") != wire.JobDone || finals.of("other") != "" {
		t.Fatalf("%q and %q", finals.of("first"), finals.of("other"))
	}
	for i := range maxTerminalStates - 1 {
		finals.remember(fmt.Sprint(i), wire.JobDone)
	}
	if finals.of("first") == "" {
		t.Fatal("forgotten although there is room")
	}
	finals.remember("last", wire.JobCancelled)
	if finals.of("first") != "" || finals.of("0") == "" || finals.of("last") != wire.JobCancelled || len(finals.byJob) != maxTerminalStates {
		t.Fatalf("%d states are kept", len(finals.byJob))
	}
}
