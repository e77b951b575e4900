package controller

import (
	"testing"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/cluster"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// blockEntry is the record of a block with one machine, which has the first task of the job that
// is given, or none.
func blockEntry(owner record.OwnerID, name string, version uint64, machine string, job *sched.Job) kv.Entry {
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: "small", Zone: "a"}},
		Machines:     []record.BlockMachine{{Name: machine, Endpoint: "worker:" + machine}},
	}
	if job != nil {
		data.Jobs = []record.BlockJob{{ID: job.ID, Team: job.Team, Tasks: job.Tasks, CPU: job.Need.CPU, Mem: job.Need.Mem}}
		data.Pack(&data.Machines[0], []record.BlockTask{{Job: 0, Index: 0, Attempt: 1}})
	}
	return kv.Entry{Key: record.BlockKey(name), Value: wire.Encode(data.Block(owner)), Version: version}
}

// TestLoadKeepsAttemptsOfAdoptedMachines guards against a task that starts elsewhere while it is
// on its machine: an owner adopted the machine in a block of its own, which says nothing of its
// tasks, and ended or read all records again before it had seen that another owner's block has
// the machine with a task.
func TestLoadKeepsAttemptsOfAdoptedMachines(t *testing.T) {
	core := newRespondingCore()
	o := newOwner(core, map[string]cluster.Team{})
	core.setOwner(o)
	job := &sched.Job{ID: "req-000001", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1)}
	j := inventory.NewJob(job, 5, 0)
	o.Jobs[j.ID] = j
	owner := core.node.ID()
	o.recovery.RecoverBlocks([]kv.Entry{
		blockEntry(owner, "recorded", 10, "m-000001", job),
		blockEntry(owner, inventory.AdoptedPrefix+"m-000001", 20, "m-000001", nil),
	})
	if o.Machines["m-000001"] == nil {
		t.Fatal("the machine is not loaded")
	}
	if a := j.Attempts[0]; a == nil || a.Machine.Name != "m-000001" {
		t.Error("the recorded attempt of the task is forgotten")
	}
}
