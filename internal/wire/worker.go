package wire

import (
	"math"
)

// TaskPhase is a task's state on its machine.
type TaskPhase string

// States of a task on a machine.
const (
	PhaseFetching TaskPhase = "pulling"
	PhaseWaiting  TaskPhase = "gathering"
	PhaseRunning  TaskPhase = "running"
	PhaseSaving   TaskPhase = "saving"
	PhaseExited   TaskPhase = "ended"
)

// Cause is why a task exited.
type Cause string

// Causes of an exit.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CausePeers   Cause = "mates_gone"
	CauseAlone   Cause = "alone"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room"
	CauseBusy    Cause = "in_use"
	CauseUnknown Cause = "no_such"
)

// TaskReport is one task of a report.
type TaskReport struct {
	Task    string    `cbor:"leg"`
	Attempt uint64    `cbor:"try"`
	Phase   TaskPhase `cbor:"status"`
	Cause   Cause     `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"kept,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine  string       `cbor:"berth"`
	Endpoint string       `cbor:"endpoint"`
	Type     string       `cbor:"build"`
	Zone     string       `cbor:"hall"`
	Spot     bool         `cbor:"loaners"`
	Session  uint64       `cbor:"shift"`
	Seq      uint64       `cbor:"tick"`
	Token    uint64       `cbor:"baton"`
	NoticeS  *float64     `cbor:"recallS"`
	Tasks    []TaskReport `cbor:"legs"`
}

// DecodeReport reads and checks a worker's report.
func DecodeReport(data []byte) (*Report, error) {
	if len(data) == 0 || data[0]>>5 != 5 {
		return nil, ErrNotMap
	}
	var r Report
	if err := Decode(data, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Machine == "" || len(r.Machine) > maxName || !plainKey(r.Machine):
		return nil, &FieldError{"berth", "missing or invalid"}
	case r.Session == 0:
		return nil, &FieldError{"shift", "missing"}
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || math.Abs(*r.NoticeS) > maxSeconds):
		return nil, &FieldError{"recallS", "out of range"}
	}
	return &r, nil
}

// plainKey tells whether a name can be part of a key in the state service.
func plainKey(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == '/' || s[i] == '?' || s[i] == '%' {
			return false
		}
	}
	return true
}

// Verbs of commands.
const (
	VerbStart  = "start"
	VerbStop   = "halt"
	VerbForget = "reap"
)

// Command is one order to a worker.
type Command struct {
	Verb    string   `cbor:"verb"`
	Task    string   `cbor:"leg"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"`
}

// ReportAnswer is the response to a report.
type ReportAnswer struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	ReportTo string `cbor:"foreman,omitempty"`
}

// Orders is the body of POST /orders.
type Orders struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"shift"`
	Commands []Command `cbor:"orders"`
}
