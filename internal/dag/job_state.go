package dag

import "fmt"

// JobState is the state of a job at the graph's revision.
type JobState int

const (
	// JobNotActive is the state of a job that has no record of an active job. Only its terminal state
	// tells whether it is done, cancelled or was never accepted.
	JobNotActive JobState = iota
	// JobIndependent is the state of an active job that was submitted without dependencies.
	JobIndependent
	// JobBlocked is the state of an active job with a dependency that is not known to be done.
	JobBlocked
	// JobReady is the state of an active job whose dependencies are all done.
	JobReady
	// JobCancelled is the state of an active job that is cancelled because an upstream job was.
	JobCancelled
)

// String returns the state in words.
func (s JobState) String() string {
	switch s {
	case JobNotActive:
		return "not active"
	case JobIndependent:
		return "independent"
	case JobBlocked:
		return "blocked"
	case JobReady:
		return "ready"
	case JobCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("JobState(%d)", int(s))
}

// State returns the state of a job. The states of its upstream jobs count as far as they are known:
// see FindUnresolved.
func (g *Graph) State(id string) JobState {
	switch job := g.blocked[id]; {
	case job != nil:
		return job.State()
	case g.active[id]:
		return JobIndependent
	default:
		return JobNotActive
	}
}

// State returns the state of an active job that was submitted with dependencies.
func (b *BlockedJob) State() JobState {
	switch {
	case b.Cancelled():
		return JobCancelled
	case b.Ready():
		return JobReady
	default:
		return JobBlocked
	}
}
