package inventory

import (
	"fmt"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// JobState is the state of a job at its owner.
type JobState int

// The states of a job.
const (
	JobActive    JobState = iota // its tasks are pending or placed
	JobFinishing                 // all tasks have completed; the terminal state is not recorded yet
	JobEnded                     // done or cancelled: remaining attempts must be stopped
	JobBlocked                   // some of its dependencies are not done
)

// String returns the name of the state for logs.
func (s JobState) String() string {
	switch s {
	case JobActive:
		return "active"
	case JobFinishing:
		return "finishing"
	case JobEnded:
		return "ended"
	case JobBlocked:
		return "blocked"
	}
	return fmt.Sprintf("JobState(%d)", int(s))
}

// TaskState is the state of a task at its owner.
type TaskState uint8

// The states of a task.
const (
	TaskPending TaskState = iota // has no attempt
	TaskPlaced                   // has an attempt
	TaskDone                     // has completed; this state is final
)

// String returns the name of the state for logs.
func (s TaskState) String() string {
	switch s {
	case TaskPending:
		return "pending"
	case TaskPlaced:
		return "placed"
	case TaskDone:
		return "done"
	}
	return fmt.Sprintf("TaskState(%d)", int(s))
}

// GangState is the state of the current run of a gang.
type GangState int

// The states of a run of a gang.
const (
	GangNone     GangState = iota // no task has an attempt
	GangPlacing                   // the attempts of its tasks are being recorded
	GangStarting                  // all attempts are recorded, so that tasks may be started or run
	GangStopping                  // the run has ended, and its tasks must be stopped
)

// String returns the name of the state for logs.
func (s GangState) String() string {
	switch s {
	case GangNone:
		return "none"
	case GangPlacing:
		return "placing"
	case GangStarting:
		return "starting"
	case GangStopping:
		return "stopping"
	}
	return fmt.Sprintf("GangState(%d)", int(s))
}

// Job is a job at its owner. Its fields are grouped by the concern to which they belong.
type Job struct {
	*sched.Job
	State JobState
	JobRecord
	JobTimes
	Progress
	Placement
	Backoff
}

// JobRecord is the state of a job's record.
type JobRecord struct {
	// Version is the version of the record.
	Version uint64
	// DependencyParts is the number of further records that hold the job's dependency list.
	DependencyParts int
	// Writing is set while the job's terminal state is being written.
	Writing bool
	// CancelQueued is set while the job is queued to be recorded as cancelled because a dependency
	// was cancelled.
	CancelQueued bool
	// RecordStale is set if the record has changed. No task is placed until the record has been
	// read again.
	RecordStale bool
	// CancelledAt is a lower bound of the time at which a user got an acknowledgement of the job's
	// cancellation; 0 if the job was not cancelled.
	CancelledAt micros.Micros
}

// JobTimes holds the times and the priority on which a job's position in the queue and its service-level
// objectives depend.
type JobTimes struct {
	Accepted micros.Micros
	// ReadyAt is when the job was accepted or, if it was blocked by dependencies, became ready. Its
	// service-level objectives are measured from this time.
	ReadyAt micros.Micros
	// SubmittedPriority is the priority as submitted. Job.Priority may be a higher one that is
	// inherited from downstream jobs.
	SubmittedPriority sched.Priority
	// EffectiveDeadline is the latest time at which the job may end so that it and all downstream
	// jobs can meet their deadlines; 0 for none.
	EffectiveDeadline micros.Micros
}

// Progress holds the states of a job's tasks, and the records of completed ones.
type Progress struct {
	// TaskStates are the states of the tasks; nil while all are pending.
	TaskStates   []TaskState
	Pending      int
	FirstPending int // no task with a lower index is pending
	// Completed is the set of completed tasks, CompletedCount their number.
	Completed      record.Bitmap
	CompletedCount int
	// Segments are the records that hold the completions, by chunk, and UnrecordedCompletions
	// the attempts whose completion is not recorded yet.
	Segments              map[int]*CompletionSegment
	UnrecordedCompletions map[int][]*Attempt
}

// Placement holds the attempts of a job.
type Placement struct {
	// Attempts are the attempts by task.
	Attempts     map[int]*Attempt
	Assumed      int // attempts that are not recorded yet
	RunningTasks int // number of running tasks that is shown to users
	GangState    GangState
	// EverPlaced is set after the placement of a task, or of a whole gang, has been recorded;
	// IdleSince is the time since which the job has had no attempts.
	EverPlaced bool
	IdleSince  micros.Micros
}

// Backoff delays the placement of a job after failures.
type Backoff struct {
	// BackoffUntil is the time before which no task is placed.
	BackoffUntil micros.Micros
	Failures     int // consecutive failures of tasks, without a completion
	// FailedMachines is the set of machines on which these tasks failed.
	FailedMachines map[string]bool
	// NextPreemptionAt is when tasks may be preempted for the job again; FailedPreemptions counts
	// the consecutive preemptions after which the job did not start.
	NextPreemptionAt  micros.Micros
	FailedPreemptions int
}

// NewJob returns an active job without attempts. version is that of its record.
func NewJob(j *sched.Job, version uint64, accepted micros.Micros) *Job {
	return &Job{
		Job:       j,
		JobRecord: JobRecord{Version: version},
		JobTimes:  JobTimes{Accepted: accepted, ReadyAt: accepted, SubmittedPriority: j.Priority},
		Progress: Progress{
			Pending:               j.Tasks,
			Segments:              map[int]*CompletionSegment{},
			UnrecordedCompletions: map[int][]*Attempt{},
		},
		Placement: Placement{Attempts: map[int]*Attempt{}},
		Backoff:   Backoff{FailedMachines: map[string]bool{}},
	}
}

// TaskState returns the state of a task.
func (j *Job) TaskState(i int) TaskState {
	if j.TaskStates == nil {
		return TaskPending
	}
	return j.TaskStates[i]
}

// AllocateTaskStates allocates the states of the individual tasks. A job without any placement so far
// has none, so that a queue of large jobs takes little memory.
func (j *Job) AllocateTaskStates() {
	if j.TaskStates == nil {
		j.TaskStates, j.Completed = make([]TaskState, j.Tasks), record.NewBitmap(j.Tasks)
	}
}

// SetTaskState sets the state of a task, unless it is done already, and updates the counts.
func (j *Job) SetTaskState(i int, s TaskState) {
	j.AllocateTaskStates()
	was := j.TaskStates[i]
	if was == s || was == TaskDone {
		return // a done task stays done
	}
	j.TaskStates[i] = s
	switch {
	case was == TaskPending:
		j.Pending--
	case s == TaskPending:
		j.Pending++
		j.FirstPending = min(j.FirstPending, i)
	}
	if s == TaskDone {
		j.Completed.Set(i)
		j.CompletedCount++
	}
}

// ChunkBytes returns an upper bound of the size of a chunk in its segment.
func (j *Job) ChunkBytes(chunk int) int { return record.ChunkSize(j.ID, j.Tasks, chunk) }

// AddUnrecordedCompletion adds an attempt whose completion must be recorded.
func (j *Job) AddUnrecordedCompletion(a *Attempt) {
	chunk := a.Index / record.TasksPerChunk
	j.UnrecordedCompletions[chunk] = append(j.UnrecordedCompletions[chunk], a)
}

// TasksByZone returns the number of a job's attempts by zone. It is empty if the placement of the job
// does not depend on zones.
func (j *Job) TasksByZone() map[string]int {
	counts := map[string]int{}
	if !j.OneZone && !j.Spread {
		return counts
	}
	for _, a := range j.Attempts {
		counts[a.Machine.Zone]++
	}
	return counts
}
