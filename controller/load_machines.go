package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// buildMachines rebuilds machines and attempts from the blocks.
func (o *owner) buildMachines(entries []state.Entry) {
	// A machine that changed its block may be in both: the newer record holds.
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b state.Entry) int { return cmp.Compare(b.Version, a.Version) })
	for _, e := range entries {
		var rec record.Block
		err := wire.Decode(e.Value, &rec)
		if err == nil && !o.mine(rec.Owner) {
			continue
		}
		var d *record.BlockData
		if err == nil {
			d, err = rec.Decode()
		}
		if err != nil {
			o.c.log.Error("record cannot be read", "key", e.Key, "error", err)
			continue
		}
		b := o.newBlock(strings.TrimPrefix(e.Key, record.BlockPrefix))
		b.version = e.Version
		for i := range d.Machines {
			o.buildMachine(b, d, &d.Machines[i])
		}
		o.markBlockDirty(b)
	}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.state == jobEnded && len(j.attempts) == 0 {
			delete(o.jobs, id)
		}
		if j.state == jobActive && j.Gang && len(j.attempts) > 0 && len(j.attempts)+j.doneN < j.Tasks {
			o.stopJob(j, 0, "gang was not recorded whole")
		}
	}
}

func (o *owner) buildMachine(b *block, d *record.BlockData, e *record.BlockMachine) {
	if o.machines[e.Name] != nil {
		return
	}
	k := d.Kinds[e.Kind]
	m := o.newMachineIn(b, e.Name, k.Type, k.Zone, k.Spot, e.Endpoint)
	m.rented = micros.Micros(e.Rented + d.Since)
	m.recorded = true
	if e.Condemned {
		o.setMachine(m, machineReleasing, "condemned by an earlier owner")
	}
	tasks, err := d.Unpack(e)
	if err != nil {
		o.c.log.Error("record cannot be read", "machine", e.Name, "error", err)
	}
	for _, t := range tasks {
		spec := d.Jobs[t.Job]
		j := o.placedJob(spec.ID)
		if j == nil {
			j = newJob(&sched.Job{
				ID: spec.ID, Team: spec.Team, Tasks: spec.Tasks,
				Need: sched.Resources{CPU: spec.CPU, GPU: spec.GPU, Mem: spec.Mem},
			}, 0, 0)
			o.setJob(j, jobEnded)
			o.jobs[j.ID] = j
			o.endings = append(o.endings, j)
		}
		if t.Index >= j.Tasks || j.task(t.Index) == taskDone && j.state != jobEnded || j.attempts[t.Index] != nil {
			continue // completed: the record was not written since
		}
		a := o.attach(j, t.Index, t.Number, m, attemptOrdered)
		j.began = true
		if j.Gang {
			o.setGang(j, gangStarting)
		}
		if j.state == jobEnded {
			o.stop(a, 0, "job is over")
		}
	}
}

// endingsEach is how many endings of jobs are read with each slow tick.
const endingsEach = 4

// readEndings finds out how jobs ended that records of machines still name after a takeover.
// Of one that is done nothing runs any more, so its tasks are off their machines whether
// these report or not: a machine that is cut off need not be deleted for them, as for tasks
// of a job that was cancelled, and a gang that runs there goes on.
func (o *owner) readEndings() {
	for range min(endingsEach, len(o.endings)) {
		j := o.endings[0]
		o.endings = o.endings[1:]
		if o.jobs[j.ID] != j {
			continue // its machines have reported
		}
		o.c.store.Get(budget.Reads, record.FinalKey(j.ID), func(out store.Outcome, e state.Entry) {
			var rec record.Final
			switch {
			case o.superseded() || out == store.Missing:
			case out != store.OK:
				o.endings = append(o.endings, j)
			case wire.Decode(e.Value, &rec) == nil && rec.Status == wire.JobDone:
				for _, a := range j.sorted() {
					if a.machine.session == 0 { // else its report tells
						o.setAttempt(a, attemptClosed)
					}
				}
			default:
				// An older version did not record when: as early as need be assumed.
				ago := o.c.day - micros.Micros(rec.At)
				if rec.At == 0 {
					ago = o.c.cfg.CancelIn
				}
				j.endedAt = max(1, o.c.now-ago)
			}
		})
	}
}
