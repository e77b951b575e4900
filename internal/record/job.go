package record

import (
	"errors"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// ErrNoDescription reports a Job without a description.
var ErrNoDescription = errors.New("job record has no description")

// Job is an accepted job. The description of a job with dependencies has a different cbor tag, so
// that a version of the program that doesn't support dependencies cannot place the job.
type Job struct {
	Ready      *wire.Submission `cbor:"j,omitempty"`
	AcceptedAt micros.Micros    `cbor:"at"` // wall clock time
	Blocked    *wire.Submission `cbor:"w,omitempty"`
	// DependencyParts is the number of DependencyPart records that hold the dependencies. It is 0
	// if Blocked holds them.
	DependencyParts int `cbor:"p,omitempty"`
}

// DependencyPart holds a part of a dependency list that is too long for the value of its Job.
type DependencyPart struct {
	JobIDs []string `cbor:"l"`
}

// NewJob returns the record of a job without dependencies.
func NewJob(job *sched.Job, acceptedAt micros.Micros) Job {
	description := wire.FromJob(job)
	return Job{Ready: &description, AcceptedAt: acceptedAt}
}

// Description returns the job as its user described it, without the dependencies that are held by
// DependencyPart records.
func (j *Job) Description() (*sched.Job, error) {
	switch {
	case j.Blocked != nil:
		return j.Blocked.Job()
	case j.Ready != nil:
		return j.Ready.Job()
	}
	return nil, ErrNoDescription
}
