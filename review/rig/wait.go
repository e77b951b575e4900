package rig

import (
	"time"

	"tamarindlead/internal/wire"
)

// Waiting is the outcome of WaitForStart.
type Waiting struct {
	Started bool
	Waited  time.Duration // until the first task was started, or until the end
	// Held is the longest uninterrupted time in which the job waited although the condition held.
	Held time.Duration
}

// Intervals of WaitForStart.
const (
	checkInterval = 200 * time.Millisecond
	queryInterval = 5 * time.Second // users poll about every 5 s
)

// WaitForStart waits until a task of an accepted job is started, or until the condition has held for
// longer than limit without interruption, or until the deadline.
func (r *Rig) WaitForStart(job Job, limit, deadline time.Duration, condition func() bool) Waiting {
	begun, nextQuery, since := time.Now(), time.Time{}, time.Time{}
	var result Waiting
	for attempt := 0; time.Since(begun) < deadline && result.Held <= limit; time.Sleep(checkInterval) {
		result.Waited = time.Since(begun)
		switch {
		case r.Starts(job.ID) > 0:
			result.Started = true
			return result
		case !condition():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			result.Held = max(result.Held, time.Since(since))
		}
		if time.Now().After(nextQuery) {
			nextQuery = time.Now().Add(queryInterval)
			r.Query(job.ID, attempt)
			attempt++
		}
	}
	return result
}

// WaitUntilDone polls a job until it is done, and reports whether it was done within the time.
func (r *Rig) WaitUntilDone(job Job, within time.Duration) bool {
	for begun, attempt := time.Now(), 0; time.Since(begun) < within; attempt++ {
		if status, state := r.Query(job.ID, attempt); status == wire.StatusOK && state.Status == wire.JobDone {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// WaitForStarts waits until at least a number of a job's tasks were started, and reports whether they
// were within the time.
func (r *Rig) WaitForStarts(job Job, number int, within time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(checkInterval) {
		if r.Starts(job.ID) >= number {
			return true
		}
	}
	return false
}

// LogRooms writes the state of all machines that are up.
func (r *Rig) LogRooms() {
	for _, room := range r.Rooms() {
		r.Log("machine %s (%s in %s): %d tasks, %g CPUs and %g GB free", room.Machine, room.Type, room.Zone, room.Tasks, room.FreeCPUs, room.FreeMem)
	}
}
