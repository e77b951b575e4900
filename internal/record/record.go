// Package record defines what the controllers keep in the state service: the keys, the
// values stored under them and the encodings of the values. It decides nothing about when a
// record is written or what follows from it. The names and positions of the CBOR fields are
// read by other versions of the program and must not change.
package record

import (
	"errors"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// ErrCorrupt is wrapped by the errors for values whose content contradicts itself.
var ErrCorrupt = errors.New("record is damaged")

// ScaleOutRequest describes a rental. It is written before the machines are requested, so that no
// machine is paid for that nobody knows of.
type ScaleOutRequest struct {
	Owner OwnerID `cbor:"o"`
	Type  string  `cbor:"b"`
	Zone  string  `cbor:"h"`
	Spot  bool    `cbor:"s"`
	Count int     `cbor:"n"` // of machines
}

// Reservation keeps freed machines for a gang.
type Reservation struct {
	Machines map[string]int `cbor:"m"` // machine -> tasks of the gang that go there
}

// Status is how a job ended.
type Status string

// The final states of jobs.
const (
	StatusDone      = Status(wire.JobDone)
	StatusCancelled = Status(wire.JobCancelled)
)

// TerminalState is the final state of a job. It is kept forever.
type TerminalState struct {
	Status              Status        `cbor:"s"`
	FinishedAt          micros.Micros `cbor:"at,omitempty"` // wall clock time; 0 if an older version wrote it
	CancelledDependency string        `cbor:"b,omitempty"`  // the dependency whose cancellation cancelled this job
}

// CancelledRoot returns the job that was cancelled by its user, for a cancelled job: one of
// the jobs that it depends on, or the job itself.
func (f *TerminalState) CancelledRoot(id string) string {
	if f.CancelledDependency != "" {
		return f.CancelledDependency
	}
	return id
}
