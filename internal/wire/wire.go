// Package wire holds the CBOR messages of the protocol and their validation. The
// names that the protocol uses on the wire occur here and nowhere else.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ContentType is sent with every body.
const ContentType = "application/cbor"

// MaxBody is the limit on bodies of users and workers.
const MaxBody = 64 << 10

// decMode bounds what a message may hold.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 131072,
		MaxMapPairs:      131072,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Decode reads one CBOR value.
func Decode(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// Encode writes a CBOR value; the types of this project always can be written.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return data
}

// ErrNotMap reports that a body is not a CBOR map.
var ErrNotMap = errors.New("not a map")

// FieldError reports a field of a message that is missing or invalid.
type FieldError struct {
	Field   string // as named on the wire
	Problem string
}

// Error names the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// JobPhase is a job's state as users see it.
type JobPhase string

// The phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "withdrawn"
)

// JobStatus answers a user.
type JobStatus struct {
	ID      string   `cbor:"ref"`
	Status  JobPhase `cbor:"status"`
	Done    int      `cbor:"done"`
	Running int      `cbor:"running"`
}

// JobState is the short answer to a submission or cancellation.
type JobState struct {
	ID     string   `cbor:"ref"`
	Status JobPhase `cbor:"status"`
}

// ErrorResponse explains a refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
}
