package recovery

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
)

// TestRecoveryKeepsAttemptsOfAdoptedMachines guards against a task that starts elsewhere while it is
// on its machine: an owner adopted the machine in a block of its own, which has no attempts of its
// tasks, and ended or restarted its recovery before it had seen that another owner's block has the
// machine with a task.
//
// Why it was a fault: recovery took the entry of the newest block that names a machine. That of an
// adopter had not been verified, so its version said nothing. Shown by this test ("the recorded attempt
// of the task is forgotten") and, from outside, by TestAdoptionInterleavings in package controller:
// "ran_twice: req-000006/0 starts on m-000005 while on m-000000". The version in production still writes
// such blocks.
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
		t.Error("the recorded attempt of the task is forgotten")
	}
}
