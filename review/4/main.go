// Command 4 runs the case of claim.txt: the owner gives its teams up during an outage of the state service,
// in which nobody can take them over, and with them the duty to return a hung machine in time.
package main

import (
	"os"
	"time"

	"tamarindlead/internal/wire"
	"tamarindlead/review/rig"
)

const (
	// cancelWithin is cancel_s of the site.
	cancelWithin = 47 * time.Second
	// margin is added to it before the verdict, for the delays of this program itself.
	margin = time.Second
	// withheld is the time after a start in which controllers answer no cancellation.
	withheld = 13 * time.Second
	// outageDelay is the time from the cancellation to the outage, which lasts until the verdict.
	outageDelay = time.Second
	// cutFor is the length of the cut between the owner and the workers.
	cutFor = 30 * time.Second
	// placeLimit bounds the time until the job's task is started.
	placeLimit = 10 * time.Second
)

var job = rig.Job{
	ID: "req-611953", Class: "invite-render", Team: "records-desk", Priority: "normal",
	Tasks: 1, CPUs: 2, MemGB: 2.8, RunS: 600,
}

func main() { rig.Main(rig.Eyjafold(), rig.EyjafoldMachines, run) }

func run(r *rig.Rig, trouble bool) int {
	if !r.SubmitAccepted(job, 0) || !r.WaitForStarts(job, 1, placeLimit) {
		return rig.CannotRun
	}
	task := wire.TaskName(job.ID, 0)
	machine := r.MachineOf(task)
	owner := r.Owner(machine)
	time.Sleep(withheld - r.Elapsed())

	if trouble {
		r.Hang(machine)
	}
	told, ok := cancel(r)
	if !ok {
		return rig.CannotRun
	}
	if trouble {
		time.Sleep(outageDelay)
		r.SetOutage(true)
		// CUT=0 leaves out this part alone, to show that the rest does not break the rule.
		if os.Getenv("CUT") != "0" {
			r.CutFromWorkers(owner, true)
			time.AfterFunc(cutFor, func() { r.CutFromWorkers(owner, false) })
		}
	}
	for time.Since(told) < cancelWithin+margin {
		if r.MachineOf(task) == "" {
			r.Log("%s has left its machine %.1f s after its user was told", task, time.Since(told).Seconds())
			return rig.Held
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Log("%s is still on %s %.1f s after its user was told", task, machine, time.Since(told).Seconds())
	return rig.Broken
}

// cancel cancels the job, and returns when its user was told so.
func cancel(r *rig.Rig) (told time.Time, ok bool) {
	for attempt := range 5 {
		if status, state := r.Cancel(job.ID, attempt); status == wire.StatusOK && state.Status == wire.JobCancelled {
			r.Log("the user is told that %s is cancelled", job.ID)
			return time.Now(), true
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, false
}
