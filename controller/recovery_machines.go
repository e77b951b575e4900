package controller

import (
	"cmp"
	"slices"
	"strings"

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
	b.version = e.Version
	for i := range data.Machines {
		o.recoverMachine(b, data, &data.Machines[i])
	}
	o.markBlockDirty(b)
	return nil
}

// recoverMachine takes over a machine and the attempts on it.
func (o *owner) recoverMachine(b *block, data *record.BlockData, entry *record.BlockMachine) {
	if o.machines[entry.Name] != nil {
		return // it is in a newer block
	}
	kind := data.MachineTypes[entry.MachineType]
	m := o.newMachineInBlock(b, machineInfo{
		name: entry.Name, machineType: kind.Type, zone: kind.Zone, spot: kind.Spot, endpoint: entry.Endpoint,
	})
	m.provisionedAt = micros.Micros(entry.LaunchedAt + data.LaunchTimeBase)
	m.recorded = true
	if entry.Decommissioning {
		o.setMachineState(m, machineTerminating, "condemned by an earlier owner")
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
func (o *owner) recoverAttempt(m *machine, spec *record.BlockJob, task record.BlockTask) {
	j := o.unblockPlacedJob(spec.ID)
	if j == nil {
		j = o.addEndedJob(spec)
	}
	if task.Index >= j.Tasks || j.attempts[task.Index] != nil {
		return
	}
	if j.state != jobEnded && j.task(task.Index) == taskDone {
		return // the block was not written since
	}
	a := o.addAttempt(j, task.Index, task.Attempt, m, attemptStarting)
	j.everPlaced = true
	if j.Gang {
		o.setGangState(j, gangStarting)
	}
	if j.state == jobEnded {
		o.stopAttempt(a, 0, "job is over")
	}
}

// addEndedJob adds a job that has ended, while attempts of it are on machines still.
func (o *owner) addEndedJob(spec *record.BlockJob) *job {
	j := newJob(&sched.Job{
		ID: spec.ID, Team: spec.Team, Tasks: spec.Tasks,
		Need: sched.Resources{CPU: spec.CPU, GPU: spec.GPU, Mem: spec.Mem},
	}, 0, 0)
	o.setJobState(j, jobEnded)
	o.jobs[j.ID] = j
	o.unresolvedJobs = append(o.unresolvedJobs, j)
	return j
}

// checkRecoveredJobs drops ended jobs without attempts, and stops gangs of which not all tasks
// are recorded.
func (o *owner) checkRecoveredJobs() {
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.state == jobEnded && len(j.attempts) == 0 {
			delete(o.jobs, id)
		}
		if j.state == jobActive && j.Gang && len(j.attempts) > 0 && len(j.attempts)+j.completedCount < j.Tasks {
			o.stopJob(j, 0, "gang was not recorded whole")
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
		if o.jobs[j.ID] != j {
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
func (o *owner) resolveJob(j *job, value []byte) {
	var final record.TerminalState
	if wire.Decode(value, &final) == nil && final.Status == record.StatusDone {
		for _, a := range j.sortedAttempts() {
			if a.machine.agentEpoch == 0 { // else its report tells
				o.setAttemptState(a, attemptClosed)
			}
		}
		return
	}
	sinceEnd := o.c.wallClock - final.FinishedAt
	if final.FinishedAt == 0 { // an older version did not record it: as early as need be assumed
		sinceEnd = o.c.cfg.CancellationDeadline
	}
	j.endedAt = max(1, o.c.now-sinceEnd)
}
