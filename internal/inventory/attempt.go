package inventory

import (
	"fmt"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// AttemptState is the state of an attempt.
type AttemptState int

// The states of an attempt, in the order in which an attempt passes through them.
const (
	AttemptAssumed   AttemptState = iota // placed, but not recorded yet
	AttemptRecorded                      // recorded, so that it may be started
	AttemptStarting                      // a start command may have been sent
	AttemptLive                          // reported by its machine
	AttemptStopping                      // must be stopped
	AttemptCompleted                     // its task has completed; the completion is not recorded yet
	AttemptRemoving                      // no longer on its machine; the record still lists it
	AttemptClosed                        // ended, and no longer in any record
)

// String returns the name of the state for logs.
func (s AttemptState) String() string {
	switch s {
	case AttemptAssumed:
		return "assumed"
	case AttemptRecorded:
		return "recorded"
	case AttemptStarting:
		return "starting"
	case AttemptLive:
		return "live"
	case AttemptStopping:
		return "stopping"
	case AttemptCompleted:
		return "completed"
	case AttemptRemoving:
		return "removing"
	case AttemptClosed:
		return "closed"
	}
	return fmt.Sprintf("AttemptState(%d)", int(s))
}

// Attempt is one placement of a task on a machine.
type Attempt struct {
	Job     *Job
	Index   int // of the task in its job
	Number  uint64
	Machine *Machine
	State   AttemptState
	// Phase is the task's phase in the machine's last heartbeat.
	Phase wire.TaskPhase
	// HeartbeatSeen is set after a heartbeat has listed the attempt.
	HeartbeatSeen bool
	// StartHeartbeatSeq is the sequence number of the heartbeat whose response contained the start
	// command.
	StartHeartbeatSeq uint64
	PlacedAt          micros.Micros
	// RunningSince is when the task was first reported as running, or 0.
	RunningSince micros.Micros
	// GracePeriod is the time that the task has for a checkpoint when the attempt is stopped, Reason
	// the cause of the stop.
	GracePeriod micros.Micros
	Reason      string
	// CountedRunning is set while the attempt counts among the running tasks of its job.
	CountedRunning bool
	// ResourcesReleased is set when the attempt no longer uses resources of its machine and team.
	ResourcesReleased bool
}

// ReasonJobEnded is the reason that is given when attempts of a job are stopped, or its reservation is
// released, because the job has ended.
const ReasonJobEnded = "job has ended"

// TaskKey identifies a task.
type TaskKey struct {
	Job   string
	Index int
}

// AttemptKey identifies an attempt among those of one machine.
type AttemptKey struct {
	TaskKey
	Number uint64
}

// Key returns the key of the attempt's task.
func (a *Attempt) Key() TaskKey { return TaskKey{a.Job.ID, a.Index} }

// AttemptKey returns the key of the attempt.
func (a *Attempt) AttemptKey() AttemptKey { return AttemptKey{a.Key(), a.Number} }

// TaskName returns the name of the attempt's task on the wire.
func (a *Attempt) TaskName() string { return wire.TaskName(a.Job.ID, a.Index) }

// IsRunning reports whether the attempt is live and its task was last reported as running.
func (a *Attempt) IsRunning() bool { return a.State == AttemptLive && a.Phase == wire.PhaseRunning }

// MayStart reports whether the attempt may be started. The tasks of a gang may start only
// after all their attempts have been recorded.
func (a *Attempt) MayStart() bool {
	return a.Job.State == JobActive && (!a.Job.Gang || a.Job.GangState == GangStarting)
}

// SetCountedRunning sets whether the attempt counts among the running tasks of its job.
func (a *Attempt) SetCountedRunning(running bool) {
	if a.CountedRunning == running {
		return
	}
	a.CountedRunning = running
	if running {
		a.Job.RunningTasks++
	} else {
		a.Job.RunningTasks--
	}
}

// SortedAttempts returns the job's attempts in the order of their tasks.
func (j *Job) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.Attempts))
	for _, i := range ordered.Keys(j.Attempts) {
		list = append(list, j.Attempts[i])
	}
	return list
}
