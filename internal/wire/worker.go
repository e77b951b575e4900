package wire

import (
	"math"
)

// TaskPhase is a task's state on its machine.
type TaskPhase string

// States of a task on a machine.
const (
	PhaseFetching       TaskPhase = "pulling"
	PhaseWaitingForGang TaskPhase = "gathering"
	PhaseRunning        TaskPhase = "running"
	PhaseCheckpointing  TaskPhase = "saving"
	PhaseExited         TaskPhase = "ended"
)

// ExitCause is why a task exited.
type ExitCause string

// Causes of an exit.
const (
	CauseDone                  ExitCause = "done"
	CauseStopped               ExitCause = "stopped"
	CauseGangMemberLost        ExitCause = "mates_gone"
	CauseAlone                 ExitCause = "alone"
	CauseError                 ExitCause = "error"
	CauseInsufficientResources ExitCause = "no_room"
	CauseBusy                  ExitCause = "in_use"
	CauseUnknownTask           ExitCause = "no_such"
)

// TaskStatus is one task of a report.
type TaskStatus struct {
	Task         string    `cbor:"leg"`
	Attempt      uint64    `cbor:"try"`
	Phase        TaskPhase `cbor:"status"`
	Cause        ExitCause `cbor:"cause,omitempty"`
	Checkpointed bool      `cbor:"kept,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine           string       `cbor:"berth"`
	Endpoint          string       `cbor:"endpoint"`
	Type              string       `cbor:"build"`
	Zone              string       `cbor:"hall"`
	Spot              bool         `cbor:"loaners"`
	AgentEpoch        uint64       `cbor:"shift"`
	HeartbeatSeq      uint64       `cbor:"tick"`
	FencingToken      uint64       `cbor:"baton"`
	PreemptionNoticeS *float64     `cbor:"recallS"`
	Tasks             []TaskStatus `cbor:"legs"`
}

// DecodeHeartbeat reads and checks a worker's report.
func DecodeHeartbeat(data []byte) (*Heartbeat, error) {
	if len(data) == 0 || data[0]>>5 != 5 {
		return nil, ErrNotMap
	}
	var r Heartbeat
	if err := Decode(data, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Machine == "" || len(r.Machine) > maxName || !validKeySegment(r.Machine):
		return nil, &FieldError{"berth", "missing or invalid"}
	case r.AgentEpoch == 0:
		return nil, &FieldError{"shift", "missing"}
	case r.PreemptionNoticeS != nil && (math.IsNaN(*r.PreemptionNoticeS) || math.Abs(*r.PreemptionNoticeS) > maxSeconds):
		return nil, &FieldError{"recallS", "out of range"}
	}
	return &r, nil
}

// validKeySegment tells whether a name can be part of a key in the state service.
func validKeySegment(s string) bool {
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

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	HeartbeatNode string `cbor:"foreman,omitempty"`
}

// CommandsRequest is the body of POST /orders.
type CommandsRequest struct {
	FencingToken uint64    `cbor:"baton"`
	AgentEpoch   uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}
