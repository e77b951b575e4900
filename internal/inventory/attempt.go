package inventory

import (
	"fmt"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// AttemptState is the state of an attempt.
type AttemptState int

// The states of an attempt, in the order in which it passes them.
const (
	AttemptAssumed   AttemptState = iota // placed, but not recorded yet
	AttemptRecorded                      // recorded, so that it may be started
	AttemptStarting                      // a start command was sent, or may have been
	AttemptLive                          // reported by its machine
	AttemptStopping                      // must be stopped
	AttemptCompleted                     // its task has completed, which is not recorded yet
	AttemptRemoving                      // off its machine, which is not recorded yet
	AttemptClosed                        // over, and no record names it
)

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
	// Phase is the task's phase in the machine's last heartbeat, HeartbeatSeen whether any
	// heartbeat listed the attempt.
	Phase         wire.TaskPhase
	HeartbeatSeen bool
	// StartHeartbeatSeq is the sequence number of the heartbeat to which the start command
	// was the response.
	StartHeartbeatSeq uint64
	// PlacedAt is when it was placed, RunningSince when it was first reported as running, or 0.
	PlacedAt     micros.Micros
	RunningSince micros.Micros
	// GracePeriod is the time for a checkpoint when it is stopped, Reason why it is stopped.
	GracePeriod micros.Micros
	Reason      string
	// CountedRunning is set while it counts among the running tasks of its job.
	CountedRunning bool
	// ResourcesReleased is set once it uses no resources of its machine and team any more.
	ResourcesReleased bool
}

// TaskKey identifies a task.
type TaskKey struct {
	Job   string
	Index int
}

// Key identifies the attempt's task on a machine.
func (a *Attempt) Key() TaskKey { return TaskKey{a.Job.ID, a.Index} }

// TaskName is the name of the attempt's task on the wire.
func (a *Attempt) TaskName() string { return wire.TaskName(a.Job.ID, a.Index) }

// MayStart tells whether the attempt's job wants it started: a gang only once all of its
// places are recorded.
func (a *Attempt) MayStart() bool {
	return a.Job.State == JobActive && (!a.Job.Gang || a.Job.GangState == GangStarting)
}

// SetCountedRunning notes whether an attempt's task runs.
func (a *Attempt) SetCountedRunning(runs bool) {
	if a.CountedRunning == runs {
		return
	}
	if a.CountedRunning = runs; runs {
		a.Job.RunningTasks++
	} else {
		a.Job.RunningTasks--
	}
}

// SortedAttempts lists the job's attempts in the order of their tasks.
func (j *Job) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.Attempts))
	for _, i := range ordered.Keys(j.Attempts) {
		list = append(list, j.Attempts[i])
	}
	return list
}
