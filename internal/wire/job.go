package wire

// JobPhase is a job's state as reported to users.
type JobPhase string

// The phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "withdrawn"
)

// JobStatus is the response to a query for a job.
type JobStatus struct {
	ID      string   `cbor:"ref"`
	Status  JobPhase `cbor:"status"`
	Done    int      `cbor:"done"`    // completed tasks
	Running int      `cbor:"running"` // running tasks
}

// JobState is the response to a submission or cancellation.
type JobState struct {
	ID     string   `cbor:"ref"`
	Status JobPhase `cbor:"status"`
}
