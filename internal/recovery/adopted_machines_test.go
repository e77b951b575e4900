package recovery

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
)

// TestRecoveryKeepsAttemptsOfAdoptedMachines guards against a task that starts on a second machine
// while it is still on the first one. An owner adopted the first machine in a block of its own,
// which has no attempts, and stopped or restarted its recovery before it had seen that another
// owner's block has the machine with a task.
//
// Recovery used to take the entry of the newest block that contains a machine. The adopter's entry
// had not been verified, so the version of its block did not make it the valid one. This test shows
// the fault directly ("the recorded attempt of the task is lost"), and TestAdoptionInterleavings in
// package controller shows its effect: "ran_twice: req-000006/0 starts on m-000005 while on
// m-000000". The production version still writes such blocks.
func TestRecoveryKeepsAttemptsOfAdoptedMachines(t *testing.T) {
	o := newTestOwner(t)
	j := o.addJob("req-000001", 1, false)
	o.RecoverBlocks([]kv.Entry{
		blockEntry(self, "recorded", 10, "m-000001", placement{j, 0}),
		blockEntry(self, inventory.AdoptedPrefix+"m-000001", 20, "m-000001"),
	})
	if o.inv.Machines["m-000001"] == nil {
		t.Fatal("the machine is not recovered")
	}
	if a := j.Attempts[0]; a == nil || a.Machine.Name != "m-000001" {
		t.Error("the recorded attempt of the task is lost")
	}
}
