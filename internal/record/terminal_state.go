package record

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Status is the terminal status of a job.
type Status string

// The terminal statuses of jobs.
const (
	StatusDone      = Status(wire.JobDone)
	StatusCancelled = Status(wire.JobCancelled)
)

// TerminalState is the terminal state of a job. It is never deleted.
type TerminalState struct {
	Status              Status        `cbor:"s"`
	FinishedAt          micros.Micros `cbor:"at,omitempty"` // wall clock time; 0 if an older version wrote it
	CancelledDependency string        `cbor:"b,omitempty"`  // direct or indirect dependency whose cancellation cancelled this job
}

// CancelledRoot returns the job that a user cancelled and whose cancellation led to this state, which
// is that of the job with the given ID: a direct or indirect dependency of that job, or that job
// itself.
func (s *TerminalState) CancelledRoot(id string) string {
	if s.CancelledDependency != "" {
		return s.CancelledDependency
	}
	return id
}
