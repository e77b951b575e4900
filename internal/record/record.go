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

// ErrDamaged is wrapped by the errors for values whose content contradicts itself.
var ErrDamaged = errors.New("record is damaged")

// Rental describes a rental. It is written before the machines are requested, so that no
// machine is paid for that nobody knows of.
type Rental struct {
	Owner  OwnerID `cbor:"o"`
	Type   string  `cbor:"b"`
	Zone   string  `cbor:"h"`
	Spot   bool    `cbor:"s"`
	Number int     `cbor:"n"` // of machines
}

// Hold keeps freed machines for a gang.
type Hold struct {
	Machines map[string]int `cbor:"m"` // machine -> tasks of the gang that go there
}

// Status is how a job ended.
type Status string

// The final states of jobs.
const (
	StatusDone      = Status(wire.JobDone)
	StatusCancelled = Status(wire.JobCancelled)
)

// Final is the final state of a job. It is kept forever.
type Final struct {
	Status Status        `cbor:"s"`
	At     micros.Micros `cbor:"at,omitempty"` // wall clock time; 0 if an older version wrote it
	Before string        `cbor:"b,omitempty"`  // the dependency whose cancellation cancelled this job
}

// CancelledRoot returns the job that was cancelled by its user, for a cancelled job: one of
// the jobs that it depends on, or the job itself.
func (f *Final) CancelledRoot(id string) string {
	if f.Before != "" {
		return f.Before
	}
	return id
}
