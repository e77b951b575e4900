package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// RecoverBlocks adds the machines and attempts of the blocks of this owner. Jobs and completion
// segments must have been recovered.
func (r *Recovery) RecoverBlocks(entries []kv.Entry) {
	// A machine that was moved to another block may be in both: the newer record counts.
	newestFirst := slices.Clone(entries)
	slices.SortStableFunc(newestFirst, func(a, b kv.Entry) int { return cmp.Compare(b.Version, a.Version) })
	for _, e := range newestFirst {
		if err := r.recoverBlock(e); err != nil {
			r.log.Error("record cannot be read", "key", e.Key, "error", err)
		}
	}
	r.checkJobs()
}

// recoverBlock adds a block, if this owner takes over the records of the block's owner.
func (r *Recovery) recoverBlock(e kv.Entry) error {
	var rec record.Block
	if err := wire.Decode(e.Value, &rec); err != nil {
		return fmt.Errorf("block: %w", err)
	}
	if !r.host.OwnsRecordsOf(rec.Owner) {
		return nil
	}
	data, err := rec.Decode()
	if err != nil {
		return fmt.Errorf("block of %v: %w", rec.Owner, err)
	}
	b := r.pipeline.NewBlock(strings.TrimPrefix(e.Key, record.BlockPrefix))
	b.Version = e.Version
	for i := range data.Machines {
		r.RecoverMachine(b, data, &data.Machines[i])
	}
	b.MarkDirty(r.host.Now())
	return nil
}

// RecoverMachine adds a machine of a block that was read, and the attempts on it. A machine that this
// owner has already is left unchanged.
func (r *Recovery) RecoverMachine(b *inventory.Block, data *record.BlockData, entry *record.BlockMachine) {
	if r.inv.Machines[entry.Name] != nil {
		return // it is in a newer block
	}
	machineType := data.MachineTypes[entry.MachineType]
	m := r.host.AddMachine(b, inventory.MachineInfo{
		Name: entry.Name, Type: machineType.Type, Zone: machineType.Zone, Spot: machineType.Spot, Endpoint: entry.Endpoint,
	})
	m.ProvisionedAt = micros.Micros(entry.LaunchedAt + data.LaunchTimeBase)
	m.Recorded = true
	if entry.Decommissioning {
		r.inv.SetMachineState(m, inventory.MachineTerminating, "decommissioned by an earlier owner")
	}
	tasks, err := data.Unpack(entry)
	if err != nil {
		r.log.Error("record cannot be read", "key", record.BlockKey(b.Name), "machine", entry.Name, "error", err)
	}
	for _, task := range tasks {
		r.recoverAttempt(m, &data.Jobs[task.Job], task)
	}
}

// recoverAttempt adds an attempt, unless its task is completed or, in a damaged record, does not
// exist or has another attempt.
func (r *Recovery) recoverAttempt(m *inventory.Machine, spec *record.BlockJob, task record.BlockTask) {
	j := r.host.PlacedJob(spec.ID)
	if j == nil {
		j = r.addUnresolvedJob(spec)
	}
	if task.Index >= j.Tasks || j.Attempts[task.Index] != nil {
		return
	}
	if j.State != inventory.JobEnded && j.TaskState(task.Index) == inventory.TaskDone {
		return // the block has not been written since the completion
	}
	a := r.inv.AddAttempt(j, task.Index, task.Attempt, m, inventory.AttemptStarting)
	j.EverPlaced = true
	if j.Gang {
		r.inv.SetGangState(j, inventory.GangStarting)
	}
	if j.State == inventory.JobEnded {
		r.inv.StopAttempt(a, 0, inventory.ReasonJobEnded)
	}
}

// addUnresolvedJob adds a job that has ended while attempts of it are still recorded on machines.
func (r *Recovery) addUnresolvedJob(spec *record.BlockJob) *inventory.Job {
	j := inventory.NewJob(&sched.Job{
		ID: spec.ID, Team: spec.Team, Tasks: spec.Tasks,
		Need: sched.Resources{CPU: spec.CPU, GPU: spec.GPU, Mem: spec.Mem},
	}, 0, 0)
	r.inv.SetJobState(j, inventory.JobEnded)
	r.inv.Jobs[j.ID] = j
	r.unresolvedJobs = append(r.unresolvedJobs, j)
	return j
}

// checkJobs removes ended jobs without attempts, and stops gangs of which some tasks have neither
// an attempt nor a completion.
func (r *Recovery) checkJobs() {
	for _, id := range ordered.Keys(r.inv.Jobs) {
		j := r.inv.Jobs[id]
		if j.State == inventory.JobEnded && len(j.Attempts) == 0 {
			delete(r.inv.Jobs, id)
		}
		if j.State == inventory.JobActive && j.Gang && len(j.Attempts) > 0 && len(j.Attempts)+j.CompletedCount < j.Tasks {
			r.inv.StopJob(j, 0, "gang was not recorded completely")
		}
	}
}
