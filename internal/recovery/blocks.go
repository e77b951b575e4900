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
// segments must have been recovered before.
func (r *Recovery) RecoverBlocks(entries []kv.Entry) {
	for _, e := range inOrderOfPrecedence(entries) {
		if err := r.recoverBlock(e); err != nil {
			r.log.Error("record cannot be read", "key", e.Key, "error", err)
		}
	}
	r.checkJobs()
}

// inOrderOfPrecedence returns the blocks in descending order of precedence. A machine that was
// moved to another block may be in both: the newer record takes precedence. The blocks of adopted
// machines come last, since their owners may not have known that another owner had the machine.
func inOrderOfPrecedence(entries []kv.Entry) []kv.Entry {
	var adopted, others []kv.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, record.BlockKey(inventory.AdoptedPrefix)) {
			adopted = append(adopted, e)
		} else {
			others = append(others, e)
		}
	}
	newestFirst := func(a, b kv.Entry) int { return cmp.Compare(b.Version, a.Version) }
	slices.SortStableFunc(adopted, newestFirst)
	slices.SortStableFunc(others, newestFirst)
	return append(others, adopted...)
}

// recoverBlock adds a block if this owner now owns the records of the block's owner.
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
	b.MarkDirty(r.host.Now()) // the next write claims the machines, or deletes the block if it has none
	return nil
}

// RecoverMachine adds a machine of a block, and the attempts on it. If the machine was recovered
// before, it was in a block of higher precedence: this entry is then ignored, unless the block is
// that of an adopter, whose attempts are merged.
func (r *Recovery) RecoverMachine(b *inventory.Block, data *record.BlockData, entry *record.BlockMachine) {
	if m := r.inv.Machines[entry.Name]; m != nil {
		if b.IsAdopted() {
			r.mergeAdopted(m, b, data, entry)
		}
		return
	}
	machineType := data.MachineTypes[entry.MachineType]
	m := r.host.AddMachine(b, inventory.MachineInfo{
		Name: entry.Name, Type: machineType.Type, Zone: machineType.Zone, Spot: machineType.Spot, Endpoint: entry.Endpoint,
	})
	m.ProvisionedAt = micros.Micros(entry.LaunchedAt + data.LaunchTimeBase)
	m.Recorded = true
	r.recoverEntry(m, b, data, entry)
}

// mergeAdopted merges into a machine the entry in the block of an owner that adopted it, since that
// owner may have started tasks on the machine. After the machine's own block has been written, the
// adopter's block is written again, which deletes it.
func (r *Recovery) mergeAdopted(m *inventory.Machine, b *inventory.Block, data *record.BlockData, entry *record.BlockMachine) {
	r.log.Warn("machine was adopted though another owner had it", "machine", m.Name, "block", m.Block.Name, "adopted_block", b.Name)
	m.Endpoint = cmp.Or(m.Endpoint, entry.Endpoint)
	m.Block.AddSource(b)
	r.recoverEntry(m, b, data, entry)
}

// recoverEntry applies a machine's entry: the attempts, and whether the machine is being
// decommissioned.
func (r *Recovery) recoverEntry(m *inventory.Machine, b *inventory.Block, data *record.BlockData, entry *record.BlockMachine) {
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

// recoverAttempt adds an attempt, unless its task is completed, already has an attempt, or does not
// exist (in a damaged record).
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

// checkJobs removes ended jobs without attempts, and stops gangs that have tasks with neither an
// attempt nor a completion.
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
