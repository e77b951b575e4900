package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// recoverBlocks rebuilds machines and attempts from the blocks after a takeover. Jobs and
// completions must have been loaded.
func (o *owner) recoverBlocks(entries []kv.Entry) {
	// A machine that changed its block may be in both: the newer record holds.
	newestFirst := slices.Clone(entries)
	slices.SortStableFunc(newestFirst, func(a, b kv.Entry) int { return cmp.Compare(b.Version, a.Version) })
	for _, e := range newestFirst {
		if err := o.recoverBlock(e); err != nil {
			o.c.log.Error("record cannot be read", "key", e.Key, "error", err)
		}
	}
	o.checkRecoveredJobs()
}

// recoverBlock takes over a block, if it is of an owner whose records this one owns.
func (o *owner) recoverBlock(e kv.Entry) error {
	var rec record.Block
	if err := wire.Decode(e.Value, &rec); err != nil {
		return err
	}
	if !o.ownsRecordsOf(rec.Owner) {
		return nil
	}
	data, err := rec.Decode()
	if err != nil {
		return err
	}
	b := o.newBlock(strings.TrimPrefix(e.Key, record.BlockPrefix))
	b.Version = e.Version
	for i := range data.Machines {
		o.recoverMachine(b, data, &data.Machines[i])
	}
	b.MarkDirty(o.c.now)
	return nil
}

// recoverMachine takes over a machine and the attempts on it.
func (o *owner) recoverMachine(b *inventory.Block, data *record.BlockData, entry *record.BlockMachine) {
	if o.Machines[entry.Name] != nil {
		return // it is in a newer block
	}
	kind := data.MachineTypes[entry.MachineType]
	m := o.addMachine(b, inventory.MachineInfo{
		Name: entry.Name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Endpoint: entry.Endpoint,
	})
	m.ProvisionedAt = micros.Micros(entry.LaunchedAt + data.LaunchTimeBase)
	m.Recorded = true
	if entry.Decommissioning {
		o.SetMachineState(m, inventory.MachineTerminating, "condemned by an earlier owner")
	}
	tasks, err := data.Unpack(entry)
	if err != nil {
		o.c.log.Error("record cannot be read", "machine", entry.Name, "error", err)
	}
	for _, task := range tasks {
		o.recoverAttempt(m, &data.Jobs[task.Job], task)
	}
}

// recoverAttempt takes over an attempt, unless its task is completed or, as a damaged record
// could have it, does not exist or has an attempt elsewhere.
func (o *owner) recoverAttempt(m *inventory.Machine, spec *record.BlockJob, task record.BlockTask) {
	j := o.unblockPlacedJob(spec.ID)
	if j == nil {
		j = o.addEndedJob(spec)
	}
	if task.Index >= j.Tasks || j.Attempts[task.Index] != nil {
		return
	}
	if j.State != inventory.JobEnded && j.TaskState(task.Index) == inventory.TaskDone {
		return // the block was not written since
	}
	a := o.AddAttempt(j, task.Index, task.Attempt, m, inventory.AttemptStarting)
	j.EverPlaced = true
	if j.Gang {
		o.SetGangState(j, inventory.GangStarting)
	}
	if j.State == inventory.JobEnded {
		o.StopAttempt(a, 0, "job is over")
	}
}

// addEndedJob adds a job that has ended, while attempts of it are on machines still.
func (o *owner) addEndedJob(spec *record.BlockJob) *inventory.Job {
	j := inventory.NewJob(&sched.Job{
		ID: spec.ID, Team: spec.Team, Tasks: spec.Tasks,
		Need: sched.Resources{CPU: spec.CPU, GPU: spec.GPU, Mem: spec.Mem},
	}, 0, 0)
	o.SetJobState(j, inventory.JobEnded)
	o.Jobs[j.ID] = j
	o.unresolvedJobs = append(o.unresolvedJobs, j)
	return j
}

// checkRecoveredJobs drops ended jobs without attempts, and stops gangs of which not all tasks
// are recorded.
func (o *owner) checkRecoveredJobs() {
	for _, id := range ordered.Keys(o.Jobs) {
		j := o.Jobs[id]
		if j.State == inventory.JobEnded && len(j.Attempts) == 0 {
			delete(o.Jobs, id)
		}
		if j.State == inventory.JobActive && j.Gang && len(j.Attempts) > 0 && len(j.Attempts)+j.CompletedCount < j.Tasks {
			o.StopJob(j, 0, "gang was not recorded whole")
		}
	}
}

// terminalStatesPerTick is how many endings of jobs are read with each slow tick.
const terminalStatesPerTick = 4

// readUnresolvedJobs finds out how jobs ended that records of machines still name after a takeover.
func (o *owner) readUnresolvedJobs() {
	for range min(terminalStatesPerTick, len(o.unresolvedJobs)) {
		j := o.unresolvedJobs[0]
		o.unresolvedJobs = o.unresolvedJobs[1:]
		if o.Jobs[j.ID] != j {
			continue // its machines have reported
		}
		o.c.store.Get(budget.Reads, record.TerminalStateKey(j.ID), func(out kv.Outcome, e kv.Entry) {
			switch {
			case o.superseded() || out == kv.NotFound:
			case out != kv.OK:
				o.unresolvedJobs = append(o.unresolvedJobs, j)
			default:
				o.resolveJob(j, e.Value)
			}
		})
	}
}

// resolveJob takes how a job ended. Of one that is done nothing runs any more, so its tasks
// are off their machines whether these report or not: a machine that is cut off need not be
// deleted for them, as for tasks of a job that was cancelled, and a gang that runs there goes
// on.
func (o *owner) resolveJob(j *inventory.Job, value []byte) {
	var final record.TerminalState
	if wire.Decode(value, &final) == nil && final.Status == record.StatusDone {
		for _, a := range j.SortedAttempts() {
			if a.Machine.AgentEpoch == 0 { // else its report tells
				o.SetAttemptState(a, inventory.AttemptClosed)
			}
		}
		return
	}
	sinceEnd := o.c.wallClock - final.FinishedAt
	if final.FinishedAt == 0 { // an older version did not record it: as early as need be assumed
		sinceEnd = o.c.cfg.CancellationDeadline
	}
	j.EndedAt = max(1, o.c.now-sinceEnd)
}
