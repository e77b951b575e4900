package controller

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// cancelledTasks summarizes the tasks of cancelled jobs that may still be on an owner's machines. Users
// were told that they would be gone within the cancellation deadline.
type cancelledTasks struct {
	tasks    int
	machines int
	// oldest is when the earliest of the cancellations became known, or 0 if there are none.
	oldest micros.Micros
}

// cancelledTasks returns the summary of this owner's machines.
func (o *owner) cancelledTasks() cancelledTasks {
	summary := cancelledTasks{}
	for _, m := range o.SortedMachines {
		tasks := 0
		for _, a := range m.Attempts {
			if !isCancelledTask(a) {
				continue
			}
			tasks++
			if summary.oldest == 0 || a.Job.CancelledAt < summary.oldest {
				summary.oldest = a.Job.CancelledAt
			}
		}
		summary.tasks += tasks
		if tasks > 0 {
			summary.machines++
		}
	}
	return summary
}

// isCancelledTask reports whether an attempt is of a cancelled job and may still be on its machine.
func isCancelledTask(a *inventory.Attempt) bool {
	return a.Job.State == inventory.JobEnded && a.Job.CancelledAt != 0 && !a.ResourcesReleased
}

// logDiscarded logs what an owner that is being discarded leaves to the next owner of its teams.
func (o *owner) logDiscarded(replaced bool) {
	left := o.cancelledTasks()
	oldestAge := micros.Micros(0)
	if left.oldest != 0 {
		oldestAge = o.c.now - left.oldest
	}
	o.c.log.Info("owner discarded", "owner_state", o.state.String(), "replaced", replaced,
		"teams", len(o.Teams), "machines", len(o.Machines),
		"cancelled_tasks", left.tasks, "machines_with_cancelled_tasks", left.machines,
		"oldest_cancellation_s", oldestAge.Seconds(), "kv_unavailable", o.c.store.Unavailable())
}
